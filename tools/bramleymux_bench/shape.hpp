#pragma once

#include "common/bench_rows.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// The benchmark's fleet: the sizes of today, scaled down to one machine.
/// docs/MEASUREMENTS.md states the scale.
namespace bramleymux::tools
{

struct bench_service
{
    std::string name;
    std::uint32_t searchers = 3;
    std::uint32_t shards = 8;
    std::uint32_t rows = 64;
    std::uint32_t slots = 4;
    std::uint32_t connections = 35;
    std::uint32_t connect_cost_ms = 6;
    double worth = 1;
    double per_s = 10;   ///< queries a second
    bool moving = false; ///< has targets of v2 as well, and a move row
};

struct bench_vm
{
    std::string id;
    std::string zone;
    std::string ip;

    std::string
    caller() const
    {
        return ip + ":8080";
    }

    std::string
    peer() const
    {
        return ip + ":8081";
    }

    std::string
    admin() const
    {
        return ip + ":8082";
    }
};

struct bench_shape
{
    std::vector<bench_service> services;
    std::vector<bench_vm> vms;
    double median_us = 5000; ///< of a target's reply
    double sigma = 0.3;
    std::uint32_t copies = 2; ///< replicas of each shard
    double lineage_worth = 1; ///< of the route, against 1 of the others
};

inline constexpr const char* bench_zones[] = {"north", "east", "south", "west"};
inline constexpr std::size_t bench_zone_count = std::size(bench_zones);
inline constexpr const char* platform_address = "127.1.0.1:9000";
inline constexpr const char* target_control_address = "127.1.0.2:7300";
inline constexpr const char* wide_service = "club-portal"; ///< 100 shards

/// `name` is "wide" (100-shard fan-out beside narrow services), "narrow" (slow
/// targets of few services, so that their capacity is soon reached) or "moves"
/// (services with two versions, each with a move that starts when edited).
/// Throws std::runtime_error for another name.
bench_shape
make_shape(const std::string& name);

/// Queries of one service a second that its targets can carry, when each query
/// asks the fewest targets that hold every shard.
double
capacity_per_s(const bench_shape& shape, const bench_service& service);

std::string
target_name(const bench_service& service, std::uint32_t index,
    const std::string& version = "v1");

expected_rows
rows_of(const bench_service& service);

/// Writes platform.json, targets.json, table.json, a settings file ID.ini for
/// each VM, and vms.txt with "ID caller-address" lines.
void
write_fleet(const bench_shape& shape, const std::string& policy,
    const std::string& directory);

} // namespace bramleymux::tools
