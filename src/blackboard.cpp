#include "blackboard.hpp"

namespace bramleymux
{

namespace
{

constexpr std::size_t entries_per_shard =
    config::max_targets / config::target_state_shards;

bool
is_failure(miss_reason error)
{
    return error != miss_reason::none && error != miss_reason::cancelled;
}

} // namespace

target_board::target_board()
{
    for (state_shard& shard : shards_)
    {
        shard.entries.resize(entries_per_shard);
    }
}

target_board::entry&
target_board::entry_of(target_handle target)
{
    return shards_[target.index % config::target_state_shards]
        .entries[target.index / config::target_state_shards];
}

void
target_board::read(const std::vector<target_handle>& targets,
    const std::vector<target_facts>& facts, const catalog& c,
    monotonic_time now, target_views& out) const
{
    out.resize(std::max(out.size(), c.targets.size()));
    for (const target_handle target : targets)
    {
        target_view& view = out[target.index];
        const target_facts known =
            target.index < facts.size() ? facts[target.index] : target_facts{};
        view.unusable = unusable_reason(known);
        view.weight = c.targets[target.index].weight;
        const state_shard& shard =
            shards_[target.index % config::target_state_shards];
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const entry& e =
            shard.entries[target.index / config::target_state_shards];
        view.latency_us = expected_us(e.latency, now);
        view.in_flight = e.in_flight;
        view.blocked_until = e.blocked_until;
    }
}

void
target_board::sent(target_handle target)
{
    state_shard& shard = shards_[target.index % config::target_state_shards];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    ++entry_of(target).in_flight;
}

void
target_board::record_reply(target_handle target, miss_reason error,
    duration elapsed, monotonic_time now, std::mt19937_64& random)
{
    state_shard& shard = shards_[target.index % config::target_state_shards];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    entry& e = entry_of(target);
    if (e.in_flight > 0)
    {
        --e.in_flight;
    }
    if (error == miss_reason::none)
    {
        record(e.latency, elapsed, now);
        e.refusals = 0;
        e.blocked_until = {};
    }
    else if (error == miss_reason::cancelled || error == miss_reason::deadline)
    {
        record_at_least(e.latency, elapsed, now);
    }
    if (is_failure(error))
    {
        ++e.refusals;
        const duration block = refusal_block(error, e.refusals, random);
        e.blocked_until = std::max(e.blocked_until, now + block);
    }
}

load_board::load_board(double extra_load_share)
{
    extra_.share = extra_load_share;
}

duration
load_board::hedge_delay_of(route_handle route) const
{
    const route_entry& entry = routes_[route.index];
    const std::lock_guard<std::mutex> lock(entry.mutex);
    return hedge_delay(entry.sketch);
}

void
load_board::record_latency(
    route_handle route, duration sample, monotonic_time now)
{
    route_entry& entry = routes_[route.index];
    const std::lock_guard<std::mutex> lock(entry.mutex);
    record(entry.sketch, sample, now);
}

void
load_board::earn_for(
    service_handle service, std::size_t shards, monotonic_time now)
{
    const std::lock_guard<std::mutex> lock(budget_mutex_);
    earn(extra_, shards, now);
    earn(retries_[service.index], shards);
}

bool
load_board::spend_hedge(std::size_t shards)
{
    const std::lock_guard<std::mutex> lock(budget_mutex_);
    return spend(extra_, shards);
}

bool
load_board::spend_retry_of(
    service_handle service, run_state run, std::size_t shards)
{
    const std::lock_guard<std::mutex> lock(budget_mutex_);
    return spend_retry(extra_, retries_[service.index], run, shards);
}

void
load_board::record_shed_reply(monotonic_time now)
{
    const std::lock_guard<std::mutex> lock(budget_mutex_);
    record_shed(extra_, now);
}

} // namespace bramleymux
