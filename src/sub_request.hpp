#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// One request to one target for some shards of the pinned snapshot.
namespace bramleymux
{

struct sub_request
{
    std::uint64_t id = 0; ///< unique in the entry VM's process
    std::string query_id;
    target_handle target;
    std::string target_name;
    std::string service;
    std::string route;
    std::string version; ///< version the entry VM chose; checked on the reply
    snapshot_sequence snapshot = 0;
    std::vector<shard_id> shards;
    monotonic_time deadline;
    double worth = 1.0;
    bool idempotent = true;
    std::string idempotency_key;
    std::string traceparent;
    nlohmann::json query;
};

struct shard_rows
{
    shard_id shard = 0;
    nlohmann::json rows; ///< array
};

struct sub_reply
{
    std::uint64_t id = 0;
    miss_reason error = miss_reason::none;
    run_state run = run_state::not_run;
    std::string instance;
    std::string version;
    snapshot_sequence snapshot = 0;
    std::vector<shard_rows> shards;
    duration target_time{}; ///< from send to reply, at the owner
    duration queue_time{};
};

/// Called once for each sub-request, on any thread.
using sub_reply_handler = std::function<void(sub_reply)>;

/// Where sub-requests go: the local executor, or the owner VM of the target.
class sub_request_sink
{
public:
    virtual ~sub_request_sink() = default;

    virtual void
    submit(
        std::vector<sub_request> batch, const sub_reply_handler& handler) = 0;

    /// Best effort; the handler is still called once.
    virtual void
    cancel(std::uint64_t id) = 0;
};

nlohmann::json
to_json(const sub_request& request, monotonic_time now);

/// The deadline travels as remaining microseconds.
bool
parse_sub_request(
    const nlohmann::json& value, monotonic_time now, sub_request& out);

nlohmann::json
to_json(const sub_reply& reply);

bool
parse_sub_reply(const nlohmann::json& value, sub_reply& out);

} // namespace bramleymux
