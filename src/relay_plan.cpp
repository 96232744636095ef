#include "relay_plan.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace bramleymux
{

namespace
{

using ranked_vms = std::vector<std::pair<std::uint64_t, const registered_vm*>>;

std::uint64_t
hash_of(const std::string& text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::map<std::string, ranked_vms>
rank_by_zone(const std::vector<registered_vm>& vms)
{
    std::map<std::string, ranked_vms> out;
    for (const registered_vm& vm : vms)
    {
        out[vm.zone].emplace_back(hash_of(vm.id), &vm);
    }
    for (auto& [zone, members] : out)
    {
        std::sort(members.begin(), members.end());
    }
    return out;
}

/// Returns the first VM of each other zone, which is a relay whatever the size
/// of its zone. The order differs for each VM, to spread the followers.
ranked_vms
relays_of_other_zones(const std::map<std::string, ranked_vms>& zones,
    const std::string& self_id, const std::string& zone)
{
    ranked_vms out;
    for (const auto& [name, members] : zones)
    {
        if (name != zone)
        {
            const registered_vm* first = members.front().second;
            out.emplace_back(hash_of(self_id + "/" + first->id), first);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace

relay_plan
plan_relays(const std::vector<registered_vm>& vms, const std::string& self_id,
    const std::string& zone)
{
    const auto zones = rank_by_zone(vms);
    const auto own = zones.find(zone);
    relay_plan out;
    if (own == zones.end())
    {
        return out;
    }
    const ranked_vms& members = own->second;
    out.small_zone = members.size() < config::change_relays_per_zone;
    const std::size_t relays =
        out.small_zone ? 1 : config::change_relays_per_zone;
    out.is_relay = std::any_of(members.begin(),
        members.begin() + static_cast<std::ptrdiff_t>(relays),
        [&](const auto& r) { return r.second->id == self_id; });
    if (out.is_relay)
    {
        return out;
    }
    for (std::size_t i = 0; i < relays; ++i)
    {
        out.relays.push_back(members[i].second->peer_address);
    }
    for (const auto& [hash, vm] : relays_of_other_zones(zones, self_id, zone))
    {
        if (out.relays.size() < config::change_relays_per_zone)
        {
            out.relays.push_back(vm->peer_address);
        }
    }
    out.is_relay = out.relays.size() < config::min_healthy_relays;
    if (out.is_relay)
    {
        out.relays.clear();
    }
    return out;
}

std::vector<registered_vm>
first_relays(const std::vector<registered_vm>& vms, const std::string& zone)
{
    std::vector<registered_vm> out;
    for (const auto& [name, members] : rank_by_zone(vms))
    {
        out.insert(
            name == zone ? out.begin() : out.end(), *members.front().second);
    }
    return out;
}

} // namespace bramleymux
