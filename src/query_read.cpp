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

/// A sub-request that was sent and has no reply yet.
struct in_flight_request
{
    shard_batch batch;
    std::vector<target_handle> tried; ///< for these shards, this one included
    unsigned attempt = 1;
    attempt_kind kind = attempt_kind::first;
    bool hedged = false; ///< has a hedge, or is one
    bool cancelled = false;
    monotonic_time sent_at;
    monotonic_time hedge_at;
    std::string traceparent;
};

/// Shards that had no usable replica left to try; they are planned again at
/// `at`, with all targets allowed.
struct delayed_retry
{
    monotonic_time at;
    std::vector<shard_id> shards;
    unsigned attempt = 1;
};

/// Whether the same target may accept the request after a short delay.
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

/// One idempotent query, from the choice of its snapshot to its answer.
class read_query
{
public:
    read_query(const query_context& context, const caller_request& request)
        : context_(context), request_(request),
          replies_(std::make_shared<mailbox>())
    {
    }

    query_result
    run();

private:
    /// Sends the query to all shards of the pinned snapshot and collects
    /// replies until the answer is complete, cannot improve any more, or the
    /// deadline has passed. Returns false if the query should restart on
    /// another snapshot.
    bool
    query_pinned_snapshot();
    /// Loads the published state and pins a snapshot. Returns false, with the
    /// problem set, if there is none. Targets may have run the query before.
    bool
    prepare();
    /// Sends the batches of a plan to targets that are not in `tried`.
    void
    submit(const query_plan& plan, const std::vector<target_handle>& tried,
        unsigned attempt, attempt_kind kind);
    void
    handle_reply(sub_reply reply);
    void
    observe(const in_flight_request& sent, miss_reason error, run_state run,
        duration elapsed) const;
    /// Sends failed shards to other replicas as far as attempts, deadline and
    /// retry budget allow. Shards without another replica are retried after a
    /// delay if the error is transient or the caller waits for coverage.
    void
    retry(std::vector<shard_id> shards, const std::vector<target_handle>& tried,
        unsigned attempt, miss_reason error, run_state run);
    void
    send_due_hedges();
    void
    send_due_retries();
    /// Cancels sub-requests whose shards are all answered by others.
    void
    cancel_unneeded();
    /// Cancels all sub-requests in flight and ignores their replies. Reports
    /// each to the observer as of unknown outcome.
    void
    abandon_in_flight();
    /// Whether a target turned out not to hold the pinned snapshot and another
    /// snapshot is now the better choice.
    bool
    must_restart() const;
    /// Time of the next hedge or delayed retry, at most the deadline.
    monotonic_time
    next_wake() const;
    query_plan
    plan(const std::vector<shard_id>& shards,
        const std::vector<target_handle>& tried) const;
    /// Whether the caller asked to wait for the required coverage and the
    /// answer has not reached it.
    bool
    is_awaiting_coverage() const;
    double
    required_coverage() const;
    /// What targets did with the query, also on abandoned snapshots.
    run_state
    run_so_far() const;
    query_result
    finish();

    const query_context& context_;
    const caller_request& request_;
    std::shared_ptr<mailbox> replies_;
    query_inputs inputs_;
    query_result result_;
    version_handle version_;
    const snapshot_index* snapshot_ = nullptr;
    answer_builder builder_;
    std::unordered_map<std::uint64_t, in_flight_request> in_flight_;
    std::vector<delayed_retry> delayed_retries_;
    monotonic_time now_;
    bool snapshot_lost_ = false;
    bool any_executed_ = false;
    bool any_outcome_unknown_ = false;
};

query_result
read_query::run()
{
    for (std::size_t restart = 0;; ++restart)
    {
        if (!prepare())
        {
            result_.run = run_so_far();
            return result_;
        }
        const bool may_restart = restart < config::max_snapshot_restarts;
        if (query_pinned_snapshot() || !may_restart)
        {
            return finish();
        }
        context_.counters.add(counter::snapshot_restarts);
        abandon_in_flight();
    }
}

bool
read_query::prepare()
{
    inputs_ = read_inputs(context_.board, request_, result_);
    if (result_.problem != problem_code::none)
    {
        return false;
    }
    now_ = monotonic_clock::now();
    version_ = inputs_.versions.preferred;
    const target_views& views = read_views(context_.board, inputs_, now_);
    snapshot_ = choose_snapshot(
        *inputs_.routes, inputs_.service->self, version_, views);
    if (snapshot_ == nullptr)
    {
        result_.problem = problem_code::no_snapshot;
        result_.detail = "no target of the service has reported a snapshot";
        return false;
    }
    builder_ = start_answer(snapshot_->sequence, all_shards(*snapshot_));
    delayed_retries_.clear();
    snapshot_lost_ = false;
    return true;
}

bool
read_query::query_pinned_snapshot()
{
    const std::vector<shard_id> shards = all_shards(*snapshot_);
    context_.board.load.earn_for(inputs_.service->self, shards.size(), now_);
    submit(plan(shards, {}), {}, 1, attempt_kind::first);
    while (!is_complete(builder_) && now_ < request_.deadline)
    {
        if (is_settled(builder_) && delayed_retries_.empty())
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

/// One target without the pinned snapshot may mean that all replicas of a shard
/// have replaced it by a newer one.
bool
read_query::must_restart() const
{
    if (!snapshot_lost_)
    {
        return false;
    }
    const auto routes = context_.board.routes.get();
    const target_views& views = read_views(context_.board, inputs_, now_);
    const snapshot_index* newest =
        choose_snapshot(*routes, inputs_.service->self, version_, views);
    return newest != nullptr && newest->sequence != builder_.snapshot;
}

query_plan
read_query::plan(const std::vector<shard_id>& shards,
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
    return plan_query(*inputs_.routes, *snapshot_, wanted,
        read_views(context_.board, inputs_, now_), now_, query_random());
}

void
read_query::submit(const query_plan& plan,
    const std::vector<target_handle>& tried, unsigned attempt,
    attempt_kind kind)
{
    std::vector<sub_request> batch;
    const duration hedge_delay =
        context_.board.load.hedge_delay_of(inputs_.route->self);
    for (const shard_batch& item : plan.batches)
    {
        sub_request sub = make_sub_request(
            context_, inputs_, request_, builder_.snapshot, item);
        in_flight_request sent;
        sent.batch = item;
        sent.tried = tried;
        sent.tried.push_back(item.target);
        sent.attempt = attempt;
        sent.kind = kind;
        sent.hedged = kind == attempt_kind::hedge;
        sent.sent_at = now_;
        sent.hedge_at = now_ + hedge_delay;
        sent.traceparent = sub.traceparent;
        register_sub_request(builder_, sub);
        in_flight_.emplace(sub.id, std::move(sent));
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
read_query::handle_reply(sub_reply reply)
{
    const auto found = in_flight_.find(reply.id);
    if (found == in_flight_.end())
    {
        return;
    }
    const in_flight_request sent = std::move(found->second);
    in_flight_.erase(found);
    const duration elapsed = now_ - sent.sent_at;
    const run_state run = reply.run;
    const duration target_time = reply.target_time;
    if (context_.gate != nullptr)
    {
        context_.gate->record_reply(inputs_.service->self, reply);
    }
    const merge_result merged = merge(builder_, std::move(reply));
    any_executed_ = any_executed_ || run == run_state::run;
    any_outcome_unknown_ = any_outcome_unknown_ || run == run_state::unknown;
    context_.board.targets.record_reply(
        sent.batch.target, merged.error, elapsed, now_, query_random());
    // Excludes the time in the owner's queue, which is not evidence about the
    // target's version.
    observe(sent, merged.error, run,
        target_time > duration::zero() ? target_time : elapsed);
    record_sub_request_span(context_, request_, sent.traceparent,
        inputs_.topology->targets[sent.batch.target.index].name, sent.sent_at,
        now_, attempt_kind_names[static_cast<std::size_t>(sent.kind)].data(),
        merged.error);
    if (merged.error == miss_reason::none)
    {
        context_.counters.observe(latency_kind::sub_request, elapsed);
        context_.board.load.record_latency(inputs_.route->self, elapsed, now_);
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
read_query::observe(const in_flight_request& sent, miss_reason error,
    run_state run, duration elapsed) const
{
    if (!context_.observe)
    {
        return;
    }
    const target_handle target = sent.batch.target;
    context_.observe(
        {inputs_.service->self, inputs_.topology->targets[target.index].version,
            inputs_.route->self, target, error, run, elapsed});
}

void
read_query::retry(std::vector<shard_id> shards,
    const std::vector<target_handle>& tried, unsigned attempt,
    miss_reason error, run_state run)
{
    shards.erase(std::remove_if(shards.begin(), shards.end(),
                     [this](shard_id s) { return is_expected(builder_, s); }),
        shards.end());
    const bool allowed =
        attempt <= config::max_attempts_per_shard || is_awaiting_coverage();
    if (shards.empty() || !allowed ||
        now_ + config::entry_hop_cost >= request_.deadline ||
        !context_.board.load.spend_retry_of(
            inputs_.service->self, run, shards.size()))
    {
        return;
    }
    const query_plan next = plan(shards, tried);
    context_.counters.add(counter::sub_requests_retried, next.batches.size());
    submit(next, tried, attempt, attempt_kind::retry);
    if (next.missing.empty() ||
        !(is_transient(error) || is_awaiting_coverage()))
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
    delayed_retries_.push_back(std::move(later));
}

void
read_query::send_due_retries()
{
    std::vector<delayed_retry> due;
    const auto is_due = [this](const delayed_retry& r) { return r.at <= now_; };
    std::copy_if(delayed_retries_.begin(), delayed_retries_.end(),
        std::back_inserter(due), is_due);
    delayed_retries_.erase(std::remove_if(delayed_retries_.begin(),
                               delayed_retries_.end(), is_due),
        delayed_retries_.end());
    for (const delayed_retry& r : due)
    {
        const std::vector<shard_id> shards = unanswered(builder_, r.shards);
        const query_plan next = plan(shards, {});
        context_.counters.add(
            counter::sub_requests_retried, next.batches.size());
        submit(next, {}, r.attempt, attempt_kind::retry);
        if (!next.missing.empty() && is_awaiting_coverage())
        {
            delayed_retry again;
            again.attempt = r.attempt;
            again.at = now_ + config::retry_delay_cap;
            for (const shard_miss& miss : next.missing)
            {
                again.shards.push_back(miss.shard);
            }
            delayed_retries_.push_back(std::move(again));
        }
    }
}

void
read_query::send_due_hedges()
{
    if (context_.policy == policy_kind::baseline)
    {
        return;
    }
    std::vector<std::uint64_t> due;
    for (const auto& [id, sent] : in_flight_)
    {
        if (!sent.hedged && !sent.cancelled && sent.hedge_at <= now_)
        {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due)
    {
        in_flight_request& late = in_flight_.at(id);
        const std::vector<shard_id> shards =
            unanswered(builder_, late.batch.shards);
        const query_plan next = plan(shards, late.tried);
        std::size_t hedged_shards = 0;
        for (const shard_batch& b : next.batches)
        {
            hedged_shards += b.shards.size();
        }
        if (hedged_shards == 0 ||
            !context_.board.load.spend_hedge(hedged_shards))
        {
            // Checks again later: the time since the send about doubles from
            // one check to the next.
            late.hedge_at = now_ + (late.hedge_at - late.sent_at);
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
read_query::cancel_unneeded()
{
    for (const std::uint64_t id : cancellable_requests(builder_))
    {
        const auto found = in_flight_.find(id);
        if (found != in_flight_.end() && !found->second.cancelled)
        {
            found->second.cancelled = true;
            context_.counters.add(counter::sub_requests_cancelled);
            context_.sink.cancel(id);
        }
    }
}

void
read_query::abandon_in_flight()
{
    for (const auto& [id, sent] : in_flight_)
    {
        const bool already_answered =
            unanswered(builder_, sent.batch.shards).empty();
        const miss_reason error =
            already_answered ? miss_reason::cancelled : miss_reason::deadline;
        const duration elapsed = now_ - sent.sent_at;
        context_.board.targets.record_reply(
            sent.batch.target, error, elapsed, now_, query_random());
        observe(sent, error, run_state::unknown, elapsed);
        record_sub_request_span(context_, request_, sent.traceparent,
            inputs_.topology->targets[sent.batch.target.index].name,
            sent.sent_at, now_,
            attempt_kind_names[static_cast<std::size_t>(sent.kind)].data(),
            error);
        if (!sent.cancelled)
        {
            context_.sink.cancel(id);
        }
        any_outcome_unknown_ = true;
    }
    in_flight_.clear();
}

monotonic_time
read_query::next_wake() const
{
    monotonic_time wake = request_.deadline;
    if (context_.policy != policy_kind::baseline)
    {
        for (const auto& [id, sent] : in_flight_)
        {
            if (!sent.hedged && !sent.cancelled)
            {
                wake = std::min(wake, sent.hedge_at);
            }
        }
    }
    for (const delayed_retry& r : delayed_retries_)
    {
        wake = std::min(wake, r.at);
    }
    return wake;
}

double
read_query::required_coverage() const
{
    return request_.min_coverage.value_or(inputs_.service->min_coverage);
}

bool
read_query::is_awaiting_coverage() const
{
    if (!request_.wait_for_coverage)
    {
        return false;
    }
    const coverage current = coverage_of(builder_);
    return static_cast<double>(current.answered) <
           required_coverage() * static_cast<double>(current.asked);
}

run_state
read_query::run_so_far() const
{
    return any_executed_ || any_outcome_unknown_ ? run_state::unknown
                                                 : run_state::not_run;
}

query_result
read_query::finish()
{
    now_ = monotonic_clock::now();
    abandon_in_flight();
    close_answer(builder_);
    result_.covered = coverage_of(builder_);
    result_.snapshot = builder_.snapshot;
    result_.version = version_.is_valid()
                          ? inputs_.topology->versions[version_.index].name
                          : std::string();
    const double asked = static_cast<double>(result_.covered.asked);
    const double answered = static_cast<double>(result_.covered.answered);
    context_.counters.add(counter::shards_asked, result_.covered.asked);
    context_.counters.add(counter::shards_answered, result_.covered.answered);
    result_.run = result_.covered.answered > 0 ? run_state::run : run_so_far();
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
    return read_query(context, request).run();
}

} // namespace bramleymux
