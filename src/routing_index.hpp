#pragma once

#include "catalog.hpp"
#include "target_report.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <memory>
#include <vector>

/// Which targets hold which shards of which snapshots.
namespace bramleymux
{

/// Shards of one snapshot that have the same replicas.
struct shard_group
{
    std::vector<target_handle> replicas;
    std::uint32_t shards = 0;
};

/// One snapshot of a service and where its shards are.
struct snapshot_index
{
    snapshot_sequence sequence = 0;
    std::uint32_t shard_count = 0;
    std::vector<std::uint32_t> group_of; ///< by shard
    std::vector<shard_group> groups;     ///< in order of their first shard
};

struct service_index
{
    std::vector<snapshot_index> snapshots; ///< newest first
};

/// Immutable; replaced when the catalog or what a target holds changes.
struct routing_index
{
    std::vector<std::shared_ptr<const service_index>> services; ///< by handle
    std::vector<version_handle> versions; ///< by target handle
};

/// `reports` holds the newest report of each target by its handle; an entry
/// without snapshots stands for no report.
std::shared_ptr<const routing_index>
build_routing_index(
    const catalog& c, const std::vector<target_report>& reports);

/// Copy of `index` in which one service is compiled anew.
std::shared_ptr<const routing_index>
rebuild_service(const routing_index& index, const catalog& c,
    const std::vector<target_report>& reports, service_handle service);

/// Whether a new report leaves the index as it is.
bool
same_holdings(const target_report& a, const target_report& b);

/// Whether every service that has targets has a snapshot with a holder of each
/// shard.
bool
covers_every_service(const routing_index& index, const catalog& c);

/// Snapshot of a sequence, or null.
const snapshot_index*
find_snapshot(const routing_index& index, service_handle service,
    snapshot_sequence sequence);

} // namespace bramleymux
