#include "route_stats.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr std::uint32_t samples_between_refreshes = 16;

} // namespace

duration
expected_latency(const route_stats& stats, const route_rule& route)
{
    return stats.median_latency == duration::zero()
               ? duration(route.target_latency / 4)
               : stats.median_latency;
}

duration
completion_time(const route_stats& stats, const route_rule& route)
{
    const auto slow = std::chrono::duration_cast<duration>(
        quantile(stats.latency, config::completion_quantile) *
        config::completion_factor);
    return std::max(slow, expected_latency(stats, route));
}

duration
hedge_after(const route_stats& stats, const route_rule& route)
{
    const auto latest = std::chrono::duration_cast<duration>(
        route.target_latency * config::max_entry_hedge_delay_share);
    if (total(stats.latency) < config::min_hedge_samples)
    {
        return latest;
    }
    const auto stretched = std::chrono::duration_cast<duration>(
        quantile(stats.latency, config::entry_hedge_quantile) *
        config::entry_hedge_delay_factor);
    return std::clamp<duration>(stretched, config::min_entry_hedge_delay,
        std::max<duration>(latest, config::min_entry_hedge_delay));
}

void
record_latency(route_stats& stats, const route_rule& route, duration sample,
    monotonic_time now)
{
    record(stats.latency, sample, now);
    if (stats.median_latency == duration::zero() ||
        ++stats.samples >= samples_between_refreshes)
    {
        stats.samples = 0;
        stats.median_latency = quantile(stats.latency, 0.5);
        stats.hedge_after = hedge_after(stats, route);
    }
}

duration
spent_before(route_stats& stats, duration time_left, monotonic_time now)
{
    const duration age = now - stats.time_left_since;
    if (age >= config::time_left_span)
    {
        const bool follows = age < 2 * config::time_left_span;
        stats.longest_time_left_before =
            follows ? stats.longest_time_left : duration::zero();
        stats.longest_time_left = duration::zero();
        stats.time_left_since = now;
    }
    stats.longest_time_left = std::max(stats.longest_time_left, time_left);
    const duration longest =
        std::max(stats.longest_time_left, stats.longest_time_left_before);
    const duration spent = longest - time_left;
    return spent > longest * config::min_spent_share ? spent : duration::zero();
}

} // namespace bramleymux
