#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/// Status of a target, as polled by its owner and published to all VMs.
namespace bramleymux
{

/// Inclusive range of shards.
struct shard_range
{
    shard_id first = 0;
    shard_id last = 0;
};

/// Snapshot of the index that a target can serve.
struct held_snapshot
{
    snapshot_sequence sequence = 0;
    std::uint32_t shard_count = 0; ///< in the snapshot's shard map
    std::vector<shard_range> shards;
};

struct target_report
{
    std::string target;
    std::string instance;       ///< changes when the target restarts
    std::string publisher;      ///< VM that polled the target
    std::uint64_t sequence = 0; ///< Unix milliseconds of the poll; newest wins
    bool reachable = false;
    bool draining = false;
    std::uint32_t slots_limit = 0;  ///< reported limit; 0 = none
    std::uint32_t proven_limit = 0; ///< cold-start limit reached; 0 = cold
    std::vector<held_snapshot> snapshots;
};

/// Returns true if the snapshot includes the shard.
inline bool
holds(const held_snapshot& snapshot, shard_id shard)
{
    return std::any_of(snapshot.shards.begin(), snapshot.shards.end(),
        [&](const shard_range& r)
        { return r.first <= shard && shard <= r.last; });
}

nlohmann::json
to_json(const target_report& report);

/// Parses a report received from a peer. Returns false if a field is missing,
/// has the wrong type or is out of range.
bool
parse_report(const nlohmann::json& value, target_report& out);

/// Parses the body of a target's reply to `GET /v1/status`. Sets the instance,
/// drain state, limit and snapshots in `out`. Returns false if a field is
/// missing, has the wrong type or is out of range.
bool
parse_status(const nlohmann::json& value, target_report& out);

} // namespace bramleymux
