#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

/// Readable output of the command line.
namespace bramleymux::tools
{

using text_rows = std::vector<std::vector<std::string>>;

/// Columns padded to their widest cell; the first row is the header.
void
print_table(std::ostream& out, const text_rows& rows);

/// Rows of one kind of the table, for example "targets".
void
print_rows(std::ostream& out, const nlohmann::json& rows);

void
print_status(std::ostream& out, const nlohmann::json& status);

void
print_moves(std::ostream& out, const nlohmann::json& moves);

void
print_in_force(std::ostream& out, const nlohmann::json& report);

/// Findings, conflicts and the reason of an edit that was not accepted.
void
print_edit(std::ostream& out, const nlohmann::json& result);

} // namespace bramleymux::tools
