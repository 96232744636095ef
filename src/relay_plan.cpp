#include "relay_plan.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bramleymux
{

relay_plan
plan_relays(const std::vector<registered_vm>& vms, const std::string& self_id,
    const std::string& zone)
{
    std::vector<std::pair<std::uint64_t, const registered_vm*>> ranked;
    for (const registered_vm& vm : vms)
    {
        if (vm.zone == zone)
        {
            ranked.emplace_back(XXH64(vm.id.data(), vm.id.size(), 0), &vm);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), config::change_relays_per_zone));
    const bool self_ranked = std::any_of(ranked.begin(), ranked.end(),
        [&](const auto& r) { return r.second->id == self_id; });
    relay_plan out;
    // With few VMs in the zone, each follows the store.
    out.is_relay =
        self_ranked || ranked.size() < config::change_relays_per_zone;
    if (!out.is_relay)
    {
        for (const auto& [hash, vm] : ranked)
        {
            out.relays.push_back(vm->peer_address);
        }
    }
    return out;
}

} // namespace bramleymux
