#pragma once

#include "fleet_view.hpp"
#include "latency.hpp"

#include <cstdint>

/// What a VM learns of a route: usual latencies, hedge times, shares.
namespace bramleymux
{

/// What the VM learned of one route.
struct route_stats
{
    latency_sketch latency; ///< of replies to sub-requests
    duration usual{};       ///< median, refreshed every few samples
    duration hedge_after{};
    std::uint32_t samples = 0; ///< since the last refresh
    share_picker shares;
    duration longest_wait{}; ///< time that callers give their first attempts
};

/// Time that the caller of a request with `time_left` has spent on earlier
/// attempts: a repeated attempt has less time left than a first one.
duration
spent_before(route_stats& stats, duration time_left);

/// Adds a sample and refreshes the derived times.
void
note_latency(route_stats& stats, const route_rule& route, duration sample,
    monotonic_time now);

/// Time after which a sub-request is hedged, from the target latency alone
/// while there are few samples.
duration
hedge_after(const route_stats& stats, const route_rule& route);

} // namespace bramleymux
