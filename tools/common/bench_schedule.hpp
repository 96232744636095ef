#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <vector>

/// Arrival times of an open-loop load, computed before the load starts.
namespace bramleymux::tools
{

struct arrival
{
    duration at;      ///< from the start of the load
    std::size_t kind; ///< index into the rates
};

/// Returns Poisson arrivals of several kinds, in order of time; none if all
/// rates are 0. Deterministic for a seed, and a shorter schedule is a prefix of
/// a longer one.
std::vector<arrival>
make_schedule(const std::vector<double>& rates_per_s, duration length,
    std::uint64_t seed);

} // namespace bramleymux::tools
