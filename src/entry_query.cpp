#include "entry_query.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

miss_reason
reason_of_outcome(send_outcome outcome)
{
    switch (outcome)
    {
    case send_outcome::failed:
        return miss_reason::failed;
    case send_outcome::shed:
        return miss_reason::shed;
    case send_outcome::broken:
        return miss_reason::malformed;
    case send_outcome::misdirected:
        return miss_reason::mismatched;
    default:
        return miss_reason::unreachable;
    }
}

} // namespace

entry_query::entry_query(entry_context& context,
    std::shared_ptr<const desired_state> state, const route_rule& route,
    caller_message&& message, std::uint32_t priority, answer_handler answer)
    : context_(context), state_(std::move(state)), route_(route),
      stats_(context.routes[route.name]), message_(std::move(message)),
      priority_(priority), answer_(std::move(answer)), timer_(context.loop),
      started_(monotonic_clock::now()),
      spent_before_(spent_before(
          stats_, message_.time_left.value_or(route.timeout), started_)),
      target_latency_left_(std::max<duration>(
          route.target_latency - spent_before_, duration::zero())),
      give_up_after_(
          std::min(message_.time_left.value_or(route.timeout), route.timeout) -
          config::give_up_margin)
{
}

bool
entry_query::gathers() const
{
    return !route_.shards.empty();
}

double
entry_query::least_coverage() const
{
    return gathers() ? route_.min_coverage : 1.0;
}

duration
entry_query::hedge_delay() const
{
    return stats_.hedge_after == duration::zero() ? hedge_after(stats_, route_)
                                                  : stats_.hedge_after;
}

duration
entry_query::expected_latency() const
{
    return bramleymux::expected_latency(stats_, route_);
}

duration
entry_query::time_left(monotonic_time now) const
{
    return message_.time_left.value_or(route_.timeout) - (now - started_);
}

void
entry_query::init_shards()
{
    if (gathers())
    {
        shards_.resize(route_.shards.size());
        for (std::size_t i = 0; i < shards_.size(); ++i)
        {
            shards_[i].service = route_.shards[i];
        }
        return;
    }
    shards_.resize(1);
    shards_[0].service =
        route_.shares[stats_.shares.pick(route_.shares)].service;
}

void
entry_query::start()
{
    init_shards();
    for (shard_query& shard : shards_)
    {
        const auto wait = context_.pool.rate_wait(shard.service, shard.tried);
        shard.failed = !is_worth_waiting(wait);
        shard.reason = wait ? miss_reason::queue_full : miss_reason::no_replica;
    }
    // Nothing is sent if too few shards can answer, or could do so in time.
    if (next_step(progress(started_)) != gather_step::fail && !lacks_room())
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < shards_.size(); ++i)
        {
            if (!shards_[i].failed)
            {
                context_.pool.count_first_send(shards_[i].service);
                open.push_back(i);
            }
        }
        send_first(open);
    }
    else
    {
        refuse_without_sending();
        return;
    }
    context_.counters.add(counter::shards_asked, shards_.size());
    advance();
}

void
entry_query::count_send(send_reason reason)
{
    if (reason == send_reason::hedge)
    {
        ++hedges_;
        context_.counters.add(counter::sub_requests_hedged);
    }
    else if (reason == send_reason::retry)
    {
        ++retries_;
        context_.counters.add(counter::sub_requests_retried);
    }
}

duration
entry_query::true_now() const
{
    return context_.usage == nullptr ? duration::zero() : context_.usage->now();
}

void
entry_query::record_usage(
    send_stage stage, std::size_t sends, duration written_at)
{
    if (context_.usage != nullptr)
    {
        context_.usage->record(message_.workspace, usage_, stage,
            static_cast<std::uint32_t>(sends), written_at);
    }
}

/// Returns false if no target can take the request, the process exits too soon
/// or the extra-load budget is spent.
bool
entry_query::dispatch(std::size_t shard_index, send_reason reason)
{
    shard_query& shard = shards_[shard_index];
    if (monotonic_clock::now() > last_send_at_)
    {
        return false;
    }
    target_state* target = context_.pool.choose(shard.service, shard.tried);
    if (target == nullptr)
    {
        return false;
    }
    // A failed send that never left this VM put no load on a target, so the
    // budget does not count its retry.
    const bool extra = reason == send_reason::hedge ||
                       (reason == send_reason::retry &&
                           shard.reason != miss_reason::unreachable);
    if (extra && !context_.pool.take_extra_budget(shard.service))
    {
        context_.counters.add(counter::extra_load_refused);
        return false;
    }
    shard.tried.push_back(target);
    count_send(reason);
    log_send(shard, *target, reason);
    send_order order;
    order.request_id = message_.id;
    order.bodiless = message_.method == "HEAD";
    order.expected = expected_latency();
    const auto self = shared_from_this();
    const auto written_at = std::make_shared<std::optional<duration>>();
    order.write = [self, written_at](const std::string& target_id)
    {
        const duration left = self->time_left(monotonic_clock::now());
        if (self->finished_ || left <= duration::zero())
        {
            return std::string();
        }
        *written_at = self->true_now();
        self->record_usage(send_stage::written, 1, **written_at);
        return self->context_.wire.write_request(
            self->message_, target_id, left);
    };
    const auto id = std::make_shared<send_id>(0);
    order.done = [self, shard_index, id, written_at](send_result&& result)
    {
        if (*written_at && !result.may_have_run)
        {
            self->record_usage(send_stage::not_run, 1, **written_at);
        }
        self->on_result(shard_index, *id, std::move(result));
    };
    *id = context_.pool.send(*target, std::move(order));
    shard.sends.push_back({*id, monotonic_clock::now(), false});
    return true;
}

void
entry_query::on_result(
    std::size_t shard_index, send_id id, send_result&& result)
{
    shard_query& shard = shards_[shard_index];
    shard.sends.erase(std::remove_if(shard.sends.begin(), shard.sends.end(),
                          [&](const active_send& s) { return s.id == id; }),
        shard.sends.end());
    if (result.outcome == send_outcome::good)
    {
        record_latency(stats_, route_, result.took, monotonic_clock::now());
    }
    if (finished_ || shard.answered)
    {
        return;
    }
    if (result.outcome == send_outcome::good && (!gathers() || is_part(result)))
    {
        accept_reply(shard, std::move(result));
    }
    else
    {
        on_failure(shard_index, std::move(result));
    }
    advance();
}

void
entry_query::accept_reply(shard_query& shard, send_result&& result)
{
    shard.answered = true;
    shard.reply = std::move(result.reply);
    context_.counters.add(counter::shards_answered);
    for (const active_send& other : shard.sends)
    {
        context_.pool.abandon(other.id, config::abandon_linger);
        context_.counters.add(counter::sub_requests_cancelled);
    }
    shard.sends.clear();
}

void
entry_query::on_failure(std::size_t shard_index, send_result&& result)
{
    shard_query& shard = shards_[shard_index];
    shard.reason = reason_of_outcome(result.outcome);
    if (result.may_have_run)
    {
        ++shard.possible_runs;
    }
    else
    {
        ++shard.rejections;
    }
    if (result.outcome == send_outcome::unreachable && result.may_have_run)
    {
        shard.reason = miss_reason::deadline;
    }
    if (result.outcome == send_outcome::shed)
    {
        context_.counters.add(counter::sub_requests_shed);
    }
    if (result.outcome == send_outcome::failed)
    {
        shard.reply = std::move(result.reply);
    }
    if (may_resend(shard))
    {
        dispatch_or_wait(shard_index, send_reason::retry);
        return;
    }
    shard.failed = is_exhausted(shard);
}

bool
entry_query::is_exhausted(const shard_query& shard)
{
    return shard.sends.empty() && !shard.waiting_for_room && !shard.delegated;
}

/// Whether the route allows another run of the request and the limit of
/// rejections is not exceeded.
bool
entry_query::may_resend(const shard_query& shard) const
{
    const bool repeatable = route_.idempotent || shard.possible_runs == 0;
    return repeatable &&
           shard.possible_runs + shard.sends.size() < route_.attempts &&
           shard.rejections <= config::max_shard_rejections + route_.attempts;
}

/// Reports sends that exceed the hedge delay to the pool, and hedges each at
/// another target if the route allows a further run.
void
entry_query::hedge_overdue_sends(monotonic_time now)
{
    const duration after = hedge_delay();
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        shard_query& shard = shards_[i];
        if (shard.answered || shard.failed || shard.sends.size() != 1 ||
            shard.sends.front().overdue ||
            now - shard.sends.front().sent_at < after)
        {
            continue;
        }
        shard.sends.front().overdue = true;
        context_.pool.record_slow(shard.sends.front().id);
        if (route_.idempotent && shard.possible_runs + 1 < route_.attempts &&
            !shard.waiting_for_room)
        {
            dispatch(i, send_reason::hedge);
        }
    }
}

gather_progress
entry_query::progress(monotonic_time now) const
{
    gather_progress p;
    p.shards = shards_.size();
    for (const shard_query& shard : shards_)
    {
        p.answered += shard.answered ? 1 : 0;
        p.open += shard.answered || shard.failed ? 0 : 1;
    }
    p.min_coverage = least_coverage();
    p.elapsed = now - started_;
    p.target_latency = target_latency_left_;
    p.give_up = give_up_after_;
    return p;
}

void
entry_query::advance()
{
    if (finished_)
    {
        return;
    }
    const monotonic_time now = monotonic_clock::now();
    hedge_overdue_sends(now);
    const gather_progress p = progress(now);
    switch (next_step(p))
    {
    case gather_step::answer:
        answer_success(p);
        return;
    case gather_step::fail:
        answer_failure(p.elapsed < p.give_up ? problem_code::target_failed
                                             : problem_code::deadline_passed);
        return;
    default:
        arm_timer(now, p);
    }
}

void
entry_query::arm_timer(monotonic_time now, const gather_progress& p)
{
    monotonic_time wake = started_ + next_decision_at(p);
    const duration after = hedge_delay();
    for (const shard_query& shard : shards_)
    {
        if (!shard.answered && !shard.failed && shard.sends.size() == 1 &&
            !shard.sends.front().overdue)
        {
            wake = std::min(wake, shard.sends.front().sent_at + after);
        }
    }
    // A timer that is due earlier stays: it recomputes the time when it fires.
    if (timer_.expiry() > now && timer_.expiry() <= wake)
    {
        return;
    }
    timer_.expires_at(std::max(wake, now));
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->advance();
            }
        });
}

} // namespace bramleymux
