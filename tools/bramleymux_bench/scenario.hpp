#pragma once

#include "bramleymux_bench/shape.hpp"

/// Scenarios: a load with faults or operations injected at set times.
namespace bramleymux::tools
{

enum class scenario_kind
{
    quiet,
    stragglers,
    cold,
    zone,
    rolling,
    edits,
    replica,
    repartition,
    outage,
    overload,
    moves, ///< version moves to a good version, to one that fails on all
           ///< routes and to one that fails on a single route
    count
};

inline constexpr name_table<scenario_kind> scenario_names{"quiet", "stragglers",
    "cold", "zone", "rolling", "edits", "replica", "repartition", "outage",
    "overload", "moves"};

struct scenario_options
{
    scenario_kind kind = scenario_kind::quiet;
    bench_shape shape;
    std::string directory; ///< of rolling.start and rolling.done, exchanged
                           ///< with the script that replaces daemons
    double seconds = 10;   ///< length of the load, unless an event ends it
    double warm_up_seconds = 0;
    std::uint64_t seed = 1;
    std::size_t edits = 100; ///< of the scenario edits
};

/// Runs one scenario on a running fleet. Returns figures by name. Throws
/// std::runtime_error if a control or admin call fails.
nlohmann::json
run_scenario(const scenario_options& options);

} // namespace bramleymux::tools
