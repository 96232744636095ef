#pragma once

#include "catalog.hpp"
#include "config.hpp"
#include "latency.hpp"
#include "owner_map.hpp"
#include "published.hpp"
#include "routing.hpp"
#include "version_move.hpp"

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

/// State shared between the controllers, which write it, and the queries, which
/// read it. Each part has its own lock.
namespace bramleymux
{

/// Latency, load and backoff of each target as measured by the entry VM.
/// Thread-safe.
class target_board
{
public:
    target_board();

    /// Fills the entries of `targets` in `out` for a routing decision; grows
    /// `out` to the size of the catalog if needed.
    void
    read(const std::vector<target_handle>& targets,
        const std::vector<target_facts>& facts, const catalog& c,
        monotonic_time now, target_views& out) const;

    /// Counts a sub-request as in flight.
    void
    sent(target_handle target);

    /// Records the end of a sub-request `elapsed` after its send. A refusal or
    /// failure blocks the target for a short, randomised time.
    void
    record_reply(target_handle target, miss_reason error, duration elapsed,
        monotonic_time now, std::mt19937_64& random);

private:
    struct entry
    {
        latency_mean latency;
        std::uint32_t in_flight = 0;
        std::uint32_t refusals = 0; ///< and failures, in a row
        monotonic_time blocked_until{};
    };

    struct state_shard
    {
        mutable std::mutex mutex;
        std::vector<entry> entries;
    };

    entry&
    entry_of(target_handle target);

    std::array<state_shard, config::target_state_shards> shards_;
};

/// Latency of each route, and the budgets of hedges and retries. Thread-safe.
class load_board
{
public:
    explicit load_board(double extra_load_share);

    /// Returns the time after which a sub-request of the route is hedged.
    duration
    hedge_delay_of(route_handle route) const;

    void
    record_latency(route_handle route, duration sample, monotonic_time now);

    /// Adds budget for a request to `shards` shards of the service.
    void
    earn_for(service_handle service, std::size_t shards, monotonic_time now);

    /// Returns false, and spends nothing, if the budget is exhausted.
    bool
    spend_hedge(std::size_t shards);

    /// As `spend_hedge`, for a retry. `run` tells whether the failed attempt
    /// was executed; if not, the retry spends no extra load.
    bool
    spend_retry_of(service_handle service, run_state run, std::size_t shards);

    /// Reduces the extra load for a while after a target shed a request.
    void
    record_shed_reply(monotonic_time now);

private:
    struct route_entry
    {
        mutable std::mutex mutex;
        latency_sketch sketch;
    };

    std::array<route_entry, config::max_routes> routes_;
    std::mutex budget_mutex_;
    extra_load_budget extra_;
    std::array<retry_budget, config::max_services> retries_;
};

/// One instance for each VM.
struct blackboard
{
    explicit blackboard(double extra_load_share) : load(extra_load_share) {}

    published<table> rows;
    published<catalog> topology;
    published<routing_index> routes;
    published<std::vector<target_facts>> facts; ///< by target handle
    published<owner_map> owners;
    published<std::vector<version_share>> versions; ///< by service handle
    target_board targets;
    load_board load;
};

} // namespace bramleymux
