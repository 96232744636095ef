#include "usage/usage_collector.hpp"

#include "config/usage.hpp"

namespace bramleymux
{

namespace
{

void
drop_old_sources(usage_collector& collector, duration now)
{
    for (auto it = collector.sources.begin(); it != collector.sources.end();)
    {
        if (now - it->second.received_at <= config::usage_retention)
        {
            ++it;
            continue;
        }
        for (const auto& [id, window] : it->second.windows)
        {
            collector.entries -= window.content.counts.size();
        }
        it = collector.sources.erase(it);
    }
}

void
drop_old_windows(usage_collector& collector, usage_collector::source& source)
{
    while (source.windows.size() > config::max_usage_windows)
    {
        const auto oldest = source.windows.begin();
        collector.entries -= oldest->second.content.counts.size();
        source.windows.erase(oldest);
    }
}

std::size_t
entries_of(const usage_message& message)
{
    std::size_t out = 0;
    for (const reported_window& window : message.windows)
    {
        out += window.counts.size();
    }
    return out;
}

} // namespace

collect_result
collect(usage_collector& collector, usage_message&& message, duration now)
{
    drop_old_sources(collector, now);
    const auto key = std::make_pair(message.vm, message.process);
    const auto known = collector.sources.find(key);
    if (known != collector.sources.end() &&
        message.sequence <= known->second.sequence)
    {
        return collect_result::outdated;
    }
    const bool too_many = known == collector.sources.end() &&
                          collector.sources.size() >= config::max_usage_sources;
    if (too_many ||
        collector.entries + entries_of(message) > config::max_usage_entries)
    {
        return collect_result::full;
    }
    usage_collector::source& source = collector.sources[key];
    source.sequence = message.sequence;
    source.first = message.first;
    source.received_at = now;
    for (reported_window& window : message.windows)
    {
        usage_collector::kept_window& kept = source.windows[window.id];
        collector.entries += window.counts.size();
        collector.entries -= kept.content.counts.size();
        kept = {message.sequence, std::move(window)};
    }
    drop_old_windows(collector, source);
    return collect_result::accepted;
}

std::vector<source_usage>
usage_in(const usage_collector& collector, window_id window)
{
    std::vector<source_usage> out;
    for (const auto& [key, source] : collector.sources)
    {
        source_usage usage;
        usage.vm = key.first;
        usage.process = key.second;
        // A process that began later counted nothing in the window.
        usage.complete = source.first > window;
        const auto found = source.windows.find(window);
        if (found != source.windows.end())
        {
            const reported_window& content = found->second.content;
            usage.sequence = found->second.sequence;
            usage.complete = content.closed && content.exact;
            usage.counts = content.counts;
        }
        out.push_back(std::move(usage));
    }
    return out;
}

} // namespace bramleymux
