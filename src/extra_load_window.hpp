#pragma once

#include "config.hpp"

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>

/// Bound on hedges and retries to one service in a sliding window. Every VM
/// keeps to its own part, so that the sum over all VMs keeps to the whole
/// without messages: the ratio applies to the VM's own requests, and the slack
/// is divided by the number of VMs.
namespace bramleymux
{

struct extra_load_limits
{
    double ratio = 0.2; ///< extra sends allowed for each first send
    double slack = 0.0; ///< extra sends allowed besides, of all VMs together
    duration window = std::chrono::seconds(10);
};

struct extra_load_window
{
    struct bucket
    {
        std::int64_t epoch = -1; ///< number of the bucket since time zero
        std::uint32_t first = 0;
        std::uint32_t extra = 0;
    };

    std::array<bucket, config::extra_load_buckets> buckets{};
};

/// Counts the first send of a request to the service.
void
note_first(extra_load_window& window, const extra_load_limits& limits,
    monotonic_time now);

/// Whether the window has room for `sends` extra sends.
bool
has_extra(const extra_load_window& window, const extra_load_limits& limits,
    std::size_t vms, std::size_t sends, monotonic_time now);

/// Counts one extra send, or returns false when the window has no room for it.
bool
take_extra(extra_load_window& window, const extra_load_limits& limits,
    std::size_t vms, monotonic_time now);

} // namespace bramleymux
