#pragma once

#include <chrono>
#include <cstddef>

/// Units of the compile-time limits.
namespace bramleymux::config
{

using namespace std::chrono_literals;

inline constexpr std::size_t kib = 1024;
inline constexpr std::size_t mib = 1024 * kib;

} // namespace bramleymux::config
