#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>

/// Slow-reply threshold of one route, learned from the replies of the old
/// version of a move.
namespace bramleymux
{

/// Estimate of the `config::slow_quantile` quantile of reply times, in 16
/// bytes. Uses stochastic approximation (Robbins and Monro 1951) on a
/// logarithmic scale.
struct slow_threshold
{
    double log_quantile = 0.0; ///< log2 of nanoseconds
    std::size_t samples = 0;
};

/// Updates the estimate with a reply time of the old version.
void
learn(slow_threshold& threshold, duration reply_time);

/// Returns true if `reply_time` exceeds the threshold, which is
/// `config::slow_threshold_factor` times the estimated quantile. Returns false
/// until `config::slow_threshold_warmup` samples have been learned.
bool
is_slow(const slow_threshold& threshold, duration reply_time);

} // namespace bramleymux
