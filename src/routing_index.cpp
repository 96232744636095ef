#include "routing_index.hpp"

#include "config.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bramleymux
{

namespace
{

/// A target that holds a snapshot.
struct holder
{
    target_handle target;
    const held_snapshot* snapshot = nullptr;
};

using holders_by_sequence = std::map<snapshot_sequence, std::vector<holder>>;

/// Returns the holders of each snapshot of a service. Snapshots with a shard
/// count out of range are ignored.
holders_by_sequence
collect_holders(const catalog& c, const std::vector<target_report>& reports,
    service_handle service)
{
    holders_by_sequence result;
    for (const auto target : c.services[service.index].targets)
    {
        if (target.index >= reports.size())
        {
            continue;
        }
        for (const auto& held : reports[target.index].snapshots)
        {
            if (held.shard_count > 0 && held.shard_count <= config::max_shards)
            {
                result[held.sequence].push_back({target, &held});
            }
        }
    }
    return result;
}

/// Returns the shard count that most holders report, the larger one on ties.
/// Holders that report another one have a different shard map, so their rows
/// cannot be merged.
std::uint32_t
agreed_shard_count(const std::vector<holder>& holders)
{
    std::map<std::uint32_t, std::size_t> votes;
    for (const auto& h : holders)
    {
        ++votes[h.snapshot->shard_count];
    }
    std::uint32_t best = 0;
    std::size_t most = 0;
    for (const auto& [shard_count, number] : votes)
    {
        if (number >= most)
        {
            best = shard_count;
            most = number;
        }
    }
    return best;
}

std::vector<std::vector<target_handle>>
replicas_by_shard(const std::vector<holder>& holders, std::uint32_t shard_count)
{
    std::vector<std::vector<target_handle>> result(shard_count);
    for (const auto& h : holders)
    {
        if (h.snapshot->shard_count != shard_count)
        {
            continue;
        }
        for (const auto& range : h.snapshot->shards)
        {
            for (shard_id s = range.first; s <= range.last && s < shard_count;
                 ++s)
            {
                auto& replicas = result[s];
                if (replicas.empty() || replicas.back() != h.target)
                {
                    replicas.push_back(h.target);
                }
            }
        }
    }
    return result;
}

snapshot_index
compile_snapshot(snapshot_sequence sequence, const std::vector<holder>& holders)
{
    snapshot_index result;
    result.sequence = sequence;
    result.shard_count = agreed_shard_count(holders);
    result.group_of.reserve(result.shard_count);
    std::map<std::vector<target_handle>, std::uint32_t> known;
    for (auto& replicas : replicas_by_shard(holders, result.shard_count))
    {
        const auto next = static_cast<std::uint32_t>(result.groups.size());
        const auto [found, added] = known.emplace(replicas, next);
        if (added)
        {
            result.groups.push_back({std::move(replicas), 0});
        }
        ++result.groups[found->second].shards;
        result.group_of.push_back(found->second);
    }
    return result;
}

bool
has_complete_snapshot(const service_index* service)
{
    return service != nullptr &&
           std::any_of(service->snapshots.begin(), service->snapshots.end(),
               [](const snapshot_index& snapshot)
               {
                   return std::none_of(snapshot.groups.begin(),
                       snapshot.groups.end(),
                       [](const shard_group& g) { return g.replicas.empty(); });
               });
}

std::shared_ptr<const service_index>
compile_service(const catalog& c, const std::vector<target_report>& reports,
    service_handle service)
{
    const auto by_sequence = collect_holders(c, reports, service);
    std::vector<std::pair<snapshot_sequence, const std::vector<holder>*>> kept;
    for (const auto& [sequence, holders] : by_sequence)
    {
        kept.emplace_back(sequence, &holders);
    }
    if (kept.size() > config::max_snapshots_per_service)
    {
        // Keeps the snapshots with the most holders, so that one target that
        // reports many snapshots does not displace those of the others.
        std::sort(kept.begin(), kept.end(),
            [](const auto& a, const auto& b)
            {
                return std::pair(a.second->size(), a.first) >
                       std::pair(b.second->size(), b.first);
            });
        kept.resize(config::max_snapshots_per_service);
    }
    std::sort(kept.begin(), kept.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    auto result = std::make_shared<service_index>();
    for (const auto& [sequence, holders] : kept)
    {
        result->snapshots.push_back(compile_snapshot(sequence, *holders));
    }
    return result;
}

std::vector<version_handle>
versions_by_target(const catalog& c)
{
    std::vector<version_handle> result(c.targets.size());
    for (const auto& t : c.targets)
    {
        if (t.self.is_valid())
        {
            result[t.self.index] = t.version;
        }
    }
    return result;
}

} // namespace

std::shared_ptr<const routing_index>
build_routing_index(const catalog& c, const std::vector<target_report>& reports)
{
    auto result = std::make_shared<routing_index>();
    result->versions = versions_by_target(c);
    result->services.resize(c.services.size());
    for (const auto& service : c.services)
    {
        if (service.self.is_valid())
        {
            result->services[service.self.index] =
                compile_service(c, reports, service.self);
        }
    }
    return result;
}

std::shared_ptr<const routing_index>
rebuild_service(const routing_index& index, const catalog& c,
    const std::vector<target_report>& reports, service_handle service)
{
    auto result = std::make_shared<routing_index>(index);
    if (service.index < c.services.size() &&
        service.index < result->services.size())
    {
        result->services[service.index] = compile_service(c, reports, service);
    }
    return result;
}

bool
same_holdings(const target_report& a, const target_report& b)
{
    const auto same_range = [](const shard_range& x, const shard_range& y)
    { return x.first == y.first && x.last == y.last; };
    return std::equal(a.snapshots.begin(), a.snapshots.end(),
        b.snapshots.begin(), b.snapshots.end(),
        [&](const held_snapshot& x, const held_snapshot& y)
        {
            return x.sequence == y.sequence && x.shard_count == y.shard_count &&
                   std::equal(x.shards.begin(), x.shards.end(),
                       y.shards.begin(), y.shards.end(), same_range);
        });
}

bool
covers_every_service(const routing_index& index, const catalog& c)
{
    return std::all_of(c.targets.begin(), c.targets.end(),
        [&](const catalog_target& target)
        {
            const std::size_t service = target.service.index;
            return !target.self.is_valid() ||
                   (service < index.services.size() &&
                       has_complete_snapshot(index.services[service].get()));
        });
}

const snapshot_index*
find_snapshot(const routing_index& index, service_handle service,
    snapshot_sequence sequence)
{
    if (service.index >= index.services.size() ||
        !index.services[service.index])
    {
        return nullptr;
    }
    const auto& all = index.services[service.index]->snapshots;
    const auto found = std::find_if(all.begin(), all.end(),
        [&](const snapshot_index& s) { return s.sequence == sequence; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace bramleymux
