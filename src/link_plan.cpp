#include "link_plan.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

/// Rounds `links` up for the part of the positions that its fraction covers,
/// and down for the others.
std::size_t
round_by_position(double links, double position)
{
    const double whole = std::floor(links);
    return static_cast<std::size_t>(whole) + (position < links - whole ? 1 : 0);
}

} // namespace

std::size_t
planned_links(const link_plan& plan)
{
    if (plan.connections == 0)
    {
        return config::max_links_per_target;
    }
    const double usable =
        std::ceil(plan.connections * config::target_connection_share);
    const auto near = static_cast<double>(plan.vms_in_zone);
    const auto far = static_cast<double>(plan.vms_elsewhere);
    double links = usable / std::max(near + far, 1.0);
    if (links < config::min_links_per_target && near > 0.0 && far > 0.0)
    {
        const double for_zone = usable * config::own_zone_connection_share;
        links = plan.same_zone ? for_zone / near : (usable - for_zone) / far;
    }
    return std::min(
        round_by_position(links, plan.position), config::max_links_per_target);
}

} // namespace bramleymux
