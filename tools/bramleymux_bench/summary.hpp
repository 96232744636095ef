#pragma once

#include "bramleymux_bench/load.hpp"

/// Computes the figures of one run from the callers' samples and the counters
/// of the fleet.
namespace bramleymux::tools
{

struct fleet_counters
{
    nlohmann::json targets;          ///< statistics of each target by its name
    nlohmann::json platform;         ///< number of calls by kind
    std::vector<nlohmann::json> vms; ///< counters of each VM by name
};

/// Reads all counters from the running fleet.
fleet_counters
read_fleet(const bench_shape& shape);

struct run_data
{
    const bench_shape* shape = nullptr;
    std::vector<call_sample> samples;
    double seconds = 0;     ///< length of the load
    double deadline_ms = 0; ///< of each query
    fleet_counters before;  ///< at the start of the load
    fleet_counters after;   ///< after the last reply
};

/// Returns figures by name; docs/MEASUREMENTS.md explains each.
nlohmann::json
summarize(const run_data& run);

} // namespace bramleymux::tools
