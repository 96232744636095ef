#include "memory/eviction.hpp"

#include "config/memory.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace bramleymux
{

namespace
{

bool
is_evictable(const memory_holder& h)
{
    const bool moves_bytes = h.stage == holder_stage::header ||
                             h.stage == holder_stage::body ||
                             h.stage == holder_stage::answering;
    return moves_bytes && h.held >= config::min_evicted_bytes;
}

/// Seconds in which the connection would move what it holds at the rate that
/// it has shown; 0 while it is too new to have shown any.
double
seconds_left(const memory_holder& h)
{
    if (h.age < config::rate_grace)
    {
        return 0.0;
    }
    const double age_s = std::chrono::duration<double>(h.age).count();
    const double rate = static_cast<double>(h.moved) / age_s;
    return static_cast<double>(h.held) / std::max(rate, 1.0);
}

/// Returns the rank in which connections are closed for a new one.
std::optional<int>
idle_rank(const memory_holder& h)
{
    switch (h.stage)
    {
    case holder_stage::unused:
        return 0;
    case holder_stage::idle:
        return 1;
    case holder_stage::header:
        return h.age < config::header_grace ? std::nullopt
                                            : std::optional<int>(2);
    default:
        return std::nullopt;
    }
}

} // namespace

std::vector<std::size_t>
choose_evictions(const std::vector<memory_holder>& holders, std::size_t excess,
    std::size_t address_limit)
{
    std::map<std::string, std::size_t> by_address;
    for (const memory_holder& h : holders)
    {
        by_address[h.address] += h.held;
    }
    struct candidate
    {
        std::size_t index;
        bool above_share;
        double seconds;
    };
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        if (is_evictable(holders[i]))
        {
            candidates.push_back(
                {i, by_address[holders[i].address] > address_limit,
                    seconds_left(holders[i])});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
        [&](const candidate& a, const candidate& b)
        {
            if (a.above_share != b.above_share)
            {
                return a.above_share;
            }
            if (a.seconds != b.seconds)
            {
                return a.seconds > b.seconds;
            }
            return holders[a.index].held > holders[b.index].held;
        });
    std::vector<std::size_t> out;
    std::size_t freed = 0;
    for (const candidate& c : candidates)
    {
        if (freed >= excess)
        {
            break;
        }
        freed += holders[c.index].held;
        out.push_back(c.index);
    }
    return out;
}

std::optional<std::size_t>
choose_idle(const std::vector<memory_holder>& holders)
{
    std::optional<std::size_t> out;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        const auto rank = idle_rank(holders[i]);
        if (!rank)
        {
            continue;
        }
        const auto best = out ? idle_rank(holders[*out]) : std::nullopt;
        if (!best || *rank < *best ||
            (*rank == *best && holders[i].age > holders[*out].age))
        {
            out = i;
        }
    }
    return out;
}

} // namespace bramleymux
