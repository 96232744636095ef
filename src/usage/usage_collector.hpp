#pragma once

#include "usage/usage_counts.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

/// What a collector keeps of the counts of the VMs of its zone: the newest
/// message of each process of a VM, so that repeated and reordered messages do
/// no harm.
namespace bramleymux
{

/// State of one window in a message.
struct reported_window
{
    window_id id = 0;
    bool closed = false;
    bool exact = true;
    workspace_counts counts;
};

/// Counts that a VM sends to a collector.
struct usage_message
{
    std::string vm;
    std::uint64_t process = 0;  ///< random number of the VM's process
    std::uint64_t sequence = 0; ///< grows with each message of the process
    duration time{};            ///< true time of the sender
    window_id first = 0;        ///< the process counted nothing before it
    std::vector<reported_window> windows;
};

/// What is known of one process of a VM in one window.
struct source_usage
{
    std::string vm;
    std::uint64_t process = 0;
    /// Of the message with the counts; 0 if none had this window.
    std::uint64_t sequence = 0;
    /// Nothing can be added any more, and nothing is missing.
    bool complete = false;
    workspace_counts counts;
};

enum class collect_result
{
    accepted,
    outdated, ///< a newer message of the process is known
    full,     ///< no room; the sender tries again
    count
};

inline constexpr name_table<collect_result> collect_result_names{
    "accepted", "outdated", "full"};

struct usage_collector
{
    struct kept_window
    {
        std::uint64_t sequence = 0;
        reported_window content;
    };

    struct source
    {
        std::uint64_t sequence = 0;
        window_id first = 0;
        duration received_at{}; ///< boot time
        std::map<window_id, kept_window> windows;
    };

    std::map<std::pair<std::string, std::uint64_t>, source> sources;
    std::size_t entries = 0; ///< counts of all windows
};

/// `now` is the boot time. Sources and windows that nobody reports on any more
/// are dropped.
collect_result
collect(usage_collector& collector, usage_message&& message, duration now);

/// Returns one element for each known process.
std::vector<source_usage>
usage_in(const usage_collector& collector, window_id window);

} // namespace bramleymux
