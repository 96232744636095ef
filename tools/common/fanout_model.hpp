#pragma once

#include "catalog.hpp"
#include "routing.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Model of one service behind one entry VM, on a virtual clock: targets with
/// slots and a queue, queries that fan out to all shards, and hedges.
namespace bramleymux::tools
{

/// Targets of one service, with the reports and views that routing takes.
struct model_fleet
{
    catalog topology;
    std::vector<target_report> reports;
    target_views views;
};

/// Returns `searchers` x `replicas` targets. A searcher holds
/// `shards_per_searcher` shards of snapshot 1, plus `overlap` times as many
/// that the next searchers hold as well.
model_fleet
make_fleet(std::uint32_t searchers, std::uint32_t replicas,
    std::uint32_t shards_per_searcher, std::uint32_t overlap = 0);

struct fanout_options
{
    routing_policy policy = routing_policy::baseline;
    bool hedge = false;
    double straggler_share = 0.0; ///< of the sub-requests; 50 times slower
    std::size_t slow_targets = 0; ///< targets that are always 50 times slower
    double queries_per_s = 600.0;
    std::uint32_t overlap = 0; ///< as in make_fleet()
    std::size_t queries = 6000;
};

struct fanout_result
{
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    double extra_load = 0.0; ///< hedged shards per shard asked
    double batches = 0.0;    ///< sub-requests per query
};

/// Runs the model with 10 searchers of 3 replicas, 3 slots per target and 100
/// shards. A sub-request takes 1 ms plus an exponential time of mean 1 ms.
fanout_result
run_fanout(const fanout_options& options);

} // namespace bramleymux::tools
