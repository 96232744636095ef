#pragma once

#include "catalog.hpp"
#include "routing.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// One service behind one entry VM on a virtual clock: targets with slots and
/// a queue, queries that fan out to all shards, and hedges.
namespace bramleymux::tools
{

/// Targets of `searchers` x `replicas`; a searcher holds `size` shards of
/// snapshot 1, and `overlap` times as many that the next searchers hold too.
struct fleet
{
    catalog names;
    std::vector<target_report> reports;
    target_views views;
};

fleet
make_fleet(std::uint32_t searchers, std::uint32_t replicas, std::uint32_t size,
    std::uint32_t overlap = 0);

struct fanout_options
{
    routing_policy policy = routing_policy::baseline;
    bool hedge = false;
    double straggler_share = 0.0; ///< of requests, 50 times as long
    std::size_t slow_targets = 0; ///< always 50 times as long
    double queries_per_s = 600.0;
    std::uint32_t overlap = 0;
    std::size_t queries = 6000;
};

struct fanout_result
{
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    double extra_load = 0.0; ///< hedged shards for each shard asked
    double batches = 0.0;    ///< for each query
};

/// 10 searchers of 3 replicas with 3 slots each, 100 shards; a sub-request
/// takes 1 ms plus an exponential time of mean 1 ms.
fanout_result
run_fanout(const fanout_options& options);

} // namespace bramleymux::tools
