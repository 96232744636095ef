#pragma once

#include "bramleymux/admin_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Operators' commands. Each returns the exit code of the program.
namespace bramleymux::tools
{

enum class exit_code
{
    ok = 0,
    usage = 1,        ///< wrong arguments
    invalid = 2,      ///< the edit has findings
    conflict = 3,     ///< another edit changed the same rows
    not_accepted = 4, ///< the platform does not answer; nothing was written
    unknown = 5,      ///< the outcome of the edit is not known
    no_answer = 6,    ///< the daemon does not answer or refuses
    timed_out = 7,    ///< not in force, or not done, in time
    withdrawn = 8,    ///< the move was withdrawn
};

struct command_options
{
    admin_options admin;
    bool json = false;
    std::string author;
    std::string edit_id; ///< empty: a new one
    std::uint64_t base_version = 0;
    bool dry_run = false;
    double wait_seconds = 0; ///< wait until the edit is in force
};

exit_code
show_rows(const command_options& options, const std::string& kind,
    const std::string& name);

exit_code
show_status(const command_options& options);

exit_code
show_moves(const command_options& options);

/// `changes` is the JSON array of an edit.
exit_code
edit_rows(const command_options& options, const nlohmann::json& changes);

/// "field=value" pairs; a value that is not JSON is a string.
nlohmann::json
parse_fields(const std::vector<std::string>& fields);

exit_code
ask_edit_outcome(const command_options& options, const std::string& id);

/// Waits until the version is in force on every VM.
exit_code
wait_in_force(
    const command_options& options, std::uint64_t version, double seconds);

/// Prints each change of a move until it is done or withdrawn.
exit_code
watch_move(
    const command_options& options, const std::string& name, double seconds);

} // namespace bramleymux::tools
