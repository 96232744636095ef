#include "common/bench_schedule.hpp"

#include <cmath>
#include <numeric>
#include <random>

namespace bramleymux::tools
{

namespace
{

/// Returns a uniform value in [0, 1) with 53 random bits.
double
uniform(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11U) * 0x1p-53;
}

/// Maps a point in [0, sum of rates) to a kind, in proportion to the rates.
std::size_t
pick_kind(const std::vector<double>& rates, double point)
{
    std::size_t kind = 0;
    while (kind + 1 < rates.size() && point >= rates[kind])
    {
        point -= rates[kind++];
    }
    return kind;
}

} // namespace

std::vector<arrival>
make_schedule(
    const std::vector<double>& rates_per_s, duration length, std::uint64_t seed)
{
    const double total =
        std::accumulate(rates_per_s.begin(), rates_per_s.end(), 0.0);
    std::vector<arrival> out;
    if (total <= 0)
    {
        return out;
    }
    std::mt19937_64 random(seed);
    double at_s = 0;
    for (;;)
    {
        at_s -= std::log(1 - uniform(random)) / total;
        const auto at = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(at_s));
        if (at >= length)
        {
            return out;
        }
        out.push_back({at, pick_kind(rates_per_s, uniform(random) * total)});
    }
}

} // namespace bramleymux::tools
