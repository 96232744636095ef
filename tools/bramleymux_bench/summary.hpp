#pragma once

#include "bramleymux_bench/load.hpp"

/// Figures of one run from the callers' samples and the fleet's counters.
namespace bramleymux::tools
{

struct fleet_counters
{
    nlohmann::json targets;          ///< by name
    nlohmann::json platform;         ///< counts by kind
    std::vector<nlohmann::json> vms; ///< counters by name
};

fleet_counters
read_fleet(const bench_shape& shape);

struct run_data
{
    const bench_shape* shape = nullptr;
    std::vector<call_sample> samples;
    double seconds = 0;
    double deadline_ms = 0;
    fleet_counters before;
    fleet_counters after;
};

/// Figures by name; docs/MEASUREMENTS.md explains each.
nlohmann::json
summarize(const run_data& run);

} // namespace bramleymux::tools
