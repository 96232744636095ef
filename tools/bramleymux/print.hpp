#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

/// Human-readable output of the command line.
namespace bramleymux::tools
{

using text_rows = std::vector<std::vector<std::string>>;

/// Pads each column to its widest cell. The first row is the header.
void
print_table(std::ostream& out, const text_rows& rows);

/// Prints rows of one kind, with one column for each field that any row has.
void
print_rows(std::ostream& out, const nlohmann::json& rows);

void
print_status(std::ostream& out, const nlohmann::json& status);

void
print_moves(std::ostream& out, const nlohmann::json& moves);

/// Prints whether a table version is in force on every VM, and lists the VMs
/// where it is applied, pending, cut off or unconfirmed.
void
print_in_force(std::ostream& out, const nlohmann::json& report);

/// Prints the outcome of an edit. If it was not accepted, also prints the
/// reason, the findings and the conflicting rows.
void
print_edit(std::ostream& out, const nlohmann::json& result);

} // namespace bramleymux::tools
