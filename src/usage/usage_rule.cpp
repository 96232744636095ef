#include "usage/usage_rule.hpp"

#include <algorithm>

namespace bramleymux
{

usage_change
count_sends(usage_rule rule, request_usage& request, send_stage stage,
    std::uint32_t sends, duration at)
{
    if (sends == 0)
    {
        return {};
    }
    if (rule == usage_rule::each_run)
    {
        const auto runs = static_cast<std::int64_t>(sends);
        return {stage == send_stage::written ? runs : -runs, at};
    }
    if (stage == send_stage::written)
    {
        const bool first = request.possible_runs == 0;
        request.possible_runs += sends;
        request.counted_at = first ? at : request.counted_at;
        return first ? usage_change{1, at} : usage_change{};
    }
    const std::uint32_t denied = std::min(sends, request.possible_runs);
    request.possible_runs -= denied;
    const bool none_left = denied > 0 && request.possible_runs == 0;
    return none_left ? usage_change{-1, request.counted_at} : usage_change{};
}

} // namespace bramleymux
