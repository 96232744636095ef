#pragma once

#include "common/row_model.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

/// Configuration of the simulated targets and their scripted faults.
namespace bramleymux::tools
{

struct snapshot_data
{
    std::uint32_t shard_count = 1;
    std::vector<std::vector<std::uint32_t>> keys; ///< by shard
};

/// Snapshots of one service; shared by its targets.
class service_data
{
public:
    explicit service_data(std::string name);

    /// {"row_count", "snapshots": [{"sequence", "shard_count"}]}
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

/// Which shards a target holds: copy `index` of `of`, with `copies` of each
/// shard, or the lists in `explicit_shards` for the snapshots named there.
struct placement
{
    std::uint32_t index = 0;
    std::uint32_t of = 1;
    std::uint32_t copies = 1;
    std::map<snapshot_sequence, std::vector<shard_id>> explicit_shards;
    std::optional<std::vector<snapshot_sequence>> sequences; ///< absent = all
};

bool
holds_shard(const placement& value, snapshot_sequence sequence, shard_id shard);

struct target_config
{
    std::string name;
    std::string address;
    std::string service;
    std::string version;
    std::string zone;
    std::uint32_t slots = 3;
    std::uint32_t queue = 8; ///< waiting requests before it sheds
    std::uint32_t connections = 30;
    std::uint32_t connect_cost_ms = 1;
    std::uint32_t cold_limit = 1;
    std::uint32_t warm_after_requests = 50;
    double cold_factor = 20; ///< slowdown above the cold limit
    bool starts_cold = false;
    double median_us = 2000;
    double sigma = 0.3;
    placement placed;
};

/// Throws nlohmann::json::exception on a wrong shape.
target_config
parse_target_config(const nlohmann::json& value);

placement
parse_placement(const nlohmann::json& target);

/// Scripted faults; probabilities are per request.
struct target_faults
{
    double straggle_probability = 0;
    double straggle_factor = 50;
    double fail_probability = 0;
    std::string fail_route; ///< empty = every route
    double slow_factor = 1;
    std::string slow_route;
    std::uint32_t slow_above_load = 0; ///< running requests, itself counted
    double shed = 0;
    double wrong_snapshot = 0;
    double wrong_shard = 0;
    double late_probability = 0;
    std::uint32_t late_ms = 0; ///< beyond the deadline
    double crossed = 0;
    double truncated = 0;
    double lose_reply = 0;
    bool hang = false;
    bool status_down = false;
    std::string status_state;                        ///< empty = true state
    std::optional<std::uint32_t> status_slots_limit; ///< absent = true limit
    std::optional<std::uint32_t> status_slots_used;
};

target_faults
parse_faults(const nlohmann::json& value);

} // namespace bramleymux::tools
