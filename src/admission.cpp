#include "admission.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

/// Upper bound of a service's limit, in concurrent queries: the caller threads
/// that are not reserved.
constexpr double max_limit = static_cast<double>(
    config::max_caller_threads - config::reserved_caller_threads);

double
seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

bool
is_known(const admission_state& state, route_handle route)
{
    return route.index < state.routes.size() &&
           state.routes[route.index].service.is_valid();
}

admission_service&
service_of(admission_state& state, const admission_route& route)
{
    return state.services[route.service.index];
}

bool
reports_overload(miss_reason reason)
{
    return reason == miss_reason::queue_full || reason == miss_reason::shed ||
           reason == miss_reason::deadline;
}

bool
is_congested(const admission_service& service)
{
    return static_cast<double>(service.overloaded) >
               config::max_overloaded_share *
                   static_cast<double>(service.replies) ||
           seconds_of(service.queue_time) >
               config::max_queue_ratio * seconds_of(service.target_time);
}

/// Increases the limit by a step while it binds; decreases it to a fraction of
/// the actual peak concurrency when the targets are congested. With many VMs
/// each VM sees few replies, so the counters accumulate over several windows
/// until there are enough samples.
void
adapt_limit(admission_service& service)
{
    ++service.windows;
    if (service.replies < config::min_admission_samples &&
        service.windows < config::max_admission_windows)
    {
        return;
    }
    if (is_congested(service))
    {
        const double used =
            std::min(service.limit, static_cast<double>(service.peak));
        service.limit = std::max(1.0, config::limit_decrease_factor * used);
    }
    else if (service.refused > 0 ||
             static_cast<double>(service.peak) >= service.limit)
    {
        service.limit = std::min(max_limit,
            service.limit + std::max(config::min_limit_increase_queries,
                                config::limit_increase_share * service.limit));
    }
    service.windows = 0;
    service.peak = service.in_flight;
    service.refused = 0;
    service.replies = 0;
    service.overloaded = 0;
    service.queue_time = duration::zero();
    service.target_time = duration::zero();
}

double
demand_of(const admission_route& route)
{
    return route.offered_per_s * route.time_s;
}

/// Returns the indexes of routes with demand, highest worth first.
std::vector<std::size_t>
routes_by_worth(const admission_state& state)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < state.routes.size(); ++i)
    {
        if (state.routes[i].service.is_valid() &&
            demand_of(state.routes[i]) > 0.0)
        {
            result.push_back(i);
        }
    }
    std::stable_sort(result.begin(), result.end(),
        [&](std::size_t a, std::size_t b)
        { return state.routes[a].worth > state.routes[b].worth; });
    return result;
}

/// Divides the VM's threads among the routes and returns the concurrent queries
/// granted to each: first up to each service's floor, then the rest in order of
/// worth, within each service's limit.
std::vector<double>
allocate(const admission_state& state, const std::vector<std::size_t>& order)
{
    std::vector<double> granted(state.routes.size(), 0.0);
    std::vector<double> headroom(state.services.size());
    std::transform(state.services.begin(), state.services.end(),
        headroom.begin(), [](const admission_service& s) { return s.limit; });
    double remaining = max_limit;
    const auto grant = [&](std::size_t i, double bound)
    {
        const auto service = state.routes[i].service.index;
        const double amount =
            std::max(0.0, std::min({demand_of(state.routes[i]) - granted[i],
                              bound, headroom[service], remaining}));
        granted[i] += amount;
        headroom[service] -= amount;
        remaining -= amount;
        return amount;
    };
    std::vector<double> floors(state.services.size());
    std::transform(state.services.begin(), state.services.end(), floors.begin(),
        [](const admission_service& s) { return s.floor_share * max_limit; });
    for (const auto i : order)
    {
        auto& floor = floors[state.routes[i].service.index];
        floor -= grant(i, floor);
    }
    for (const auto i : order)
    {
        grant(i, max_limit);
    }
    return granted;
}

void
end_window(admission_state& state, duration elapsed)
{
    for (auto& service : state.services)
    {
        adapt_limit(service);
    }
    // A long pause counts as one window, whose gain grows with its length, so
    // that the rate from before the pause decays at once.
    const double gain =
        1.0 - std::pow(1.0 - config::admission_gain,
                  seconds_of(elapsed) / seconds_of(config::admission_window));
    for (auto& route : state.routes)
    {
        const double rate =
            static_cast<double>(route.offered) / seconds_of(elapsed);
        route.offered_per_s += gain * (rate - route.offered_per_s);
        route.offered = 0;
        route.share = 1.0;
    }
    const auto order = routes_by_worth(state);
    const auto granted = allocate(state, order);
    for (const auto i : order)
    {
        state.routes[i].share = granted[i] / demand_of(state.routes[i]);
    }
}

void
advance(admission_state& state, monotonic_time now)
{
    const auto elapsed = now - state.window_start;
    if (elapsed >= config::admission_window)
    {
        end_window(state, elapsed);
        state.window_start = now;
    }
}

/// Checks the bounds on concurrency, which apply regardless of the shares.
bool
has_room(const admission_state& state, const admission_service& service,
    const admission_route& route)
{
    const bool below_floor = static_cast<double>(service.in_flight) <
                             std::floor(service.floor_share * max_limit);
    const std::size_t threads = config::max_caller_threads -
                                (below_floor ? config::refusal_threads
                                             : config::reserved_caller_threads);
    const double bound = route.share < 1.0
                             ? service.limit
                             : config::admission_burst_factor * service.limit +
                                   config::admission_burst_queries;
    return state.in_flight < threads &&
           static_cast<double>(service.in_flight) < std::max(1.0, bound);
}

bool
take_credit(admission_route& route)
{
    // At most one unused request is carried over, so that a pause is not
    // followed by a burst.
    route.credit = std::min(route.credit + route.share, 2.0);
    if (route.credit < 1.0)
    {
        return false;
    }
    route.credit -= 1.0;
    return true;
}

} // namespace

void
apply(admission_state& state, const catalog& c)
{
    state.services.resize(std::max(state.services.size(), c.services.size()),
        admission_service{max_limit});
    state.routes.resize(std::max(state.routes.size(), c.routes.size()));
    double total = 0.0;
    std::size_t unset = 0;
    for (const auto& s : c.services)
    {
        if (s.self.is_valid())
        {
            total += s.floor_share;
            unset += s.floor_share > 0.0 ? 0 : 1;
        }
    }
    const double default_total =
        unset > 0 ? std::min(config::default_floor_share_total,
                        std::max(0.0, 1.0 - total))
                  : 0.0;
    const double scale = std::max(1.0, total + default_total);
    for (const auto& s : c.services)
    {
        if (s.self.is_valid())
        {
            state.services[s.self.index].floor_share =
                (s.floor_share > 0.0
                        ? s.floor_share
                        : default_total / static_cast<double>(unset)) /
                scale;
        }
    }
    for (const auto& r : c.routes)
    {
        if (r.self.is_valid())
        {
            auto& route = state.routes[r.self.index];
            route.service = r.service;
            route.worth = r.worth;
            route.time_s = route.time_s > 0.0
                               ? route.time_s
                               : seconds_of(config::initial_route_time);
        }
    }
}

admission_decision
admit(admission_state& state, route_handle route, monotonic_time now)
{
    admission_decision result;
    result.retry_after = config::admission_window;
    if (!is_known(state, route))
    {
        return result;
    }
    advance(state, now);
    auto& asked = state.routes[route.index];
    auto& service = service_of(state, asked);
    ++asked.offered;
    if (!take_credit(asked) || !has_room(state, service, asked))
    {
        ++service.refused;
        return result;
    }
    ++state.in_flight;
    ++service.in_flight;
    service.peak = std::max(service.peak, service.in_flight);
    result.admitted = true;
    result.reason = miss_reason::none;
    result.retry_after = duration::zero();
    return result;
}

void
release(admission_state& state, route_handle route, duration spent,
    monotonic_time now)
{
    if (!is_known(state, route))
    {
        return;
    }
    auto& ended = state.routes[route.index];
    auto& service = service_of(state, ended);
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    service.in_flight -= service.in_flight > 0 ? 1 : 0;
    ended.time_s +=
        config::route_time_gain * (seconds_of(spent) - ended.time_s);
    advance(state, now);
}

void
observe(admission_state& state, service_handle service, const sub_reply& reply)
{
    if (service.index >= state.services.size() ||
        reply.error == miss_reason::cancelled)
    {
        return;
    }
    auto& observed = state.services[service.index];
    ++observed.replies;
    observed.overloaded += reports_overload(reply.error) ? 1 : 0;
    observed.queue_time += reply.queue_time;
    observed.target_time += reply.target_time;
}

double
worth_threshold(const admission_state& state, service_handle service)
{
    double refused = 0.0;
    double lowest = 0.0;
    for (const auto& route : state.routes)
    {
        if (route.service != service)
        {
            continue;
        }
        if (route.share < 1.0)
        {
            refused = std::max(refused, route.worth);
        }
        if (route.share > 0.0)
        {
            lowest = lowest > 0.0 ? std::min(lowest, route.worth) : route.worth;
        }
    }
    return refused > 0.0 ? lowest : 0.0;
}

} // namespace bramleymux
