#include "target_pool_state.hpp"

#include <algorithm>
#include <cmath>

/// Rates of target_pool: this VM's part of the rates that all VMs share, and
/// requests that wait until a rate allows them.
namespace bramleymux
{

vm_split
target_pool::split_vms(const std::string& zone) const
{
    const auto in_zone = vms_.by_zone.find(zone);
    vm_split out;
    out.in_zone = in_zone == vms_.by_zone.end() ? 0 : in_zone->second;
    out.elsewhere = vms_.total - std::min(vms_.total, out.in_zone);
    out.same_zone = zone == options_.zone;
    return out;
}

void
target_pool::plan_rate_of(entry& e)
{
    set_rate_part(e.state, rate_part(split_vms(e.state.record.zone)),
        monotonic_clock::now());
}

std::optional<duration>
target_pool::rate_wait(const std::string& service,
    const std::vector<const target_state*>& tried) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return std::nullopt;
    }
    const choice_context context = context_of(found->second.get());
    monotonic_time earliest = monotonic_time::max();
    double rate = 0.0;
    for (const target_state* t : found->second->targets)
    {
        const bool excluded =
            std::find(tried.begin(), tried.end(), t) != tried.end();
        if (!excluded && is_usable(*t, context, true))
        {
            earliest = std::min(earliest, next_send_at(*t, context));
            rate += allowed_rate(*t, context);
        }
    }
    if (earliest == monotonic_time::max())
    {
        return std::nullopt;
    }
    if (earliest <= context.now)
    {
        return duration::zero();
    }
    const auto ahead = static_cast<double>(found->second->waiters.size());
    return earliest - context.now +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(ahead / rate));
}

bool
target_pool::has_limited_rate(const service_state& service) const
{
    const choice_context context = context_of(&service);
    return std::any_of(service.targets.begin(), service.targets.end(),
        [&](const target_state* t)
        { return std::isfinite(allowed_rate(*t, context)); });
}

void
target_pool::wake_rate_limited()
{
    for (const auto& [name, service] : services_)
    {
        if (!service->waiters.empty() && has_limited_rate(*service) &&
            has_room(name))
        {
            wake_waiter(*service);
        }
    }
}

} // namespace bramleymux
