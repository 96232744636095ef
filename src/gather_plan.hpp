#pragma once

#include <random>
#include <string>
#include <vector>

/// Which shards of a query are asked through a VM of another zone.
namespace bramleymux
{

/// Where a shard has targets that can be used.
struct shard_reach
{
    bool own_zone = false;
    std::vector<std::string> zones; ///< other zones, each once
};

/// A zone with a VM that takes orders.
struct delegate_zone
{
    std::string zone;
    double handed_back = 0.0; ///< recent share of shards without an answer
};

struct gather_group
{
    std::string zone;
    std::vector<std::size_t> shards; ///< indices
};

/// Groups the shards without a target in the own zone, the largest group
/// first. A shard with targets in one zone only is in no group: it would be
/// handed back with nowhere else to go. Equal zones are taken in random order,
/// so that the load spreads over them.
std::vector<gather_group>
plan_groups(const std::vector<shard_reach>& shards,
    const std::vector<delegate_zone>& zones, std::mt19937_64& random);

} // namespace bramleymux
