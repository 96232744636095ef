#include "entry_query.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr int first_client_error = 400;

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
    caller_message&& message, answer_handler answer)
    : context_(context), state_(std::move(state)), route_(route),
      stats_(context.routes[route.name]), message_(std::move(message)),
      answer_(std::move(answer)), timer_(context.loop),
      started_(monotonic_clock::now()),
      spent_(spent_before(stats_, message_.time_left.value_or(route.timeout))),
      target_left_(
          std::max<duration>(route.target_latency - spent_, duration::zero())),
      give_up_(
          std::min(message_.time_left.value_or(route.timeout), route.timeout) -
          config::give_up_margin)
{
}

bool
entry_query::gathers() const
{
    return !route_.shards.empty();
}

duration
entry_query::hedge_time() const
{
    return stats_.hedge_after == duration::zero() ? hedge_after(stats_, route_)
                                                  : stats_.hedge_after;
}

duration
entry_query::expected_latency() const
{
    return stats_.median_latency == duration::zero()
               ? duration(route_.target_latency / 4)
               : stats_.median_latency;
}

duration
entry_query::time_left(monotonic_time now) const
{
    return message_.time_left.value_or(route_.timeout) - (now - started_);
}

void
entry_query::open_lanes()
{
    if (gathers())
    {
        lanes_.resize(route_.shards.size());
        for (std::size_t i = 0; i < lanes_.size(); ++i)
        {
            lanes_[i].service = route_.shards[i];
        }
        return;
    }
    lanes_.resize(1);
    lanes_[0].service =
        route_.shares[stats_.shares.pick(route_.shares)].service;
}

void
entry_query::start()
{
    open_lanes();
    for (lane& l : lanes_)
    {
        l.failed = !context_.pool.is_served(l.service, l.tried);
        l.reason = miss_reason::no_replica;
    }
    // Nothing is sent when too few shards can answer, or in time.
    if (next_step(progress(started_)) != gather_step::fail && !is_crowded())
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < lanes_.size(); ++i)
        {
            if (!lanes_[i].failed)
            {
                context_.pool.count_first_send(lanes_[i].service);
                open.push_back(i);
            }
        }
        send_first(open);
    }
    else
    {
        refuse_unsent();
        return;
    }
    context_.counters.add(counter::shards_asked, lanes_.size());
    advance();
}

/// Whether so many shards have no room that the answer could only be late. A
/// caller that is told at once may be served in time by its next attempt.
bool
entry_query::is_crowded() const
{
    if (!gathers())
    {
        return false;
    }
    gather_progress p = progress(started_);
    p.open = static_cast<std::size_t>(std::count_if(lanes_.begin(),
        lanes_.end(),
        [this](const lane& l) { return context_.pool.has_room(l.service); }));
    return next_step(p) == gather_step::fail;
}

void
entry_query::refuse_unsent()
{
    const bool reachable = next_step(progress(started_)) != gather_step::fail;
    const auto code =
        reachable ? problem_code::overloaded : problem_code::no_target;
    for (lane& l : lanes_)
    {
        const bool crowded = !l.failed && !context_.pool.has_room(l.service);
        l.reason = l.failed  ? miss_reason::no_replica
                   : crowded ? miss_reason::queue_full
                             : miss_reason::none;
    }
    context_.counters.add(counter::refused_not_run);
    finish(make_entry_problem(code, run_state::not_run,
               "too few shards can take the request", context_.random),
        event::query_refused,
        problem_code_names[static_cast<std::size_t>(code)]);
}

void
entry_query::dispatch_or_wait(std::size_t lane_index, send_reason reason)
{
    lane& l = lanes_[lane_index];
    if (dispatch(lane_index, reason))
    {
        return;
    }
    l.waiting = context_.pool.is_served(l.service, l.tried) &&
                context_.pool.wait_for_room(l.service,
                    started_ + target_left_ - stats_.median_latency,
                    [self = shared_from_this(), lane_index, reason]
                    { return self->on_room(lane_index, reason); });
    l.failed = is_over(l);
}

bool
entry_query::on_room(std::size_t lane_index, send_reason reason)
{
    lane& l = lanes_[lane_index];
    l.waiting = false;
    if (finished_ || l.answered)
    {
        return false;
    }
    const bool stale =
        gathers() && monotonic_clock::now() - started_ > route_.target_latency;
    if (stale)
    {
        // Room goes to requests that can be in time.
        l.reason = miss_reason::queue_full;
        l.failed = is_over(l);
    }
    else
    {
        dispatch_or_wait(lane_index, reason);
    }
    advance();
    return !stale;
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

/// False when no target can take the request or the budget has no room.
bool
entry_query::dispatch(std::size_t lane_index, send_reason reason)
{
    lane& l = lanes_[lane_index];
    target_state* target = context_.pool.choose(l.service, l.tried);
    if (target == nullptr)
    {
        return false;
    }
    // A send that never left this VM is no load on a target.
    const bool extra =
        reason == send_reason::hedge ||
        (reason == send_reason::retry && l.reason != miss_reason::unreachable);
    if (extra && !context_.pool.take_extra_budget(l.service))
    {
        context_.counters.add(counter::extra_load_refused);
        return false;
    }
    l.tried.push_back(target);
    count_send(reason);
    log_send(l, *target, reason);
    send_order order;
    order.request_id = message_.id;
    order.bodiless = message_.method == "HEAD";
    order.expected = expected_latency();
    const auto self = shared_from_this();
    order.write = [self](const std::string& target_id)
    {
        const duration left = self->time_left(monotonic_clock::now());
        return self->finished_ || left <= duration::zero()
                   ? std::string()
                   : self->context_.wire.write_request(
                         self->message_, target_id, left);
    };
    const auto id = std::make_shared<send_id>(0);
    order.done = [self, lane_index, id](send_result&& result)
    { self->on_result(lane_index, *id, std::move(result)); };
    *id = context_.pool.send(*target, std::move(order));
    l.sends.push_back({*id, monotonic_clock::now(), false});
    return true;
}

void
entry_query::on_result(std::size_t lane_index, send_id id, send_result&& result)
{
    lane& l = lanes_[lane_index];
    l.sends.erase(std::remove_if(l.sends.begin(), l.sends.end(),
                      [&](const active_send& s) { return s.id == id; }),
        l.sends.end());
    if (result.outcome == send_outcome::good)
    {
        record_latency(stats_, route_, result.took, monotonic_clock::now());
    }
    if (finished_ || l.answered)
    {
        return;
    }
    if (result.outcome == send_outcome::good && (!gathers() || is_part(result)))
    {
        on_good(l, std::move(result));
    }
    else
    {
        on_failure(lane_index, std::move(result));
    }
    advance();
}

void
entry_query::on_good(lane& l, send_result&& result)
{
    l.answered = true;
    l.reply = std::move(result.reply);
    context_.counters.add(counter::shards_answered);
    for (const active_send& other : l.sends)
    {
        context_.pool.abandon(other.id, config::abandon_linger);
        context_.counters.add(counter::sub_requests_cancelled);
    }
    l.sends.clear();
}

void
entry_query::on_failure(std::size_t lane_index, send_result&& result)
{
    lane& l = lanes_[lane_index];
    l.reason = reason_of_outcome(result.outcome);
    if (result.may_have_run)
    {
        ++l.runs;
    }
    else
    {
        ++l.rejections;
    }
    if (result.outcome == send_outcome::unreachable && result.may_have_run)
    {
        l.reason = miss_reason::deadline;
    }
    if (result.outcome == send_outcome::shed)
    {
        context_.counters.add(counter::sub_requests_shed);
    }
    if (result.outcome == send_outcome::failed)
    {
        l.reply = std::move(result.reply);
    }
    if (may_repeat(l))
    {
        dispatch_or_wait(lane_index, send_reason::retry);
        return;
    }
    l.failed = is_over(l);
}

bool
entry_query::is_over(const lane& l)
{
    return l.sends.empty() && !l.waiting && !l.delegated;
}

bool
entry_query::may_repeat(const lane& l) const
{
    const bool repeatable = route_.idempotent || l.runs == 0;
    return repeatable && l.runs + l.sends.size() < route_.attempts &&
           l.rejections <= config::max_rejections + route_.attempts;
}

/// Sends that take longer than usual get a second one to another target.
void
entry_query::hedge_due(monotonic_time now)
{
    const duration after = hedge_time();
    for (std::size_t i = 0; i < lanes_.size(); ++i)
    {
        lane& l = lanes_[i];
        if (l.answered || l.failed || l.sends.size() != 1 ||
            l.sends.front().overdue || now - l.sends.front().since < after)
        {
            continue;
        }
        l.sends.front().overdue = true;
        context_.pool.record_slow(l.sends.front().id);
        if (route_.idempotent && l.runs + 1 < route_.attempts && !l.waiting)
        {
            dispatch(i, send_reason::hedge);
        }
    }
}

gather_progress
entry_query::progress(monotonic_time now) const
{
    gather_progress p;
    p.shards = lanes_.size();
    for (const lane& l : lanes_)
    {
        p.answered += l.answered ? 1 : 0;
        p.open += l.answered || l.failed ? 0 : 1;
    }
    p.min_coverage = gathers() ? route_.min_coverage : 1.0;
    p.elapsed = now - started_;
    p.target_latency = target_left_;
    p.give_up = give_up_;
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
    hedge_due(now);
    const gather_progress p = progress(now);
    switch (next_step(p))
    {
    case gather_step::answer:
        if (gathers())
        {
            answer_records(p);
        }
        else
        {
            finish(context_.wire.write_answer(std::move(lanes_[0].reply)),
                event::request_answered, "whole");
        }
        return;
    case gather_step::fail:
        answer_failure(p.elapsed < p.give_up);
        return;
    default:
        arm(now, p);
    }
}

void
entry_query::arm(monotonic_time now, const gather_progress& p)
{
    monotonic_time wake = started_ + next_decision_at(p);
    const duration after = hedge_time();
    for (const lane& l : lanes_)
    {
        if (!l.answered && !l.failed && l.sends.size() == 1 &&
            !l.sends.front().overdue)
        {
            wake = std::min(wake, l.sends.front().since + after);
        }
    }
    // Replies that bring no earlier wake-up leave the timer as it is.
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

void
entry_query::answer_records(const gather_progress& p)
{
    gathered_answer answer;
    std::vector<std::string_view> parts;
    for (const lane& l : lanes_)
    {
        if (l.answered)
        {
            answer.proofs.push_back(l.reply.proof);
            parts.push_back(l.reply.body);
        }
    }
    parts.insert(parts.end(), merged_records_.begin(), merged_records_.end());
    answer.missing = p.shards - p.answered;
    answer.records = merge_records(parts, route_.result_limit);
    const bool whole = answer.missing == 0;
    context_.counters.add(
        whole ? counter::answers_whole : counter::answers_partial);
    finish(context_.wire.write_gathered(std::move(answer)),
        whole ? event::request_answered : event::query_partial,
        whole ? "whole" : "partial");
}

bool
entry_query::may_have_run() const
{
    return std::any_of(lanes_.begin(), lanes_.end(),
        [](const lane& l) {
            return l.answered || l.runs > 0 || !l.sends.empty() || l.delegated;
        });
}

/// `in_time`: given up before the caller's time was over.
void
entry_query::answer_failure(bool in_time)
{
    lane& first = lanes_.front();
    if (!gathers() && first.reply.status >= first_client_error &&
        !first.reply.proof.empty() && first.sends.empty())
    {
        finish(context_.wire.write_answer(std::move(first.reply)),
            event::request_failed, "target's own failure");
        return;
    }
    const bool ran = may_have_run();
    const auto code = !ran      ? problem_code::no_target
                      : in_time ? problem_code::target_failed
                                : problem_code::deadline_passed;
    context_.counters.add(
        ran ? counter::failed_unknown : counter::refused_not_run);
    finish(
        make_entry_problem(code, ran ? run_state::unknown : run_state::not_run,
            to_string(first.reason), context_.random),
        ran ? event::request_failed : event::query_refused,
        problem_code_names[static_cast<std::size_t>(code)]);
}

void
entry_query::finish(http_reply&& reply, event what, std::string_view reason)
{
    finished_ = true;
    timer_.cancel();
    abandon_sends();
    const duration took = monotonic_clock::now() - started_;
    context_.counters.observe(latency_kind::query, took);
    if (took > route_.target_latency)
    {
        context_.counters.add(counter::requests_late);
    }
    log_outcome(what, reply.status, reason);
    const answer_handler answer = std::move(answer_);
    answer_ = nullptr;
    answer(std::move(reply));
}

/// Work for a caller that no longer waits is ended; a request that must not
/// run twice is left to finish, since ending it tells nothing.
void
entry_query::abandon_sends()
{
    const duration linger =
        route_.idempotent ? config::abandon_linger : give_up_;
    for (lane& l : lanes_)
    {
        for (const active_send& send : l.sends)
        {
            context_.pool.abandon(send.id, linger);
        }
    }
    for (const delegation& d : delegations_)
    {
        context_.delegates.abandon(d.id);
    }
    delegations_.clear();
}

void
entry_query::cancel()
{
    if (finished_)
    {
        return;
    }
    finished_ = true;
    timer_.cancel();
    abandon_sends();
    context_.counters.add(counter::requests_gave_up);
    log_outcome(event::caller_left, 0, "caller closed the connection");
    answer_ = nullptr;
}

} // namespace bramleymux
