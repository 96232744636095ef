#include "rollout.hpp"

#include "config.hpp"

namespace bramleymux
{

namespace
{

constexpr rate_bound bad_reply_bound{
    config::error_bound_factor, config::rollout_bad_margin};

double
evidence_of(const rollout_counts& counts)
{
    return excess_evidence(counts.fresh, counts.former, bad_reply_bound);
}

bool
is_suspected(const rollout_counts& counts)
{
    return evidence_of(counts) >= config::rollout_suspicion;
}

double
part_elapsed(const rollout_progress& progress)
{
    const std::chrono::duration<double> elapsed = progress.elapsed;
    const std::chrono::duration<double> limit = progress.time_limit;
    return limit.count() > 0.0 ? elapsed / limit : 1.0;
}

/// Requests that the new version may get without breaking the bound if it
/// proves bad, at the present rate of requests.
double
allowance(const rollout_progress& progress, const rollout_limits& limits)
{
    const rollout_counts& c = progress.counts;
    const double seen = c.fresh.replies + c.former.replies;
    return limits.share * seen + limits.slack;
}

} // namespace

rollout_counts&
operator+=(rollout_counts& a, const rollout_counts& b)
{
    a.fresh.replies += b.fresh.replies;
    a.fresh.bad += b.fresh.bad;
    a.former.replies += b.former.replies;
    a.former.bad += b.former.bad;
    return a;
}

bool
is_bad(const rollout_counts& counts)
{
    return counts.fresh.bad >= config::min_bad_replies &&
           evidence_of(counts) >= config::withdraw_evidence;
}

double
share_at(const rollout_progress& progress, const rollout_limits& limits)
{
    const double canary = config::rollout_canary_part * limits.share;
    const double part = part_elapsed(progress);
    if (is_bad(progress.counts))
    {
        return 0.0;
    }
    if (part < config::rollout_ramp_at || is_suspected(progress.counts))
    {
        return canary;
    }
    if (part < config::rollout_full_at)
    {
        // A version that turns bad under load shows it before the bound.
        const bool room = progress.counts.fresh.replies <
                          allowance(progress, limits) - limits.slack / 2;
        return room ? config::rollout_ramp_share : canary;
    }
    return 1.0;
}

rollout_state
verdict_of(const rollout_progress& progress, const rollout_limits& limits)
{
    const double part = part_elapsed(progress);
    const bool late = part >= config::rollout_withdraw_at;
    if (is_bad(progress.counts) || (late && is_suspected(progress.counts)))
    {
        return rollout_state::withdrawn;
    }
    const bool moved = part >= config::rollout_complete_at &&
                       share_at(progress, limits) >= 1.0;
    return moved ? rollout_state::completed : rollout_state::running;
}

} // namespace bramleymux
