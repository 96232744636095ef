#include "gather_plan.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

bool
is_in(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Returns the shards of `open` that have a target in the zone.
std::vector<std::size_t>
covered(const std::vector<shard_reach>& shards,
    const std::vector<std::size_t>& open, const std::string& zone)
{
    std::vector<std::size_t> out;
    std::copy_if(open.begin(), open.end(), std::back_inserter(out),
        [&](std::size_t i) { return is_in(shards[i].zones, zone); });
    return out;
}

} // namespace

std::vector<gather_group>
plan_groups(const std::vector<shard_reach>& shards,
    const std::vector<delegate_zone>& zones, std::mt19937_64& random)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < shards.size(); ++i)
    {
        if (!shards[i].own_zone && shards[i].zones.size() > 1)
        {
            open.push_back(i);
        }
    }
    std::uniform_real_distribution<double> jitter(
        1.0, 1.0 + config::choice_jitter);
    std::vector<gather_group> out;
    std::vector<std::string> used;
    while (open.size() >= config::min_group_shards)
    {
        gather_group best;
        double best_score = 0.0;
        for (const delegate_zone& z : zones)
        {
            if (is_in(used, z.zone))
            {
                continue;
            }
            auto group = covered(shards, open, z.zone);
            const double cost =
                1.0 + config::handed_back_factor * z.handed_back;
            const double score =
                static_cast<double>(group.size()) * jitter(random) / cost;
            if (group.size() >= config::min_group_shards && score > best_score)
            {
                best = {z.zone, std::move(group)};
                best_score = score;
            }
        }
        if (best.shards.empty())
        {
            break;
        }
        open.erase(std::remove_if(open.begin(), open.end(),
                       [&](std::size_t i) {
                           return std::binary_search(
                               best.shards.begin(), best.shards.end(), i);
                       }),
            open.end());
        used.push_back(best.zone);
        out.push_back(std::move(best));
    }
    return out;
}

} // namespace bramleymux
