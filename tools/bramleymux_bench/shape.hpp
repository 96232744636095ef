#pragma once

#include "common/bench_rows.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Fleet of the benchmark: the sizes of the present deployment, scaled down to
/// one machine. docs/MEASUREMENTS.md states the scale.
namespace bramleymux::tools
{

struct bench_service
{
    std::string name;
    std::uint32_t searchers = 3;
    std::uint32_t shards = 8;
    std::uint32_t rows = 64; ///< in all shards
    std::uint32_t slots = 4; ///< of each searcher
    std::uint32_t connections = 35;
    std::uint32_t connect_cost_ms = 6;
    double worth = 1;
    double queries_per_s = 10; ///< offered load
    bool moving = false; ///< also has targets of v2, and a move from v1 to v2
};

struct bench_vm
{
    std::string id;
    std::string zone;
    std::string ip;

    std::string
    caller_address() const
    {
        return ip + ":8080";
    }

    std::string
    peer_address() const
    {
        return ip + ":8081";
    }

    std::string
    admin_address() const
    {
        return ip + ":8082";
    }
};

struct bench_shape
{
    std::vector<bench_service> services;
    std::vector<bench_vm> vms;
    double median_us = 5000;  ///< of a target's log-normal latency
    double sigma = 0.3;       ///< of the logarithm of that latency
    std::uint32_t copies = 2; ///< replicas of each shard
    double lineage_worth = 1; ///< of the route lineage; 1 on other routes
};

inline constexpr const char* bench_zones[] = {"north", "east", "south", "west"};
inline constexpr std::size_t bench_zone_count = std::size(bench_zones);
inline constexpr const char* platform_address = "127.1.0.1:9000";
inline constexpr const char* target_control_address = "127.1.0.2:7300";
inline constexpr const char* wide_service = "club-portal"; ///< 100 shards

/// Returns the shape "wide" (100-shard fan-out beside narrow services),
/// "narrow" (few services with slow targets, so that a moderate load reaches
/// their capacity) or "moves" (services with two versions, each with a move
/// that an edit starts). Throws std::runtime_error for any other name.
bench_shape
make_shape(const std::string& name);

/// Returns the queries per second that the targets of a service can serve if
/// each query asks the fewest targets that together hold every shard.
double
capacity_per_s(const bench_shape& shape, const bench_service& service);

/// Returns SERVICE-INDEX, with the suffix -VERSION unless that is v1. The name
/// without a version is also the name of the searcher.
std::string
target_name(const bench_service& service, std::uint32_t index,
    const std::string& version = "v1");

/// Returns the keys of each shard in snapshot 1, the only one at the start.
expected_rows
rows_of(const bench_service& service);

/// Writes platform.json, targets.json, table.json, a settings file ID.ini for
/// each VM, and vms.txt with "ID caller-address" lines. Throws
/// std::runtime_error if a file cannot be written.
void
write_fleet(const bench_shape& shape, const std::string& policy,
    const std::string& directory);

} // namespace bramleymux::tools
