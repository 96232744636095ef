#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Sub-requests of a query, their replies, and their encoding in peer messages.
namespace bramleymux
{

/// Request to one target for some shards of the query's snapshot.
struct sub_request
{
    std::uint64_t id = 0; ///< unique in the process that submits it
    std::string query_id;
    target_handle target;
    std::string target_name;
    std::string service;
    std::string route;
    std::string version; ///< of the target; the reply must carry the same one
    snapshot_sequence snapshot = 0;
    std::vector<shard_id> shards;
    monotonic_time deadline;
    double worth = 1.0; ///< the route's, times the caller's
    bool idempotent = true;
    std::string idempotency_key;
    std::string traceparent;
    nlohmann::json query;
};

/// Rows that a target returned for one shard.
struct shard_rows
{
    shard_id shard = 0;
    nlohmann::json rows; ///< array
};

/// Reply to a sub-request, from the target or from a VM on the path to it.
struct sub_reply
{
    std::uint64_t id = 0;
    miss_reason error = miss_reason::none;
    run_state run = run_state::not_run;
    std::string instance;
    std::string version;
    snapshot_sequence snapshot = 0;
    std::vector<shard_rows> shards;
    duration target_time{}; ///< from send to reply, measured by the owner
    duration queue_time{};  ///< in the owner's queue
};

/// Called at most once for each sub-request, on any thread, possibly before
/// `submit` returns. A sub-request forwarded to another VM may get no reply.
using sub_reply_handler = std::function<void(sub_reply)>;

/// Accepts sub-requests for execution, here or on the VM that owns the target.
class sub_request_sink
{
public:
    virtual ~sub_request_sink() = default;

    virtual void
    submit(
        std::vector<sub_request> batch, const sub_reply_handler& handler) = 0;

    /// Best effort. The handler is still called; a sub-request that is
    /// cancelled in time is replied to with `miss_reason::cancelled`.
    virtual void
    cancel(std::uint64_t id) = 0;
};

/// Encodes the deadline as the microseconds left at `now`, since monotonic
/// clocks of two VMs cannot be compared.
nlohmann::json
to_json(const sub_request& request, monotonic_time now);

/// Decodes a sub-request received at `now`; its `target` handle is left unset.
/// Returns false if it is malformed, or if its time left or its number of
/// shards is above the configured maximum.
bool
parse_sub_request(
    const nlohmann::json& value, monotonic_time now, sub_request& out);

nlohmann::json
to_json(const sub_reply& reply);

/// Returns false if the reply is malformed.
bool
parse_sub_reply(const nlohmann::json& value, sub_reply& out);

} // namespace bramleymux
