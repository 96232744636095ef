#pragma once

#include "usage/usage_rule.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <map>
#include <string>

/// Counts of one VM by window and workspace.
namespace bramleymux
{

/// Number of a window: it begins this many window lengths after the start of
/// 1970 in true time.
using window_id = std::int64_t;

using workspace_counts = std::map<std::string, std::uint64_t>;

struct usage_window
{
    workspace_counts counts;
    bool closed = false; ///< nothing is added any more
    bool exact = true;   ///< false if requests may be missing or misplaced
};

struct usage_counts
{
    duration length{}; ///< of a window
    std::map<window_id, usage_window> windows;
    window_id first = 0;       ///< nothing was counted before it
    std::uint64_t changes = 0; ///< grows with each change
};

window_id
window_of(duration at, duration length);

/// Returns the true time at which the window ends.
duration
end_of(window_id window, duration length);

/// Begins the windows up to the one of `now`, closes those that ended
/// `config::usage_settle_time` before, and drops old ones.
void
advance_windows(usage_counts& counts, duration now);

/// Applies a change. A request whose window is closed already, because the
/// clock was set back, is counted in the first open window.
void
add_usage(usage_counts& counts, const std::string& workspace,
    const usage_change& change, duration now);

/// Marks the open windows as not exact, and the ones up to that of `now`, after
/// the clock was corrected.
void
mark_clock_corrected(usage_counts& counts, duration now);

} // namespace bramleymux
