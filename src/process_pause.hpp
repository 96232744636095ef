#pragma once

#include <bramleymux/types.hpp>

/// Detects that the process did not run for a while, because it was stopped by
/// a signal or its machine was suspended. Its timers and its knowledge are then
/// older than the steady clock shows.
namespace bramleymux
{

struct pause_watch
{
    duration checked_at{}; ///< boot time at which the process last ran
};

/// Returns the time since the machine started, including its suspensions.
duration
boot_time();

/// Returns whether the process has not run for
/// `config::entry_pause_threshold` or longer.
bool
has_paused(const pause_watch& watch, duration now);

/// Call regularly, from the event loop.
void
note_running(pause_watch& watch, duration now);

} // namespace bramleymux
