#pragma once

#include "catalog.hpp"
#include "target_report.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <memory>
#include <vector>

/// Index of the targets that hold each shard of each snapshot.
namespace bramleymux
{

/// Shards of one snapshot that have the same replicas.
struct shard_group
{
    std::vector<target_handle> replicas;
    std::uint32_t shards = 0; ///< number of shards
};

/// Replicas of the shards of one snapshot.
struct snapshot_index
{
    snapshot_sequence sequence = 0;
    std::uint32_t shard_count = 0;
    std::vector<std::uint32_t> group_of; ///< group index by shard
    std::vector<shard_group> groups;     ///< in order of their first shard
};

struct service_index
{
    std::vector<snapshot_index> snapshots; ///< newest first
};

/// Immutable; replaced when the catalog or the snapshots of a target change.
struct routing_index
{
    std::vector<std::shared_ptr<const service_index>> services; ///< by handle
    std::vector<version_handle> versions; ///< by target handle
};

/// Builds the index of all services. `reports` has the latest report of each
/// target, indexed by target handle; an entry without snapshots means that
/// there is no report.
std::shared_ptr<const routing_index>
build_routing_index(
    const catalog& c, const std::vector<target_report>& reports);

/// Returns a copy of `index` in which one service is recompiled.
std::shared_ptr<const routing_index>
rebuild_service(const routing_index& index, const catalog& c,
    const std::vector<target_report>& reports, service_handle service);

/// Returns whether two reports list the same snapshots and shards, so that the
/// index need not change.
bool
same_holdings(const target_report& a, const target_report& b);

/// Returns whether every service that has targets has a snapshot of which each
/// shard is held by some target.
bool
covers_every_service(const routing_index& index, const catalog& c);

/// Returns the snapshot with a sequence, or null if it is not indexed.
const snapshot_index*
find_snapshot(const routing_index& index, service_handle service,
    snapshot_sequence sequence);

} // namespace bramleymux
