#include "config.hpp"
#include "target_pool_state.hpp"

#include <algorithm>

/// Rollouts in target_pool: the division of requests between two versions and
/// the counts of their replies.
namespace bramleymux
{

namespace
{

// Ten shares of 0.1 add up to slightly less than 1 in binary.
constexpr double rounding_tolerance = 1e-9;

} // namespace

void
target_pool::set_version_share(
    const std::string& service, std::optional<rollout_share> share)
{
    service_state& s = service_of(service);
    const bool same = s.rollout && share &&
                      s.rollout->version == share->version &&
                      s.rollout->order == share->order;
    if (!same)
    {
        s.counts = {};
        s.fresh_credit = 0.0;
    }
    s.rollout = std::move(share);
}

rollout_counts
target_pool::version_counts(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? rollout_counts{} : found->second->counts;
}

/// Divides first sends by the share. Hedges and retries prefer the former
/// version until the rollout is complete, since it is the proven one.
target_state*
target_pool::choose_version(service_state& service, choice_context& context)
{
    const rollout_share& rollout = *service.rollout;
    const bool first = context.tried == nullptr || context.tried->empty();
    const bool whole = rollout.share >= 1.0;
    bool fresh = whole;
    if (first && !whole)
    {
        service.fresh_credit += rollout.share;
        fresh = service.fresh_credit + rounding_tolerance >= 1.0;
    }
    context.version = &rollout.version;
    context.other_versions = !fresh;
    target_state* target = choose_target(service.targets, context, random_);
    if (fresh && !whole && target != nullptr)
    {
        service.fresh_credit -= 1.0;
    }
    if (target != nullptr)
    {
        return target;
    }
    // Falls back to the unproven version only if the former one has no target
    // at all, not if its targets lack capacity.
    const bool former_exists =
        std::any_of(service.targets.begin(), service.targets.end(),
            [&](const target_state* t)
            { return t->record.version != rollout.version; });
    if (!fresh && former_exists)
    {
        return nullptr;
    }
    context.version = nullptr;
    return choose_target(service.targets, context, random_);
}

/// Counts a reply for its version. Replies of cold targets are not counted,
/// since they are slow with any version.
void
target_pool::count_version(entry& e, send_outcome outcome, duration took,
    duration expected, monotonic_time now)
{
    const bool ran_nothing =
        outcome == send_outcome::shed || outcome == send_outcome::misdirected;
    if (!e.service->rollout || ran_nothing || now < e.state.cold_until)
    {
        return;
    }
    const bool slow = took > config::rollout_slow_multiple * expected;
    if (outcome == send_outcome::cancelled && !slow)
    {
        return;
    }
    const bool good = outcome == send_outcome::good && !slow;
    const bool fresh = e.state.record.version == e.service->rollout->version;
    bad_counts& counts =
        fresh ? e.service->counts.fresh : e.service->counts.former;
    counts.replies += 1.0;
    counts.bad += good ? 0.0 : 1.0;
}

} // namespace bramleymux
