#include "common/row_model.hpp"

namespace bramleymux::tools
{

shard_id
shard_of_key(std::uint32_t key, std::uint32_t shard_count)
{
    // Finalizer of splitmix64.
    std::uint64_t x = key + 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    x ^= x >> 31U;
    return static_cast<shard_id>(x % shard_count);
}

std::vector<std::vector<std::uint32_t>>
partition_keys(std::uint32_t row_count, std::uint32_t shard_count)
{
    std::vector<std::vector<std::uint32_t>> out(shard_count);
    for (std::uint32_t key = 0; key < row_count; ++key)
    {
        out[shard_of_key(key, shard_count)].push_back(key);
    }
    return out;
}

nlohmann::json
make_row(const std::string& service, snapshot_sequence snapshot, shard_id shard,
    std::uint32_t key)
{
    return {{"id", service + "/" + std::to_string(snapshot) + "/" +
                       std::to_string(shard) + "/" + std::to_string(key)},
        {"key", key}, {"shard", shard}, {"snapshot", snapshot}};
}

} // namespace bramleymux::tools
