#include "routing.hpp"

#include "config.hpp"
#include "latency.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace bramleymux
{

namespace
{

bool
is_usable(const target_views& views, target_handle target)
{
    return target.index < views.size() &&
           views[target.index].unusable == miss_reason::none &&
           views[target.index].weight > 0.0;
}

bool
has_version(
    const routing_index& index, target_handle target, version_handle version)
{
    return !version.is_valid() || (target.index < index.versions.size() &&
                                      index.versions[target.index] == version);
}

/// Returns the number of shards with a usable replica of `version`.
std::uint32_t
count_usable_shards(const routing_index& index, const snapshot_index& snapshot,
    version_handle version, const target_views& views)
{
    std::uint32_t result = 0;
    for (const auto& group : snapshot.groups)
    {
        if (std::any_of(group.replicas.begin(), group.replicas.end(),
                [&](target_handle t) {
                    return is_usable(views, t) &&
                           has_version(index, t, version);
                }))
        {
            result += group.shards;
        }
    }
    return result;
}

/// Returns the reason for which a group has no usable replica: that of the
/// replica that is closest to being usable again.
miss_reason
reason_of_group(const shard_group& group, const target_views& views)
{
    constexpr std::array nearest{miss_reason::owner_unknown,
        miss_reason::unreachable, miss_reason::draining, miss_reason::zone_out};
    for (const auto reason : nearest)
    {
        if (std::any_of(group.replicas.begin(), group.replicas.end(),
                [&](target_handle t) {
                    return t.index < views.size() &&
                           views[t.index].unusable == reason;
                }))
        {
            return reason;
        }
    }
    return miss_reason::no_replica;
}

/// Replicas of one group among which the policy chooses.
struct candidate_set
{
    std::array<target_handle, config::max_candidates> targets;
    std::size_t size = 0;
    std::size_t rank = 0; ///< of all targets; lower is preferred
};

constexpr std::size_t no_rank = 4;

/// Ranks a replica: 0 is best, `no_rank` excludes it. The version takes
/// precedence over backoff, since a backoff must not move more traffic to a
/// version than its share allows. Blocked replicas are still candidates, since
/// the owner enforces the target's limit in any case.
std::size_t
candidate_rank(const routing_index& index, const plan_request& request,
    const target_views& views, target_handle target, monotonic_time now)
{
    if (!is_usable(views, target) ||
        std::find(request.tried.begin(), request.tried.end(), target) !=
            request.tried.end())
    {
        return no_rank;
    }
    const bool other_version = !has_version(index, target, request.version);
    const bool blocked = request.policy == routing_policy::adaptive &&
                         views[target.index].blocked_until > now;
    return (other_version ? 2 : 0) + (blocked ? 1 : 0);
}

/// Collects the replicas of the best rank, starting at replica `start`.
candidate_set
collect_candidates(const routing_index& index, const shard_group& group,
    const plan_request& request, const target_views& views, monotonic_time now,
    std::size_t start)
{
    candidate_set result;
    result.rank = no_rank;
    for (std::size_t i = 0; i < group.replicas.size(); ++i)
    {
        const auto target = group.replicas[(start + i) % group.replicas.size()];
        const auto rank = candidate_rank(index, request, views, target, now);
        if (rank < result.rank)
        {
            result.rank = rank;
            result.size = 0;
        }
        if (rank == result.rank && rank != no_rank &&
            result.size < result.targets.size())
        {
            result.targets[result.size++] = target;
        }
    }
    return result;
}

/// Expected load of a target if this query uses it, relative to its weight.
double
load_of(const target_view& view, bool in_batch, bool use_latency)
{
    // A batch of this query for the target is reused, so that the shard adds no
    // request.
    const double waiting = in_batch ? 0.0 : 1.0;
    const double load = (waiting + view.in_flight) / view.weight;
    return use_latency ? load * view.latency_us : load;
}

/// Plans one query. All shards of a group go to the same target.
class planner
{
public:
    planner(const routing_index& index, const snapshot_index& snapshot,
        const plan_request& request, const target_views& views,
        monotonic_time now, std::mt19937_64& random)
        : index_(index), snapshot_(snapshot), request_(request), views_(views),
          now_(now), random_(random),
          batch_of_group_(snapshot.groups.size(), unplanned),
          batch_of_target_(views.size(), no_batch)
    {
    }

    query_plan
    run()
    {
        for (const auto shard : request_.shards)
        {
            add_shard(shard);
        }
        return std::move(plan_);
    }

private:
    static constexpr int unplanned = -1;
    static constexpr int no_batch = -2;

    void
    add_shard(shard_id shard)
    {
        if (shard >= snapshot_.shard_count)
        {
            plan_.missing.push_back({shard, miss_reason::no_replica});
            return;
        }
        const auto g = snapshot_.group_of[shard];
        if (batch_of_group_[g] == unplanned)
        {
            batch_of_group_[g] = place_group(snapshot_.groups[g]);
        }
        if (batch_of_group_[g] == no_batch)
        {
            plan_.missing.push_back(
                {shard, reason_of_group(snapshot_.groups[g], views_)});
            return;
        }
        plan_.batches[batch_of_group_[g]].shards.push_back(shard);
    }

    int
    place_group(const shard_group& group)
    {
        const auto start = request_.policy == routing_policy::baseline
                               ? std::size_t{0}
                               : static_cast<std::size_t>(random_());
        const auto candidates =
            collect_candidates(index_, group, request_, views_, now_, start);
        if (candidates.size == 0)
        {
            return no_batch;
        }
        return find_or_add_batch(
            request_.policy == routing_policy::baseline
                ? candidates.targets[request_.query_number % candidates.size]
                : choose(candidates));
    }

    /// Power of two choices. The candidates start at a random replica, so that
    /// the first is random; the second is drawn from all the others, since the
    /// first two would always be neighbours. A target that already has a batch
    /// of this query is used if its load is no higher.
    target_handle
    choose(const candidate_set& candidates)
    {
        const auto first = candidates.targets[0];
        const auto second =
            candidates.size < 2
                ? first
                : candidates.targets[1 + random_() % (candidates.size - 1)];
        const auto fresh = better_of(first, second);
        target_handle reused;
        for (std::size_t i = 0; i < candidates.size; ++i)
        {
            const auto target = candidates.targets[i];
            if (find_batch(target) >= 0)
            {
                reused = reused.is_valid() ? better_of(reused, target) : target;
            }
        }
        if (!reused.is_valid() || reused == fresh)
        {
            return fresh;
        }
        const bool by_latency = is_measured(reused) && is_measured(fresh);
        return load_of(view(reused), true, by_latency) <=
                       load_of(view(fresh), false, by_latency)
                   ? reused
                   : fresh;
    }

    const target_view&
    view(target_handle target) const
    {
        return views_[target.index];
    }

    bool
    is_measured(target_handle target) const
    {
        return view(target).latency_us > 0.0;
    }

    /// Compares latency only if both are measured; an unmeasured target would
    /// otherwise attract either all the traffic or none.
    target_handle
    better_of(target_handle a, target_handle b) const
    {
        const bool by_latency = is_measured(a) && is_measured(b);
        return load_of(view(b), false, by_latency) <
                       load_of(view(a), false, by_latency)
                   ? b
                   : a;
    }

    int
    find_batch(target_handle target) const
    {
        return batch_of_target_[target.index];
    }

    int
    find_or_add_batch(target_handle target)
    {
        auto& batch = batch_of_target_[target.index];
        if (batch == no_batch)
        {
            batch = static_cast<int>(plan_.batches.size());
            plan_.batches.push_back({target, {}});
        }
        return batch;
    }

    const routing_index& index_;
    const snapshot_index& snapshot_;
    const plan_request& request_;
    const target_views& views_;
    monotonic_time now_;
    std::mt19937_64& random_;
    query_plan plan_;
    std::vector<int> batch_of_group_;
    std::vector<int> batch_of_target_;
};

} // namespace

miss_reason
unusable_reason(const target_facts& facts)
{
    if (facts.zone_out)
    {
        return miss_reason::zone_out;
    }
    if (facts.draining)
    {
        return miss_reason::draining;
    }
    if (!facts.reachable)
    {
        return miss_reason::unreachable;
    }
    return facts.owner_known ? miss_reason::none : miss_reason::owner_unknown;
}

const snapshot_index*
choose_snapshot(const routing_index& index, service_handle service,
    version_handle version, const target_views& views)
{
    if (service.index >= index.services.size() ||
        !index.services[service.index])
    {
        return nullptr;
    }
    const auto& all = index.services[service.index]->snapshots;
    if (version.is_valid())
    {
        const auto complete = std::find_if(all.begin(), all.end(),
            [&](const snapshot_index& s) {
                return count_usable_shards(index, s, version, views) ==
                       s.shard_count;
            });
        if (complete != all.end())
        {
            return &*complete;
        }
    }
    const snapshot_index* best = nullptr;
    std::uint32_t most = 0;
    for (const auto& s : all)
    {
        const auto usable = count_usable_shards(index, s, {}, views);
        if (usable == s.shard_count)
        {
            return &s;
        }
        if (best == nullptr || usable > most)
        {
            best = &s;
            most = usable;
        }
    }
    return best;
}

std::vector<shard_id>
all_shards(const snapshot_index& snapshot)
{
    std::vector<shard_id> result(snapshot.shard_count);
    std::iota(result.begin(), result.end(), shard_id{0});
    return result;
}

query_plan
plan_query(const routing_index& index, const snapshot_index& snapshot,
    const plan_request& request, const target_views& views, monotonic_time now,
    std::mt19937_64& random)
{
    return planner(index, snapshot, request, views, now, random).run();
}

duration
refusal_block(
    miss_reason reason, std::uint32_t refusals, std::mt19937_64& random)
{
    switch (reason)
    {
    case miss_reason::shed:
    case miss_reason::queue_full:
    case miss_reason::lease_lapsed:
        return full_jitter(refusals, config::overload_block_base,
            config::overload_block_cap, random);
    case miss_reason::unreachable:
    case miss_reason::owner_unknown:
        return full_jitter(refusals, config::failure_block_base,
            config::failure_block_cap, random);
    default:
        return duration::zero();
    }
}

} // namespace bramleymux
