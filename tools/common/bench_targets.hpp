#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// The benchmark targets that docs/design.md states, as checks of measured
/// figures.
namespace bramleymux::tools
{

struct target_check
{
    std::string name;
    double measured = 0;
    double bound = 0;
    bool at_least = false; ///< else at most
    bool present = true;   ///< false when the figure was not measured
};

/// A figure that is not measured, or not a number, does not pass.
bool
passes(const target_check& check);

/// Checks of one scenario. Both arguments are results of runs, with figures by
/// name; `baseline` may be empty.
std::vector<target_check>
checks_of(const std::string& scenario, const nlohmann::json& baseline,
    const nlohmann::json& adaptive);

} // namespace bramleymux::tools
