#include "config.hpp"
#include "link_plan.hpp"
#include "target_pool_state.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

/// Room of target_pool: the connections of this VM to each target, and requests
/// that wait for one.
namespace bramleymux
{

void
target_pool::plan_links_of(entry& e)
{
    const vm_split vms = split_vms(e.state.record.zone);
    link_plan plan;
    plan.connections = e.service->rule.max_connections;
    plan.vms_in_zone = vms.in_zone;
    plan.vms_elsewhere = vms.elsewhere;
    plan.same_zone = vms.same_zone;
    plan.position = std::fmod(vms_.zone_position + e.hash, 1.0);
    const std::size_t links = planned_links(plan);
    e.state.unplanned = links == 0;
    e.max_links = std::max<std::size_t>(links, 1);
}

void
target_pool::plan_all()
{
    for (const auto& [id, e] : entries_)
    {
        plan_links_of(*e);
        plan_rate_of(*e);
    }
}

/// Marks the target as full if it has no idle connection and this VM has
/// reached its part of the target's connections.
void
target_pool::refresh_room(entry& e)
{
    const bool idle = std::any_of(e.links.begin(), e.links.end(),
        [](const auto& l) { return l->state() == link_state::idle; });
    e.state.full = !idle && e.links.size() >= e.max_links;
}

bool
target_pool::wait_for_room(const std::string& service, monotonic_time stale_at,
    std::uint32_t priority, std::function<bool()> ready)
{
    auto& waiters = service_of(service).waiters;
    if (waiters.size() >= config::max_waiting_per_service)
    {
        return false;
    }
    waiters.push_back({stale_at, priority, std::move(ready)});
    return true;
}

void
target_pool::wake_waiter(service_state& service)
{
    if (!service.waiters.empty() && !service.waking)
    {
        service.waking = true;
        boost::asio::post(loop_,
            [this, &service]
            {
                service.waking = false;
                serve_waiter(service);
            });
    }
}

/// Serves the most urgent request that can still meet its target latency, the
/// oldest of them first; late ones only if there is no other. Requests that no
/// longer need a target are removed; those that cannot use it, since their
/// budget is spent, queue again.
void
target_pool::serve_waiter(service_state& service)
{
    const monotonic_time now = monotonic_clock::now();
    bool used = false;
    std::size_t offers = config::max_offers_per_room;
    while (!used && offers > 0 && !service.waiters.empty())
    {
        const auto next =
            std::min_element(service.waiters.begin(), service.waiters.end(),
                [&](const waiter& a, const waiter& b)
                {
                    const bool a_late = now >= a.stale_at;
                    const bool b_late = now >= b.stale_at;
                    return std::tie(a_late, a.priority) <
                           std::tie(b_late, b.priority);
                });
        const std::function<bool()> ready = std::move(next->ready);
        service.waiters.erase(next);
        const std::size_t others = service.waiters.size();
        used = ready();
        // Only a request that queues again has turned the offer down.
        offers -= service.waiters.size() > others ? 1 : 0;
    }
    // A finished request makes room for one, but a rate or the end of a pause
    // may make room for several.
    if (used && has_room(service.rule.name))
    {
        wake_waiter(service);
    }
}

} // namespace bramleymux
