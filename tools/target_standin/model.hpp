#pragma once

#include "common/row_model.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

/// Configuration and scripted faults of the simulated targets, and the data
/// that they serve.
namespace bramleymux::tools
{

struct snapshot_data
{
    std::uint32_t shard_count = 1;
    std::vector<std::vector<std::uint32_t>> keys; ///< row keys by shard
};

/// Snapshots of one service, shared by its targets. Safe to call from several
/// threads.
class service_data
{
public:
    explicit service_data(std::string name);

    /// Applies {"row_count", "snapshots": [{"sequence", "shard_count"}]};
    /// fields that are absent keep their value. Throws
    /// nlohmann::json::exception if a field is malformed.
    void
    configure(const nlohmann::json& value);

    std::map<snapshot_sequence, std::shared_ptr<const snapshot_data>>
    snapshots() const;

    const std::string&
    name() const
    {
        return name_;
    }

private:
    std::string name_;
    mutable std::mutex mutex_;
    std::uint32_t row_count_ = 100;
    std::map<snapshot_sequence, std::shared_ptr<const snapshot_data>>
        snapshots_;
};

/// Defines which shards a target holds. By default, the shards are spread over
/// `of` targets so that `copies` of them hold each shard, and `index` is the
/// position of this target. `explicit_shards` overrides this for the snapshots
/// that it names.
struct placement
{
    std::uint32_t index = 0;
    std::uint32_t of = 1;
    std::uint32_t copies = 1;
    std::map<snapshot_sequence, std::vector<shard_id>> explicit_shards;
    /// Snapshots that the target holds; absent = all.
    std::optional<std::vector<snapshot_sequence>> sequences;
};

/// Returns whether a target with this placement holds the shard. The caller
/// checks that the shard exists in the snapshot.
bool
holds_shard(const placement& value, snapshot_sequence sequence, shard_id shard);

struct target_config
{
    std::string name;
    std::string address; ///< IP:port
    std::string service;
    std::string version;
    std::string zone;
    std::uint32_t slots = 3; ///< requests that run at a time
    std::uint32_t queue = 8; ///< requests that may wait; further ones are shed
    std::uint32_t connections = 30;    ///< open at a time
    std::uint32_t connect_cost_ms = 1; ///< delay of each new connection
    std::uint32_t cold_limit = 1; ///< running requests at full speed when cold
    std::uint32_t warm_after_requests = 50; ///< requests until no longer cold
    double cold_factor = 20; ///< slowdown of requests above the cold limit
    bool starts_cold = false;
    double median_us = 2000; ///< of the log-normal service time
    double sigma = 0.3;      ///< of the log-normal service time; 0 = constant
    placement placed;
};

/// Throws nlohmann::json::exception or std::logic_error if the value is
/// malformed.
target_config
parse_target_config(const nlohmann::json& value);

/// Reads "placement", "shards" and "sequences" of a target. Throws
/// nlohmann::json::exception or std::logic_error if the value is malformed.
placement
parse_placement(const nlohmann::json& target);

/// Scripted faults. Fields of type double are probabilities per request, except
/// the factors.
struct target_faults
{
    double straggle_probability = 0;
    double straggle_factor = 50; ///< multiplies the service time
    double fail_probability = 0;
    std::string fail_route; ///< empty = every route
    double slow_factor = 1; ///< multiplies the service time
    std::string slow_route; ///< empty = every route
    /// Number of running requests, the request itself included, above which
    /// `slow_factor` applies.
    std::uint32_t slow_above_load = 0;
    double shed = 0;           ///< refuse as if the queue were full
    double wrong_snapshot = 0; ///< reply with another snapshot's sequence
    double wrong_shard = 0;    ///< reply with the id of another shard
    double late_probability = 0;
    std::uint32_t late_ms = 0; ///< delay of a late reply beyond the deadline
    double crossed = 0;        ///< reply with the body of an earlier request
    double truncated = 0;      ///< close the connection within the body
    double lose_reply = 0;     ///< close the connection without a reply
    /// Stall every request until this is unset; after 60 s, close the
    /// connection without a reply.
    bool hang = false;
    bool status_down = false; ///< answer /v1/status with status 500
    std::string status_state; ///< empty = actual state
    std::optional<std::uint32_t> status_slots_limit; ///< absent = actual limit
    std::optional<std::uint32_t> status_slots_used;  ///< absent = actual use
};

/// Throws nlohmann::json::exception if a field has the wrong type.
target_faults
parse_faults(const nlohmann::json& value);

} // namespace bramleymux::tools
