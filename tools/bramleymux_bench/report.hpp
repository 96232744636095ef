#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>

/// Report on the results of all runs in a directory.
namespace bramleymux::tools
{

/// Reads SCENARIO.POLICY.json files. Returns the runs of both policies, their
/// ratios and the checks of each scenario that has a result, in the order in
/// which the scenarios are declared.
nlohmann::json
make_report(const std::string& directory);

/// Writes the latency distributions as SCENARIO.POLICY.dat files with
/// "latency_ms share" lines.
void
write_cdfs(const nlohmann::json& report, const std::string& directory);

/// Prints tables of the runs, the checks and the latency ratios.
void
print_markdown(const nlohmann::json& report, std::ostream& out);

/// Returns true if no check of any scenario failed.
bool
all_passed(const nlohmann::json& report);

} // namespace bramleymux::tools
