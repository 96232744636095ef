#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

/// Rows that the simulated targets hold, computed so that tests and benchmarks
/// can check answers. Each service has the keys 0..row_count-1 in every
/// snapshot. A snapshot distributes them over its shards by hash, so a
/// repartition moves keys between shards and neither adds nor removes any.
namespace bramleymux::tools
{

/// Returns the shard of a key by its hash.
shard_id
shard_of_key(std::uint32_t key, std::uint32_t shard_count);

/// Returns the keys of each shard, ascending.
std::vector<std::vector<std::uint32_t>>
partition_keys(std::uint32_t row_count, std::uint32_t shard_count);

/// Returns {"id": "service/snapshot/shard/key", "key", "shard", "snapshot"}.
nlohmann::json
make_row(const std::string& service, snapshot_sequence snapshot, shard_id shard,
    std::uint32_t key);

} // namespace bramleymux::tools
