#include "duties/duty_pacing.hpp"

#include "config/duties.hpp"

#include <algorithm>

namespace bramleymux
{

duty_pacing
make_duty_pacing(double calls_per_second)
{
    duty_pacing out;
    out.interval = config::duty_call_retry_base;
    if (calls_per_second > 0)
    {
        out.interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                1 / (calls_per_second * config::duty_rate_share)));
    }
    return out;
}

bool
may_call(const duty_pacing& pacing, duration now)
{
    return now >= pacing.next_call_at;
}

void
record_call_sent(duty_pacing& pacing, duration now)
{
    pacing.next_call_at = now + pacing.interval;
}

void
record_call_end(duty_pacing& pacing, duration now, bool accepted)
{
    if (accepted)
    {
        pacing.failures = 0;
        return;
    }
    constexpr std::uint32_t max_doublings = 4;
    const duration wait = std::min<duration>(config::duty_call_retry_max,
        config::duty_call_retry_base *
            (1U << std::min(pacing.failures, max_doublings)));
    ++pacing.failures;
    pacing.next_call_at = std::max(pacing.next_call_at, now + wait);
}

} // namespace bramleymux
