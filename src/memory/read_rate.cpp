#include "memory/read_rate.hpp"

#include <algorithm>

namespace bramleymux
{

read_progress
begin_span(monotonic_time now, std::size_t delivered, std::size_t left)
{
    return {now, delivered, left};
}

bool
reads_too_slowly(read_progress& progress, const read_rate_limit& limit,
    monotonic_time now, std::size_t delivered, std::size_t in_transit,
    std::size_t left)
{
    if (now - progress.span_started_at < limit.span)
    {
        return false;
    }
    const double span_s = std::chrono::duration<double>(limit.span).count();
    const auto due = std::min(progress.left_at_start,
        static_cast<std::size_t>(limit.bytes_per_second * span_s));
    const bool slow =
        in_transit > 0 && delivered - progress.delivered_at_start < due;
    progress = begin_span(now, delivered, left);
    return slow;
}

} // namespace bramleymux
