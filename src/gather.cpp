#include "gather.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

// Absorbs rounding: in binary, 0.07 * 100 exceeds 7.
constexpr double rounding_tolerance = 1e-9;

bool
reaches_min_coverage(const gather_progress& p, std::size_t shards)
{
    return reaches_coverage(shards, p.shards, p.min_coverage);
}

duration
partial_answer_time(const gather_progress& p)
{
    return std::max(p.target_latency - config::answer_margin,
        duration(p.target_latency / 2));
}

} // namespace

std::string
merge_records(const std::vector<std::string_view>& parts, std::size_t limit)
{
    std::vector<std::string_view> records;
    for (std::string_view part : parts)
    {
        for (; part.size() >= config::result_record_bytes;
             part.remove_prefix(config::result_record_bytes))
        {
            records.push_back(part.substr(0, config::result_record_bytes));
        }
    }
    const std::size_t kept = std::min(limit, records.size());
    std::partial_sort(records.begin(),
        records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
        std::greater<>());
    std::string out;
    out.reserve(kept * config::result_record_bytes);
    for (std::size_t i = 0; i < kept; ++i)
    {
        out += records[i];
    }
    return out;
}

bool
reaches_coverage(std::size_t shards, std::size_t of, double min_coverage)
{
    return static_cast<double>(shards) + rounding_tolerance >=
           min_coverage * static_cast<double>(of);
}

bool
has_min_coverage(const gather_progress& p)
{
    return p.answered > 0 && reaches_min_coverage(p, p.answered);
}

gather_step
next_step(const gather_progress& p)
{
    if (p.answered == p.shards)
    {
        return gather_step::answer;
    }
    const bool over = p.open == 0 || p.elapsed >= p.give_up;
    const bool reachable = reaches_min_coverage(p, p.answered + p.open);
    if (has_min_coverage(p))
    {
        return over || p.elapsed >= partial_answer_time(p) ? gather_step::answer
                                                           : gather_step::wait;
    }
    return over || !reachable ? gather_step::fail : gather_step::wait;
}

duration
next_decision_at(const gather_progress& p)
{
    const duration partial = partial_answer_time(p);
    return has_min_coverage(p) && p.elapsed < partial
               ? std::min(partial, p.give_up)
               : p.give_up;
}

} // namespace bramleymux
