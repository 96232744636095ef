#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>

/// Reply time above which a reply counts as slow, learned from the old version
/// of a move on one route.
namespace bramleymux
{

/// Tracks a quantile by stochastic approximation (Robbins and Monro 1951) on a
/// logarithmic scale, in 16 bytes.
struct slow_threshold
{
    double log_quantile = 0.0; ///< log2 of nanoseconds
    std::size_t samples = 0;
};

void
learn(slow_threshold& threshold, duration reply_time);

/// False until enough replies of the old version were seen.
bool
is_slow(const slow_threshold& threshold, duration reply_time);

} // namespace bramleymux
