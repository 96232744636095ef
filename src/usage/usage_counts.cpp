#include "usage/usage_counts.hpp"

#include "config/usage.hpp"

#include <algorithm>

namespace bramleymux
{

window_id
window_of(duration at, duration length)
{
    const auto quotient = at.count() / length.count();
    return at.count() % length.count() < 0 ? quotient - 1 : quotient;
}

duration
end_of(window_id window, duration length)
{
    return (window + 1) * length;
}

namespace
{

void
begin_windows(usage_counts& counts, window_id current)
{
    auto& windows = counts.windows;
    window_id next = windows.empty() ? current : windows.rbegin()->first + 1;
    counts.first = windows.empty() ? current : counts.first;
    const auto kept = static_cast<window_id>(config::max_usage_windows);
    next = std::max(next, current - kept + 1);
    for (; next <= current; ++next)
    {
        windows[next];
        ++counts.changes;
    }
}

usage_window*
find_open(usage_counts& counts, window_id window)
{
    const auto found = counts.windows.find(window);
    if (found != counts.windows.end() && !found->second.closed)
    {
        return &found->second;
    }
    const auto open = std::find_if(counts.windows.begin(), counts.windows.end(),
        [](const auto& w) { return !w.second.closed; });
    return open == counts.windows.end() ? nullptr : &open->second;
}

} // namespace

void
advance_windows(usage_counts& counts, duration now)
{
    begin_windows(counts, window_of(now, counts.length));
    for (auto& [id, window] : counts.windows)
    {
        const bool over =
            end_of(id, counts.length) + config::usage_settle_time <= now;
        if (over && !window.closed)
        {
            window.closed = true;
            ++counts.changes;
        }
    }
    const auto is_old = [&](const auto& entry)
    {
        return counts.windows.size() > config::max_usage_windows ||
               end_of(entry.first, counts.length) + config::usage_retention <
                   now;
    };
    while (counts.windows.size() > 1 && is_old(*counts.windows.begin()))
    {
        counts.windows.erase(counts.windows.begin());
    }
}

void
add_usage(usage_counts& counts, const std::string& workspace,
    const usage_change& change, duration now)
{
    if (change.runs == 0)
    {
        return;
    }
    advance_windows(counts, now);
    const window_id wanted = window_of(change.at, counts.length);
    const auto found = counts.windows.find(wanted);
    const bool open = found != counts.windows.end() && !found->second.closed;
    if (change.runs < 0 && !open)
    {
        return;
    }
    usage_window* window = open ? &found->second : find_open(counts, wanted);
    if (window == nullptr)
    {
        return;
    }
    window->exact = window->exact && open;
    auto& by_workspace = window->counts;
    if (by_workspace.size() >= config::max_usage_workspaces &&
        by_workspace.count(workspace) == 0)
    {
        window->exact = false;
        return;
    }
    std::uint64_t& count = by_workspace[workspace];
    const auto less =
        static_cast<std::uint64_t>(-std::min<std::int64_t>(change.runs, 0));
    count = count - std::min(count, less) +
            static_cast<std::uint64_t>(std::max<std::int64_t>(change.runs, 0));
    if (count == 0)
    {
        by_workspace.erase(workspace);
    }
    ++counts.changes;
}

void
mark_clock_corrected(usage_counts& counts, duration now)
{
    for (auto& [id, window] : counts.windows)
    {
        window.exact = window.exact && window.closed;
    }
    const window_id known =
        counts.windows.empty() ? 0 : counts.windows.rbegin()->first;
    advance_windows(counts, now);
    // The windows that the clock skipped ran under other numbers.
    for (auto w = counts.windows.upper_bound(known); w != counts.windows.end();
         ++w)
    {
        w->second.exact = false;
    }
    counts.first = std::min(counts.first, window_of(now, counts.length));
    ++counts.changes;
}

} // namespace bramleymux
