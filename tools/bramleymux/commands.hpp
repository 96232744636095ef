#pragma once

#include "bramleymux/admin_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Commands of the operators' command line. Each prints its result to standard
/// output, errors to standard error, and returns the exit code of the program.
namespace bramleymux::tools
{

enum class exit_code
{
    ok = 0,
    usage = 1,        ///< invalid arguments
    invalid = 2,      ///< validation of the edit returned findings
    conflict = 3,     ///< a concurrent edit changed the same rows
    not_accepted = 4, ///< the platform is unavailable; nothing was written
    unknown = 5,      ///< edit outcome unknown, or no log lines of the request
    no_response = 6,  ///< no usable response from the daemon, or a refusal
    timed_out = 7,    ///< version not in force, or move not done, in time
    withdrawn = 8,    ///< the move was withdrawn
};

struct command_options
{
    admin_options admin;
    bool json = false; ///< print JSON instead of text
    std::string author;
    std::string edit_id;            ///< empty = generate a new id
    std::uint64_t base_version = 0; ///< table version the edit is based on
    bool dry_run = false;           ///< validate only, write nothing
    double wait_seconds = 0; ///< longest wait for the edit to be in force;
                             ///< 0 = do not wait
};

/// Prints the table rows of a kind, or only the row with the given name if the
/// name is not empty.
exit_code
show_rows(const command_options& options, const std::string& kind,
    const std::string& name);

exit_code
show_status(const command_options& options);

exit_code
show_moves(const command_options& options);

/// Submits an edit with the given JSON array of changes and, if `wait_seconds`
/// is positive, waits until it is in force. If there is no usable response but
/// the daemon may have received the edit, prints how to look up the outcome.
exit_code
edit_rows(const command_options& options, const nlohmann::json& changes);

/// Converts "field=value" pairs to a JSON object. A value that is not valid
/// JSON is taken as a string.
nlohmann::json
parse_fields(const std::vector<std::string>& fields);

/// Prints the outcome of an edit submitted earlier under this id.
exit_code
show_edit_outcome(const command_options& options, const std::string& id);

/// Waits up to `seconds` until the version is in force on every VM. Version 0
/// stands for the newest version known to the VM.
exit_code
wait_in_force(
    const command_options& options, std::uint64_t version, double seconds);

/// Prints the move whenever its state, share or risk changes, until it is done
/// or withdrawn or `seconds` have passed.
exit_code
watch_move(
    const command_options& options, const std::string& name, double seconds);

} // namespace bramleymux::tools
