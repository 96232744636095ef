#pragma once

#include "memory/read_rate.hpp"

#include <cstddef>

/// Limits on what callers may use of a process.
namespace bramleymux
{

struct memory_limits
{
    /// Requests, answers and replies that are held at once, bytes; 0 = no
    /// limit.
    std::size_t caller_bytes = 0;
    /// Open connections of callers; 0 = no limit.
    std::size_t max_connections = 0;
    read_rate_limit read_rate;
};

/// Returns the part for callers of a VM's memory of `memory_mb`.
std::size_t
caller_bytes_of(double memory_mb);

/// Returns the connections that callers may use of `descriptors`.
std::size_t
max_connections_of(std::size_t descriptors);

} // namespace bramleymux
