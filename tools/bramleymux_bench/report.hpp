#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>

/// Report over the results of all runs in a directory.
namespace bramleymux::tools
{

/// Reads SCENARIO.POLICY.json files; returns both runs and the checks of each
/// scenario, in the order in which the scenarios are declared.
nlohmann::json
make_report(const std::string& directory);

/// Writes SCENARIO.POLICY.dat files with "latency_ms share" lines.
void
write_cdfs(const nlohmann::json& report, const std::string& directory);

void
print_markdown(const nlohmann::json& report, std::ostream& out);

bool
all_passed(const nlohmann::json& report);

} // namespace bramleymux::tools
