#pragma once

#include <cstddef>
#include <utility>
#include <vector>

/// Percentiles and distributions of measured values.
namespace bramleymux::tools
{

/// Returns the nearest-rank percentile of ascending values for a `share` from 0
/// to 1, or 0 if there are no values.
double
percentile(const std::vector<double>& sorted, double share);

/// Returns at most `points` pairs (value, share of values up to it) of
/// ascending values, denser towards the tail. The last pair has share 1.
std::vector<std::pair<double, double>>
cdf_points(const std::vector<double>& sorted, std::size_t points);

/// Returns the median of the largest of `count` log-normal values, which have
/// the given median and the standard deviation `sigma` of their logarithm.
double
median_of_largest(double median, double sigma, double count);

} // namespace bramleymux::tools
