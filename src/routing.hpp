#pragma once

#include "routing_index.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <random>
#include <vector>

/// Choice of the snapshot, the replicas and the batches of a query.
namespace bramleymux
{

/// What the entry VM knows of a target's availability.
struct target_facts
{
    bool reachable = false;
    bool draining = false;
    bool zone_out = false;
    bool owner_known = false;
};

/// Why a target takes no new work; `none` when it is usable.
miss_reason
unusable_reason(const target_facts& facts);

/// State of a target as the entry VM sees it.
struct target_view
{
    miss_reason unusable = miss_reason::unreachable; ///< none = usable
    double latency_us = 0.0;                         ///< 0 = not measured
    std::uint32_t in_flight = 0;
    double weight = 1.0;            ///< 0 = no traffic
    monotonic_time blocked_until{}; ///< backoff after a refusal
};

/// By target handle; only the entries of the service's targets are read.
using target_views = std::vector<target_view>;

enum class routing_policy
{
    baseline, ///< round robin over the replicas of each shard group
    adaptive, ///< power of two choices by expected latency
    count
};

inline constexpr name_table<routing_policy> routing_policy_names{
    "baseline", "adaptive"};

constexpr std::string_view
to_string(routing_policy value)
{
    return routing_policy_names[static_cast<std::size_t>(value)];
}

/// Newest snapshot whose shards all have a usable replica of `version`; else of
/// any version; else the snapshot with the most usable shards. Null when no
/// target of the service has reported a snapshot.
const snapshot_index*
choose_snapshot(const routing_index& index, service_handle service,
    version_handle version, const target_views& views);

/// All shards of a snapshot, ascending.
std::vector<shard_id>
all_shards(const snapshot_index& snapshot);

struct plan_request
{
    version_handle version; ///< preferred; invalid = any
    std::vector<shard_id> shards;
    std::vector<target_handle> tried; ///< not chosen again
    routing_policy policy = routing_policy::adaptive;
    std::uint64_t turn = 0; ///< query counter, for the baseline
};

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
    std::vector<shard_miss> missing;  ///< shards without a replica to send to
};

/// Serves the first sends, and also retries and hedges: those name the targets
/// already tried, and the shards of one batch may go to several others.
query_plan
plan_query(const routing_index& index, const snapshot_index& snapshot,
    const plan_request& request, const target_views& views, monotonic_time now,
    std::mt19937_64& random);

/// How long a target is avoided after its `refusals`-th refusal or failure in
/// a row (from 1); zero when the reason says nothing about the next request.
duration
refusal_block(
    miss_reason reason, std::uint32_t refusals, std::mt19937_64& random);

} // namespace bramleymux
