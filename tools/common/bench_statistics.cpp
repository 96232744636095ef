#include "common/bench_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux::tools
{

namespace
{

/// Returns the inverse of the standard normal CDF, found by bisection.
double
normal_quantile(double share)
{
    double low = -10;
    double high = 10;
    for (int i = 0; i < 80; ++i)
    {
        const double middle = (low + high) / 2;
        const double below = 0.5 * std::erfc(-middle / std::sqrt(2.0));
        (below < share ? low : high) = middle;
    }
    return (low + high) / 2;
}

} // namespace

double
percentile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    // The tolerance keeps 0.99 * 100 from being rounded up to rank 100.
    const double rank =
        std::ceil(share * static_cast<double>(sorted.size()) - 1e-9);
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

std::vector<std::pair<double, double>>
cdf_points(const std::vector<double>& sorted, std::size_t points)
{
    std::vector<std::pair<double, double>> out;
    if (sorted.empty() || points == 0)
    {
        return out;
    }
    const auto size = static_cast<double>(sorted.size());
    double last_rank = 0;
    for (std::size_t i = 1; i <= points; ++i)
    {
        // Equal steps of log(1 - share), down to a tail of a single value.
        const double tail_share = std::pow(
            size, -static_cast<double>(i) / static_cast<double>(points));
        const double rank =
            i == points ? size : std::ceil(size * (1 - tail_share) - 1e-9);
        if (rank > last_rank)
        {
            out.emplace_back(
                sorted[static_cast<std::size_t>(rank) - 1], rank / size);
            last_rank = rank;
        }
    }
    return out;
}

double
median_of_largest(double median, double sigma, double count)
{
    return median * std::exp(sigma * normal_quantile(std::pow(0.5, 1 / count)));
}

} // namespace bramleymux::tools
