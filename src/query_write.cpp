#include "query_write.hpp"

#include "config.hpp"
#include "query_common.hpp"

#include <xxhash.h>

namespace bramleymux
{

using nlohmann::json;

namespace
{

call_time
time_now()
{
    return {monotonic_clock::now(),
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count()};
}

/// Whether the request was refused before any byte of it was sent to a target,
/// so that it may be sent to another one.
bool
is_unsent(const sub_reply& reply)
{
    if (reply.run != run_state::not_run)
    {
        return false;
    }
    switch (reply.error)
    {
    case miss_reason::owner_unknown:
    case miss_reason::lease_lapsed:
    case miss_reason::queue_full:
    case miss_reason::zone_out:
    case miss_reason::no_replica:
        return true;
    default:
        return false;
    }
}

/// Outcome that is stored with the idempotency key.
json
outcome_of(const query_result& result)
{
    return {{"snapshot", result.snapshot}, {"version", result.version},
        {"shard", result.covered.asked}, {"rows", result.rows}};
}

/// One non-idempotent request, from the claim of its key to its stored outcome.
class write_query
{
public:
    write_query(const query_context& context, idempotency_store& records,
        const caller_request& request)
        : context_(context), records_(records), request_(request),
          replies_(std::make_shared<mailbox>())
    {
    }

    query_result
    run();

private:
    /// Chooses the snapshot and the shard. Returns false, with the problem set,
    /// if there is no snapshot.
    bool
    prepare();
    /// Returns true if the request may be sent. Otherwise the result holds the
    /// stored outcome of a duplicate, or the problem.
    bool
    claim_key();
    /// Sends to one target after another until one may have received the
    /// request, for at most `config::max_attempts_per_shard` targets.
    void
    send_with_retries();
    /// Sends one sub-request and waits for its reply. Without a reply by the
    /// deadline, returns an error with an unknown outcome.
    sub_reply
    send_once(const shard_batch& batch);
    /// Sets the result from a reply and the outcome of its merge.
    void
    set_result(const sub_reply& reply, const merge_result& merged);

    const query_context& context_;
    idempotency_store& records_;
    const caller_request& request_;
    std::shared_ptr<mailbox> replies_;
    query_inputs inputs_;
    query_result result_;
    const snapshot_index* snapshot_ = nullptr;
    answer_builder builder_;
    shard_id shard_ = 0;
    claim claim_;
};

query_result
write_query::run()
{
    if (!prepare() || !claim_key())
    {
        return std::move(result_);
    }
    send_with_retries();
    records_.complete(claim_, result_.run, outcome_of(result_), time_now());
    return std::move(result_);
}

bool
write_query::prepare()
{
    inputs_ = read_inputs(context_.board, request_, result_);
    if (result_.problem != problem_code::none)
    {
        return false;
    }
    const target_views& views =
        read_views(context_.board, inputs_, monotonic_clock::now());
    snapshot_ = choose_snapshot(*inputs_.routes, inputs_.service->self,
        inputs_.versions.preferred, views);
    if (snapshot_ == nullptr)
    {
        result_.problem = problem_code::no_snapshot;
        return false;
    }
    const std::string key = request_.query.value("key", std::string());
    shard_ = shard_of_key(
        key.empty() ? request_.idempotency_key : key, snapshot_->shard_count);
    builder_ = start_answer(snapshot_->sequence, {shard_});
    result_.snapshot = snapshot_->sequence;
    return true;
}

bool
write_query::claim_key()
{
    context_.counters.add(counter::idempotency_claims);
    claim_result claimed = records_.claim_key(
        {request_.service, request_.idempotency_key, request_.id,
            request_.route + "\n" + request_.query.dump()},
        time_now());
    switch (claimed.outcome)
    {
    case claim_outcome::proceed:
        claim_ = claimed.claimed;
        return true;
    case claim_outcome::duplicate_done:
        context_.counters.add(counter::idempotency_duplicates);
        result_.run = run_state::run;
        result_.rows = claimed.stored.value("rows", json::array());
        result_.snapshot =
            claimed.stored.value("snapshot", snapshot_sequence{0});
        result_.version = claimed.stored.value("version", std::string());
        result_.covered = {1, 1, {}};
        return false;
    case claim_outcome::duplicate_running:
        context_.counters.add(counter::idempotency_duplicates);
        result_.problem = problem_code::duplicate_request;
        result_.run = run_state::unknown;
        break;
    case claim_outcome::mismatch:
        result_.problem = problem_code::idempotency_key_reused;
        break;
    default:
        result_.problem = problem_code::platform_unavailable;
        break;
    }
    result_.detail = claimed.reason;
    return false;
}

void
write_query::send_with_retries()
{
    result_.problem = problem_code::target_refused;
    std::vector<target_handle> tried;
    for (std::size_t i = 0; i < config::max_attempts_per_shard; ++i)
    {
        const monotonic_time now = monotonic_clock::now();
        plan_request wanted;
        wanted.version = inputs_.versions.preferred;
        wanted.shards = {shard_};
        wanted.tried = tried;
        wanted.query_number = request_.query_number;
        const query_plan plan = plan_query(*inputs_.routes, *snapshot_, wanted,
            read_views(context_.board, inputs_, now), now, query_random());
        if (plan.batches.empty() ||
            now + config::entry_hop_cost >= request_.deadline)
        {
            break;
        }
        tried.push_back(plan.batches.front().target);
        sub_reply reply = send_once(plan.batches.front());
        const bool unsent = is_unsent(reply);
        const sub_reply copy = reply;
        const merge_result merged = merge(builder_, std::move(reply));
        set_result(copy, merged);
        if (!unsent)
        {
            return;
        }
        context_.counters.add(counter::sub_requests_retried);
    }
    result_.covered = coverage_of(builder_);
}

sub_reply
write_query::send_once(const shard_batch& batch)
{
    sub_request sub =
        make_sub_request(context_, inputs_, request_, builder_.snapshot, batch);
    const std::uint64_t id = sub.id;
    const std::string traceparent = sub.traceparent;
    result_.version = sub.version;
    register_sub_request(builder_, sub);
    context_.counters.add(counter::sub_requests);
    context_.board.targets.sent(batch.target);
    const monotonic_time sent = monotonic_clock::now();
    std::vector<sub_request> submitted;
    submitted.push_back(std::move(sub));
    context_.sink.submit(std::move(submitted),
        [replies = replies_](sub_reply reply)
        { replies->push(std::move(reply)); });
    sub_reply answer;
    answer.id = id;
    answer.error = miss_reason::deadline;
    answer.run = run_state::unknown;
    while (monotonic_clock::now() < request_.deadline)
    {
        std::vector<sub_reply> arrived = replies_->wait(request_.deadline);
        const auto own = std::find_if(arrived.begin(), arrived.end(),
            [id](const sub_reply& r) { return r.id == id; });
        if (own != arrived.end())
        {
            answer = std::move(*own);
            break;
        }
    }
    const monotonic_time now = monotonic_clock::now();
    context_.board.targets.record_reply(
        batch.target, answer.error, now - sent, now, query_random());
    record_sub_request_span(context_, request_, traceparent,
        inputs_.topology->targets[batch.target.index].name, sent, now, "write",
        answer.error);
    return answer;
}

/// The run state of a reply is used only if the merge agrees with its error: a
/// reply that does not match the request is no evidence of what the target
/// executed.
void
write_query::set_result(const sub_reply& reply, const merge_result& merged)
{
    result_.covered = coverage_of(builder_);
    if (merged.error == miss_reason::none)
    {
        result_.problem = problem_code::none;
        result_.run = run_state::run;
        result_.rows = take_rows(builder_);
        return;
    }
    const bool consistent = merged.error == reply.error;
    result_.run = consistent ? reply.run : run_state::unknown;
    result_.detail = std::string(to_string(merged.error));
    result_.problem = result_.run == run_state::not_run
                          ? problem_code::target_refused
                          : problem_code::outcome_unknown;
}

} // namespace

shard_id
shard_of_key(std::string_view key, std::uint32_t shard_count)
{
    return static_cast<shard_id>(
        XXH3_64bits(key.data(), key.size()) % shard_count);
}

query_result
run_write(const query_context& context, idempotency_store& records,
    const caller_request& request)
{
    return write_query(context, records, request).run();
}

} // namespace bramleymux
