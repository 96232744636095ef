#pragma once

#include "attempt.hpp"

#include <vector>

/// Judges requests by what their callers and the targets saw. Shares no code
/// with the programs under test.
namespace bramleymux::soak
{

struct interval
{
    monotonic_time from{};
    monotonic_time to{};
};

/// Returns how much of `span` the intervals cover; overlaps count once.
duration
covered_time(std::vector<interval> intervals, const interval& span);

/// What is known of a request besides what its caller saw.
struct evidence
{
    std::uint32_t runs = 0; ///< at targets
    bool vm_killed = false; ///< by SIGKILL, while the request was open
    /// Time between send and end in which the VM was stopped by SIGSTOP or this
    /// process did not run.
    duration stalled{};
    /// A VM that ran and reached the store sent the request to a target long
    /// after that had left.
    bool reached_left_target = false;
    /// When the store acknowledged the revocation of the key; the greatest time
    /// if it was not revoked before the request.
    monotonic_time key_revoked_at = monotonic_time::max();
};

/// Time after a revocation from which no VM may accept the key.
inline constexpr auto revocation_bound = std::chrono::milliseconds(2000);

struct verdict
{
    bool crossed_close = false; ///< the VM closed without reading the request
    std::string fault;          ///< empty if the end of the request is allowed
};

verdict
judge(const attempt& a, const evidence& known);

} // namespace bramleymux::soak
