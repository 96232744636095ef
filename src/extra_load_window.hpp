#pragma once

#include "config.hpp"

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>

/// Budget for hedges and retries to one service over a sliding window. Every VM
/// enforces its own part, so that all VMs together stay within the budget
/// without communication: the ratio applies to the VM's own requests, and the
/// slack is divided by the number of VMs.
namespace bramleymux
{

struct extra_load_limits
{
    double ratio = 0.2; ///< extra sends allowed per first send
    double slack = 0.0; ///< further extra sends allowed, all VMs together
    duration window = std::chrono::seconds(10);
};

/// Ring of counts per time bucket.
struct extra_load_window
{
    struct bucket
    {
        std::int64_t epoch = -1; ///< bucket number since the clock's epoch
        std::uint32_t first = 0;
        std::uint32_t extra = 0;
    };

    std::array<bucket, config::extra_load_buckets> buckets{};
};

/// Counts the first send of a request to the service.
void
record_first_send(extra_load_window& window, const extra_load_limits& limits,
    monotonic_time now);

/// Returns whether the budget allows `sends` more extra sends. `vms` is the
/// number of VMs that share the slack.
bool
has_extra_budget(const extra_load_window& window,
    const extra_load_limits& limits, std::size_t vms, std::size_t sends,
    monotonic_time now);

/// Counts one extra send. Returns false, and counts nothing, if the budget is
/// spent.
bool
take_extra_budget(extra_load_window& window, const extra_load_limits& limits,
    std::size_t vms, monotonic_time now);

} // namespace bramleymux
