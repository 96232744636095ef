#include "fleet_view.hpp"

#include <algorithm>
#include <tuple>

namespace bramleymux
{

namespace
{

/// Compares without case, ignoring a port in `host`. `configured` is lower
/// case.
bool
same_host(std::string_view configured, std::string_view host)
{
    const std::size_t port = host.rfind(':');
    if (port != std::string_view::npos)
    {
        host = host.substr(0, port);
    }
    return std::equal(configured.begin(), configured.end(), host.begin(),
        host.end(),
        [](char a, char b)
        { return a == (b >= 'A' && b <= 'Z' ? b - 'A' + 'a' : b); });
}

} // namespace

const route_rule*
find_route(
    const desired_state& state, std::string_view host, std::string_view path)
{
    const route_rule* best = nullptr;
    for (const route_rule& route : state.routes)
    {
        const bool longer =
            best == nullptr || route.prefix.size() > best->prefix.size();
        if (longer && path.substr(0, route.prefix.size()) == route.prefix &&
            same_host(route.host, host))
        {
            best = &route;
        }
    }
    return best;
}

const service_rule*
find_service(const desired_state& state, std::string_view name)
{
    const auto found = std::lower_bound(state.services.begin(),
        state.services.end(), name,
        [](const service_rule& s, std::string_view n) { return s.name < n; });
    return found != state.services.end() && found->name == name ? &*found
                                                                : nullptr;
}

bool
same_registration(const target_record& a, const target_record& b)
{
    const auto fields = [](const target_record& r)
    {
        return std::tie(
            r.id, r.service, r.address, r.zone, r.version, r.started_ms);
    };
    return fields(a) == fields(b);
}

bool
operator==(const service_share& a, const service_share& b)
{
    return a.service == b.service && a.weight == b.weight;
}

std::size_t
share_picker::pick(const std::vector<service_share>& shares)
{
    if (shares_ != shares)
    {
        shares_ = shares;
        credit_.assign(shares.size(), 0.0);
    }
    double sum = 0.0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        credit_[i] += shares[i].weight;
        sum += shares[i].weight;
        if (credit_[i] > credit_[best])
        {
            best = i;
        }
    }
    credit_[best] -= sum;
    return best;
}

} // namespace bramleymux
