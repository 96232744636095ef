#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <vector>

/// Arrival times of an open-loop load, fixed before the load starts.
namespace bramleymux::tools
{

struct arrival
{
    duration at;      ///< from the start of the load
    std::size_t kind; ///< index into the rates
};

/// Poisson arrivals of several kinds, in order of time. One seed gives one
/// schedule, and a longer one starts with the shorter.
std::vector<arrival>
make_schedule(const std::vector<double>& rates_per_s, duration length,
    std::uint64_t seed);

} // namespace bramleymux::tools
