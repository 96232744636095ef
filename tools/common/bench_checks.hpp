#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Performance targets of docs/design.md, as checks of measured figures.
namespace bramleymux::tools
{

/// Bound on one figure of a run.
struct figure_check
{
    std::string name;
    double measured = 0;
    double bound = 0;
    bool at_least = false; ///< lower bound if true, else upper bound
    bool present = true;   ///< false if the figure was not measured
};

/// Returns true if the figure is within its bound. A figure that was not
/// measured or is not a number fails.
bool
passes(const figure_check& check);

/// Returns the checks of one scenario. `baseline` and `adaptive` are results of
/// runs, with figures by name. If `baseline` is empty, checks of ratios fail.
std::vector<figure_check>
checks_of(const std::string& scenario, const nlohmann::json& baseline,
    const nlohmann::json& adaptive);

} // namespace bramleymux::tools
