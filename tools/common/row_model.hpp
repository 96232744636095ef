#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

/// Rows that the simulated targets hold, so that a tester can check answers.
/// Each service has keys 0..row_count-1 in every snapshot; a snapshot spreads
/// them over its shards by hash, so a repartition moves rows and changes none.
namespace bramleymux::tools
{

shard_id
shard_of_key(std::uint32_t key, std::uint32_t shard_count);

/// Keys of each shard, ascending.
std::vector<std::vector<std::uint32_t>>
partition_keys(std::uint32_t row_count, std::uint32_t shard_count);

/// {"id": "service/snapshot/shard/key", "key", "shard", "snapshot"}.
nlohmann::json
make_row(const std::string& service, snapshot_sequence snapshot, shard_id shard,
    std::uint32_t key);

} // namespace bramleymux::tools
