#pragma once

#include <random>
#include <string>
#include <vector>

/// Plans which shards of a query are queried through delegates in other zones.
namespace bramleymux
{

/// Zones in which a shard has usable targets.
struct shard_reach
{
    bool own_zone = false;
    std::vector<std::string> zones; ///< other zones, without duplicates
};

/// A zone with a usable delegate.
struct delegate_zone
{
    std::string zone;
    double handed_back = 0.0; ///< recent share of shards left unanswered
};

/// Shards that one order covers.
struct gather_group
{
    std::string zone;
    std::vector<std::size_t> shards; ///< indices, ascending
};

/// Groups the shards without a target in the own zone. Takes the largest group
/// first, counting a group as smaller the more shards its zone has handed back,
/// and forms no group below `config::min_group_shards`. A shard with targets in
/// a single zone is left out: if handed back, it could not be sent to another
/// zone. Equal zones are chosen in random order to spread the load.
std::vector<gather_group>
plan_groups(const std::vector<shard_reach>& shards,
    const std::vector<delegate_zone>& zones, std::mt19937_64& random);

} // namespace bramleymux
