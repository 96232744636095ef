#include "process_pause.hpp"

#include "config.hpp"

#include <ctime>

namespace bramleymux
{

duration
boot_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec));
}

bool
has_paused(const pause_watch& watch, duration now)
{
    return now - watch.checked_at >= config::entry_pause_threshold;
}

void
note_running(pause_watch& watch, duration now)
{
    watch.checked_at = now;
}

} // namespace bramleymux
