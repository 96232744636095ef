#pragma once

#include "fleet_view.hpp"
#include "latency.hpp"

#include <cstdint>

/// Statistics that a VM keeps per route: latencies, hedge delays and the state
/// of the division between services.
namespace bramleymux
{

/// Statistics of one route.
struct route_stats
{
    latency_sketch latency;    ///< of replies to sub-requests
    duration median_latency{}; ///< median; zero before the first sample
    duration hedge_after{}; ///< cached hedge delay, refreshed with the median
    std::uint32_t samples = 0; ///< samples since the last refresh
    share_picker shares;
    /// Longest time left of a request in the current span and in the one before
    /// it.
    duration longest_time_left{};
    duration longest_time_left_before{};
    monotonic_time time_left_since{}; ///< start of the current span
};

/// Estimates the time that the caller has spent on earlier attempts of a
/// request with `time_left`. The longest time left seen on the route in the
/// last one to two spans of `config::time_left_span` is taken as that of a
/// first attempt; a repeated attempt has less. Returns zero if the difference
/// is small.
duration
spent_before(route_stats& stats, duration time_left, monotonic_time now);

/// Adds a latency sample. Refreshes the median and the hedge delay at the first
/// sample and then once every few samples.
void
record_latency(route_stats& stats, const route_rule& route, duration sample,
    monotonic_time now);

/// Returns the route's median latency, or a quarter of its target latency
/// before there are samples.
duration
expected_latency(const route_stats& stats, const route_rule& route);

/// Returns a time in which nearly every sub-request of the route is answered.
duration
completion_time(const route_stats& stats, const route_rule& route);

/// Returns the time after which a sub-request is hedged: a multiple of a high
/// quantile of the latency, or a share of the route's target latency while
/// there are few samples.
duration
hedge_after(const route_stats& stats, const route_rule& route);

} // namespace bramleymux
