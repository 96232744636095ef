#include "evacuations.hpp"

namespace bramleymux
{

void
put(evacuations& state, const std::string& zone)
{
    state.zones[zone] = std::nullopt;
}

void
remove(evacuations& state, const std::string& zone)
{
    state.zones.erase(zone);
}

void
hold(evacuations& state, const std::string& zone, duration end)
{
    const auto found = state.zones.find(zone);
    if (found != state.zones.end() && !found->second)
    {
        found->second = end;
    }
}

bool
expire(evacuations& state, duration now)
{
    bool any = false;
    for (auto it = state.zones.begin(); it != state.zones.end();)
    {
        const bool ended = it->second && now >= *it->second;
        any = any || ended;
        it = ended ? state.zones.erase(it) : std::next(it);
    }
    return any;
}

std::vector<std::string>
zones_out(const evacuations& state)
{
    std::vector<std::string> out;
    for (const auto& [zone, end] : state.zones)
    {
        out.push_back(zone);
    }
    return out;
}

} // namespace bramleymux
