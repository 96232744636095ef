#include "query_common.hpp"

#include "config.hpp"
#include "log_events.hpp"

#include <algorithm>
#include <unordered_map>

namespace bramleymux
{

namespace
{

enum class attempt_kind
{
    first,
    retry,
    hedge,
    count
};

constexpr name_table<attempt_kind> attempt_kind_names{
    "first", "retry", "hedge"};

/// A sub-request that has been sent and not yet replied to.
struct open_batch
{
    shard_batch batch;
    std::vector<target_handle> tried;
    unsigned attempt = 1;
    attempt_kind kind = attempt_kind::first;
    bool hedged = false;
    bool cancelled = false;
    monotonic_time sent;
    monotonic_time hedge_at;
    std::string traceparent;
};

/// Shards without another replica, to be sent again after a delay.
struct delayed_retry
{
    monotonic_time at;
    std::vector<shard_id> shards;
    unsigned attempt = 1;
};

/// Whether the same target may accept the request a moment later.
bool
is_transient(miss_reason reason)
{
    switch (reason)
    {
    case miss_reason::shed:
    case miss_reason::queue_full:
    case miss_reason::owner_unknown:
    case miss_reason::lease_lapsed:
    case miss_reason::snapshot:
    case miss_reason::unreachable:
        return true;
    default:
        return false;
    }
}

class read_run
{
public:
    read_run(const query_context& context, const caller_request& request)
        : context_(context), request_(request),
          replies_(std::make_shared<mailbox>())
    {
    }

    query_result
    run();

private:
    bool
    run_snapshot();
    bool
    prepare();
    void
    submit(const query_plan& plan, const std::vector<target_handle>& tried,
        unsigned attempt, attempt_kind kind);
    void
    handle_reply(sub_reply reply);
    void
    observe(const open_batch& sent, miss_reason error, run_state run,
        duration elapsed) const;
    void
    retry(std::vector<shard_id> shards, const std::vector<target_handle>& tried,
        unsigned attempt, miss_reason error, run_state run);
    void
    send_due_hedges();
    void
    send_due_retries();
    void
    cancel_unneeded();
    void
    end_open_batches();
    bool
    must_restart() const;
    monotonic_time
    next_wake() const;
    query_plan
    plan(const std::vector<shard_id>& shards,
        const std::vector<target_handle>& tried) const;
    bool
    wants_more_coverage() const;
    double
    required_coverage() const;
    query_result
    finish();

    const query_context& context_;
    const caller_request& request_;
    std::shared_ptr<mailbox> replies_;
    query_inputs in_;
    query_result result_;
    version_handle version_;
    const snapshot_index* snapshot_ = nullptr;
    answer_builder builder_;
    std::unordered_map<std::uint64_t, open_batch> open_;
    std::vector<delayed_retry> delayed_;
    monotonic_time now_;
    bool snapshot_lost_ = false;
    bool any_run_ = false;
    bool any_unknown_ = false;
};

query_result
read_run::run()
{
    for (std::size_t restart = 0;; ++restart)
    {
        if (!prepare())
        {
            return result_;
        }
        const bool may_restart = restart < config::max_snapshot_restarts;
        if (run_snapshot() || !may_restart)
        {
            return finish();
        }
        context_.counters.add(counter::snapshot_restarts);
        end_open_batches();
    }
}

/// Takes the published state and pins a snapshot.
bool
read_run::prepare()
{
    in_ = read_inputs(context_.board, request_, result_);
    if (result_.problem != problem_code::none)
    {
        return false;
    }
    now_ = monotonic_clock::now();
    version_ = in_.versions.preferred;
    const target_views& views = read_views(context_.board, in_, now_);
    snapshot_ =
        choose_snapshot(*in_.routes, in_.service->self, version_, views);
    if (snapshot_ == nullptr)
    {
        result_.problem = problem_code::no_snapshot;
        result_.detail = "no target of the service has reported a snapshot";
        return false;
    }
    builder_ = start_answer(snapshot_->sequence, all_shards(*snapshot_));
    delayed_.clear();
    snapshot_lost_ = false;
    return true;
}

/// Collects replies until the answer is whole or cannot improve. False when
/// the query should start again on another snapshot.
bool
read_run::run_snapshot()
{
    const std::vector<shard_id> shards = all_shards(*snapshot_);
    context_.board.load.earn_for(in_.service->self, shards.size(), now_);
    submit(plan(shards, {}), {}, 1, attempt_kind::first);
    while (!is_complete(builder_) && now_ < request_.deadline)
    {
        if (is_settled(builder_) && delayed_.empty())
        {
            break;
        }
        for (sub_reply& reply : replies_->wait(next_wake()))
        {
            now_ = monotonic_clock::now();
            handle_reply(std::move(reply));
        }
        now_ = monotonic_clock::now();
        if (must_restart())
        {
            return false;
        }
        cancel_unneeded();
        send_due_hedges();
        send_due_retries();
    }
    return true;
}

/// A target that does not hold the pinned snapshot any more may mean that all
/// replicas of a shard have moved on.
bool
read_run::must_restart() const
{
    if (!snapshot_lost_)
    {
        return false;
    }
    const auto routes = context_.board.routes.get();
    const target_views& views = read_views(context_.board, in_, now_);
    const snapshot_index* newest =
        choose_snapshot(*routes, in_.service->self, version_, views);
    return newest != nullptr && newest->sequence != builder_.snapshot;
}

query_plan
read_run::plan(const std::vector<shard_id>& shards,
    const std::vector<target_handle>& tried) const
{
    plan_request wanted;
    wanted.version = version_;
    wanted.shards = shards;
    wanted.tried = tried;
    wanted.policy = context_.policy == policy_kind::baseline
                        ? routing_policy::baseline
                        : routing_policy::adaptive;
    wanted.query_number = request_.query_number;
    return plan_query(*in_.routes, *snapshot_, wanted,
        read_views(context_.board, in_, now_), now_, query_random());
}

void
read_run::submit(const query_plan& plan,
    const std::vector<target_handle>& tried, unsigned attempt,
    attempt_kind kind)
{
    std::vector<sub_request> batch;
    const duration hedge_delay =
        context_.board.load.hedge_delay_of(in_.route->self);
    for (const shard_batch& item : plan.batches)
    {
        sub_request sub =
            make_sub_request(context_, in_, request_, builder_.snapshot, item);
        open_batch sent;
        sent.batch = item;
        sent.tried = tried;
        sent.tried.push_back(item.target);
        sent.attempt = attempt;
        sent.kind = kind;
        sent.hedged = kind == attempt_kind::hedge;
        sent.sent = now_;
        sent.hedge_at = now_ + hedge_delay;
        sent.traceparent = sub.traceparent;
        register_sub_request(builder_, sub);
        open_.emplace(sub.id, std::move(sent));
        context_.board.targets.sent(item.target);
        batch.push_back(std::move(sub));
    }
    for (const shard_miss& miss : plan.missing)
    {
        if (kind == attempt_kind::first)
        {
            record_missing(builder_, {miss.shard}, miss.reason);
        }
    }
    if (!batch.empty())
    {
        context_.counters.add(counter::sub_requests, batch.size());
        context_.sink.submit(std::move(batch),
            [replies = replies_](sub_reply reply)
            { replies->push(std::move(reply)); });
    }
}

void
read_run::handle_reply(sub_reply reply)
{
    const auto found = open_.find(reply.id);
    if (found == open_.end())
    {
        return;
    }
    const open_batch sent = std::move(found->second);
    open_.erase(found);
    const duration elapsed = now_ - sent.sent;
    const run_state run = reply.run;
    const duration target_time = reply.target_time;
    if (context_.gate != nullptr)
    {
        context_.gate->record_reply(in_.service->self, reply);
    }
    const merge_result merged = merge(builder_, std::move(reply));
    any_run_ = any_run_ || run == run_state::run;
    any_unknown_ = any_unknown_ || run == run_state::unknown;
    context_.board.targets.record_reply(
        sent.batch.target, merged.error, elapsed, now_, query_random());
    // Without the wait in front of the target, which says nothing about its
    // version.
    observe(sent, merged.error, run,
        target_time > duration::zero() ? target_time : elapsed);
    record_sub_request_span(context_, request_, sent.traceparent,
        in_.topology->targets[sent.batch.target.index].name, sent.sent, now_,
        attempt_kind_names[static_cast<std::size_t>(sent.kind)].data(),
        merged.error);
    if (merged.error == miss_reason::none)
    {
        context_.counters.observe(latency_kind::sub_request, elapsed);
        context_.board.load.record_latency(in_.route->self, elapsed, now_);
        return;
    }
    if (merged.error == miss_reason::shed)
    {
        context_.board.load.record_shed_reply(now_);
    }
    snapshot_lost_ = snapshot_lost_ || merged.error == miss_reason::snapshot;
    if (merged.error != miss_reason::cancelled)
    {
        retry(merged.failed, sent.tried, sent.attempt + 1, merged.error, run);
    }
}

void
read_run::observe(const open_batch& sent, miss_reason error, run_state run,
    duration elapsed) const
{
    if (!context_.observe)
    {
        return;
    }
    const target_handle target = sent.batch.target;
    context_.observe(
        {in_.service->self, in_.topology->targets[target.index].version,
            in_.route->self, target, error, run, elapsed});
}

void
read_run::retry(std::vector<shard_id> shards,
    const std::vector<target_handle>& tried, unsigned attempt,
    miss_reason error, run_state run)
{
    shards.erase(std::remove_if(shards.begin(), shards.end(),
                     [this](shard_id s) { return is_expected(builder_, s); }),
        shards.end());
    const bool allowed =
        attempt <= config::max_attempts_per_shard || wants_more_coverage();
    if (shards.empty() || !allowed ||
        now_ + config::entry_hop_cost >= request_.deadline ||
        !context_.board.load.spend_retry_of(
            in_.service->self, run, shards.size()))
    {
        return;
    }
    const query_plan next = plan(shards, tried);
    context_.counters.add(counter::sub_requests_retried, next.batches.size());
    submit(next, tried, attempt, attempt_kind::retry);
    if (next.missing.empty() || !(is_transient(error) || wants_more_coverage()))
    {
        return;
    }
    delayed_retry later;
    later.attempt = attempt + 1;
    later.at = now_ + full_jitter(attempt, config::retry_delay_base,
                          config::retry_delay_cap, query_random());
    for (const shard_miss& miss : next.missing)
    {
        later.shards.push_back(miss.shard);
    }
    delayed_.push_back(std::move(later));
}

void
read_run::send_due_retries()
{
    std::vector<delayed_retry> due;
    const auto is_due = [this](const delayed_retry& r) { return r.at <= now_; };
    std::copy_if(
        delayed_.begin(), delayed_.end(), std::back_inserter(due), is_due);
    delayed_.erase(std::remove_if(delayed_.begin(), delayed_.end(), is_due),
        delayed_.end());
    for (const delayed_retry& r : due)
    {
        const std::vector<shard_id> shards = unanswered(builder_, r.shards);
        const query_plan next = plan(shards, {});
        context_.counters.add(
            counter::sub_requests_retried, next.batches.size());
        submit(next, {}, r.attempt, attempt_kind::retry);
        if (!next.missing.empty() && wants_more_coverage())
        {
            delayed_retry again;
            again.attempt = r.attempt;
            again.at = now_ + config::retry_delay_cap;
            for (const shard_miss& miss : next.missing)
            {
                again.shards.push_back(miss.shard);
            }
            delayed_.push_back(std::move(again));
        }
    }
}

void
read_run::send_due_hedges()
{
    if (context_.policy == policy_kind::baseline)
    {
        return;
    }
    std::vector<std::uint64_t> due;
    for (const auto& [id, sent] : open_)
    {
        if (!sent.hedged && !sent.cancelled && sent.hedge_at <= now_)
        {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due)
    {
        open_batch& late = open_.at(id);
        const std::vector<shard_id> shards =
            unanswered(builder_, late.batch.shards);
        const query_plan next = plan(shards, late.tried);
        std::size_t covered = 0;
        for (const shard_batch& b : next.batches)
        {
            covered += b.shards.size();
        }
        if (covered == 0 || !context_.board.load.spend_hedge(covered))
        {
            late.hedge_at = now_ + (late.hedge_at - late.sent);
            continue;
        }
        late.hedged = true;
        context_.counters.add(
            counter::sub_requests_hedged, next.batches.size());
        const std::vector<target_handle> tried = late.tried;
        const unsigned attempt = late.attempt;
        submit({next.batches, {}}, tried, attempt, attempt_kind::hedge);
    }
}

void
read_run::cancel_unneeded()
{
    for (const std::uint64_t id : cancellable_requests(builder_))
    {
        const auto found = open_.find(id);
        if (found != open_.end() && !found->second.cancelled)
        {
            found->second.cancelled = true;
            context_.counters.add(counter::sub_requests_cancelled);
            context_.sink.cancel(id);
        }
    }
}

/// Cancels what is still running; its replies are not read any more.
void
read_run::end_open_batches()
{
    for (const auto& [id, sent] : open_)
    {
        const bool needless = unanswered(builder_, sent.batch.shards).empty();
        const miss_reason error =
            needless ? miss_reason::cancelled : miss_reason::deadline;
        const duration elapsed = now_ - sent.sent;
        context_.board.targets.record_reply(
            sent.batch.target, error, elapsed, now_, query_random());
        observe(sent, error, run_state::unknown, elapsed);
        record_sub_request_span(context_, request_, sent.traceparent,
            in_.topology->targets[sent.batch.target.index].name, sent.sent,
            now_,
            attempt_kind_names[static_cast<std::size_t>(sent.kind)].data(),
            error);
        if (!sent.cancelled)
        {
            context_.sink.cancel(id);
        }
        any_unknown_ = true;
    }
    open_.clear();
}

monotonic_time
read_run::next_wake() const
{
    monotonic_time wake = request_.deadline;
    if (context_.policy != policy_kind::baseline)
    {
        for (const auto& [id, sent] : open_)
        {
            if (!sent.hedged && !sent.cancelled)
            {
                wake = std::min(wake, sent.hedge_at);
            }
        }
    }
    for (const delayed_retry& r : delayed_)
    {
        wake = std::min(wake, r.at);
    }
    return wake;
}

double
read_run::required_coverage() const
{
    return request_.min_coverage.value_or(in_.service->min_coverage);
}

bool
read_run::wants_more_coverage() const
{
    if (!request_.wait_for_coverage)
    {
        return false;
    }
    const coverage now = coverage_of(builder_);
    return static_cast<double>(now.answered) <
           required_coverage() * static_cast<double>(now.asked);
}

query_result
read_run::finish()
{
    now_ = monotonic_clock::now();
    end_open_batches();
    close_answer(builder_);
    result_.covered = coverage_of(builder_);
    result_.snapshot = builder_.snapshot;
    result_.version = version_.is_valid()
                          ? in_.topology->versions[version_.index].name
                          : std::string();
    const double asked = static_cast<double>(result_.covered.asked);
    const double answered = static_cast<double>(result_.covered.answered);
    context_.counters.add(counter::shards_asked, result_.covered.asked);
    context_.counters.add(counter::shards_answered, result_.covered.answered);
    if (result_.covered.answered > 0)
    {
        result_.run = run_state::run;
    }
    else if (any_run_ || any_unknown_)
    {
        result_.run = run_state::unknown;
    }
    if (answered < required_coverage() * asked)
    {
        result_.problem = problem_code::coverage_below_minimum;
    }
    else if (result_.covered.answered == 0 && result_.covered.asked > 0)
    {
        result_.problem = result_.run == run_state::not_run
                              ? problem_code::target_refused
                              : problem_code::deadline_passed;
    }
    result_.rows = take_rows(builder_);
    return std::move(result_);
}

} // namespace

query_result
run_read(const query_context& context, const caller_request& request)
{
    return read_run(context, request).run();
}

} // namespace bramleymux
