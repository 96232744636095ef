#include "memory/memory_limits.hpp"

#include <algorithm>

namespace bramleymux
{

std::size_t
caller_bytes_of(double memory_mb)
{
    const double bytes = memory_mb * static_cast<double>(config::mib);
    return std::max(config::min_caller_memory,
        static_cast<std::size_t>(bytes * config::caller_memory_share));
}

std::size_t
max_connections_of(std::size_t descriptors)
{
    const auto share = static_cast<std::size_t>(
        static_cast<double>(descriptors) * config::reserved_descriptor_share);
    const std::size_t reserved = std::clamp(share,
        config::min_reserved_descriptors, config::max_reserved_descriptors);
    return descriptors > reserved ? descriptors - reserved : 1;
}

} // namespace bramleymux
