#pragma once

#include "bramleymux_bench/shape.hpp"

/// Scenarios: a load and the faults or operations scripted into it.
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
    moves, ///< one good, one bad at once, one bad on one route
    count
};

inline constexpr name_table<scenario_kind> scenario_names{"quiet", "stragglers",
    "cold", "zone", "rolling", "edits", "replica", "repartition", "outage",
    "overload", "moves"};

struct scenario_options
{
    scenario_kind kind = scenario_kind::quiet;
    bench_shape shape;
    std::string directory; ///< files exchanged with the script that replaces
                           ///< daemons
    double seconds = 10;
    double warm_up_seconds = 0;
    std::uint64_t seed = 1;
    std::size_t edits = 100;
};

/// Runs one scenario on a fleet that is up; returns figures by name.
nlohmann::json
run_scenario(const scenario_options& options);

} // namespace bramleymux::tools
