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
    return evidence_of(counts) >= config::rollout_suspicion_evidence;
}

double
elapsed_fraction(const rollout_progress& progress)
{
    const std::chrono::duration<double> elapsed = progress.elapsed;
    const std::chrono::duration<double> limit = progress.time_limit;
    return limit.count() > 0.0 ? elapsed / limit : 1.0;
}

/// Returns the number of requests that the new version may have received by now
/// without exceeding the bound should it prove bad: the share of all replies so
/// far, plus the slack.
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
    const double fraction = elapsed_fraction(progress);
    if (is_bad(progress.counts))
    {
        return 0.0;
    }
    if (fraction < config::rollout_ramp_at || is_suspected(progress.counts) ||
        !progress.evidence_current)
    {
        return canary;
    }
    if (fraction < config::rollout_full_at)
    {
        // Half of the slack is kept back, so that a version that fails only
        // under load is detected before it exceeds the bound.
        const bool room = progress.counts.fresh.replies <
                          allowance(progress, limits) - limits.slack / 2;
        return room ? config::rollout_ramp_share : canary;
    }
    return 1.0;
}

rollout_state
verdict_of(const rollout_progress& progress, const rollout_limits& limits)
{
    const double fraction = elapsed_fraction(progress);
    const bool late =
        fraction >= config::rollout_withdraw_at && progress.evidence_current;
    if (is_bad(progress.counts) || (late && is_suspected(progress.counts)))
    {
        return rollout_state::withdrawn;
    }
    const bool complete = fraction >= config::rollout_complete_at &&
                          share_at(progress, limits) >= 1.0;
    return complete ? rollout_state::completed : rollout_state::running;
}

} // namespace bramleymux
