#include "usage/collector_choice.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bramleymux
{

std::vector<registered_vm>
rank_collectors(const std::vector<registered_vm>& vms, const std::string& zone)
{
    std::vector<std::pair<std::uint64_t, const registered_vm*>> ranked;
    for (const registered_vm& vm : vms)
    {
        if (zone.empty() || vm.zone == zone)
        {
            const std::string key = "usage/" + vm.id;
            ranked.emplace_back(XXH64(key.data(), key.size(), 0), &vm);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
        [](const auto& a, const auto& b) {
            return std::tie(a.first, a.second->id) <
                   std::tie(b.first, b.second->id);
        });
    std::vector<registered_vm> out;
    out.reserve(ranked.size());
    for (const auto& [hash, vm] : ranked)
    {
        out.push_back(*vm);
    }
    return out;
}

std::vector<registered_vm>
choose_collectors(const std::vector<registered_vm>& ranked,
    const failed_collectors& failed, std::size_t count, duration now)
{
    std::vector<registered_vm> out;
    for (const registered_vm& vm : ranked)
    {
        const auto found = failed.find(vm.peer_address);
        if (out.size() < count &&
            (found == failed.end() || now >= found->second))
        {
            out.push_back(vm);
        }
    }
    return out;
}

} // namespace bramleymux
