#pragma once

#include <cstddef>
#include <utility>
#include <vector>

/// Percentiles and distributions of the benchmark's figures.
namespace bramleymux::tools
{

/// Nearest-rank percentile of ascending values; 0 when there are none.
double
percentile(const std::vector<double>& sorted, double share);

/// At most `points` pairs (value, share of values up to it), the last with
/// share 1, denser towards the tail.
std::vector<std::pair<double, double>>
cdf_points(const std::vector<double>& sorted, std::size_t points);

/// Median of the largest of `count` log-normal values.
double
median_of_largest(double median, double sigma, double count);

} // namespace bramleymux::tools
