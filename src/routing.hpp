#pragma once

#include "routing_index.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <random>
#include <vector>

/// Query routing: selects the snapshot of a query and the replica for each of
/// its shards, and groups the shards into one batch per target.
namespace bramleymux
{

/// Availability of a target as known to the entry VM.
struct target_facts
{
    bool reachable = false;
    bool draining = false;
    bool zone_out = false;
    bool owner_known = false;
};

/// Returns why a target takes no new work, or `none` if it is usable.
miss_reason
unusable_reason(const target_facts& facts);

/// Routing state of a target as seen by the entry VM.
struct target_view
{
    miss_reason unusable = miss_reason::unreachable; ///< none = usable
    double latency_us = 0.0;                         ///< 0 = not measured
    std::uint32_t in_flight = 0;
    double weight = 1.0;            ///< 0 = no traffic
    monotonic_time blocked_until{}; ///< end of the backoff after refusals
};

/// Indexed by target handle; only the entries of the service's targets are
/// read.
using target_views = std::vector<target_view>;

enum class routing_policy
{
    baseline, ///< round robin over the replicas of each shard group
    adaptive, ///< power of two choices, by load and latency
    count
};

inline constexpr name_table<routing_policy> routing_policy_names{
    "baseline", "adaptive"};

constexpr std::string_view
to_string(routing_policy value)
{
    return routing_policy_names[static_cast<std::size_t>(value)];
}

/// Returns the newest snapshot whose shards all have a usable replica of
/// `version`; failing that, of any version; failing that, the snapshot with the
/// most usable shards. Returns null if no target of the service has reported a
/// snapshot.
const snapshot_index*
choose_snapshot(const routing_index& index, service_handle service,
    version_handle version, const target_views& views);

/// Returns all shards of a snapshot, ascending.
std::vector<shard_id>
all_shards(const snapshot_index& snapshot);

struct plan_request
{
    version_handle version; ///< preferred version; invalid = any
    std::vector<shard_id> shards;
    std::vector<target_handle> tried; ///< excluded from the choice
    routing_policy policy = routing_policy::adaptive;
    std::uint64_t query_number = 0; ///< query counter, for round robin
};

/// Shards to request from one target.
struct shard_batch
{
    target_handle target;
    std::vector<shard_id> shards;
};

struct shard_miss
{
    shard_id shard = 0;
    miss_reason reason = miss_reason::no_replica;
};

struct query_plan
{
    std::vector<shard_batch> batches; ///< at most one for each target
    std::vector<shard_miss> missing;  ///< shards without a usable replica
};

/// Assigns the requested shards to targets. Also used for retries and hedges,
/// which exclude the targets already tried; the shards of one failed batch may
/// then be divided among several targets.
query_plan
plan_query(const routing_index& index, const snapshot_index& snapshot,
    const plan_request& request, const target_views& views, monotonic_time now,
    std::mt19937_64& random);

/// Returns how long a target is avoided after `refusals` consecutive refusals
/// or failures (at least 1); zero if the reason does not predict the outcome of
/// the next request.
duration
refusal_block(
    miss_reason reason, std::uint32_t refusals, std::mt19937_64& random);

} // namespace bramleymux
