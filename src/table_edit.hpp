#pragma once

#include "platform.hpp"
#include "table.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Edits of the table: sets of row changes that are validated as a whole and
/// written by one conditional update.
namespace bramleymux
{

enum class change_op
{
    set,    ///< creates or replaces the row
    patch,  ///< replaces some fields; null removes one (RFC 7396)
    remove, ///< deletes the row
    count
};

inline constexpr name_table<change_op> change_op_names{
    "set", "patch", "remove"};

struct row_change
{
    change_op op = change_op::count;
    std::string row;      ///< "kind/key", for example "target/exam-1-a"
    nlohmann::json value; ///< the row, its changed fields, or null
};

struct table_edit
{
    /// Chosen by the author. An id is not applied again while its record is
    /// kept.
    std::string id;
    std::string author;
    std::int64_t at_ms = 0; ///< Unix time
    /// Table version that the edit is based on. 0 means the current one, so
    /// that no row counts as changed by another edit.
    std::uint64_t base_version = 0;
    std::vector<row_change> changes;
};

enum class edit_outcome
{
    accepted,
    rejected_invalid,
    rejected_conflict,
    not_accepted_platform, ///< nothing was written
    unknown,               ///< not known whether the edit took effect
    count
};

inline constexpr name_table<edit_outcome> edit_outcome_names{"accepted",
    "rejected_invalid", "rejected_conflict", "not_accepted_platform",
    "unknown"};

/// A row that another edit changed after the base version.
struct conflicting_row
{
    std::string row;
    std::string edit_id; ///< the other edit; empty if its record is not kept
    std::string author;
    nlohmann::json value; ///< current row; null if it was removed
};

struct edit_result
{
    edit_outcome outcome = edit_outcome::count;
    std::string edit_id;
    std::uint64_t version = 0; ///< table version that holds the edit, or
                               ///< against which it was refused
    findings found;
    std::vector<conflicting_row> conflicts;
    std::string reason; ///< for operators; empty if accepted
    std::size_t attempts = 0;
};

/// One difference between two tables. `field` is empty for a whole row that was
/// added (`before` is null) or removed (`after` is null).
struct field_change
{
    std::string row;
    std::string field;
    nlohmann::json before;
    nlohmann::json after;
};

/// Parses {"id","author","base_version","changes":[{"op","row","value"}]};
/// `row` may be omitted if "kind" and "value" determine it. Appends a finding
/// to `found` for each fault.
table_edit
parse_edit(const nlohmann::json& value, findings& found);

nlohmann::json
to_json(const edit_result& result);

/// Returns the status of the reply that reports the outcome. An unknown one is
/// no 503, which would promise that nothing was written.
int
http_status_of(edit_outcome outcome);

/// Applies the changes to a stored table and validates the result, which must
/// not be used if there is any finding. Does not add the edit's record.
table
apply_edit(const nlohmann::json& stored, std::uint64_t version,
    const table_edit& edit, findings& found);

/// Returns the differences by row and field, ordered by kind and key.
std::vector<field_change>
diff(const table& before, const table& after);

/// Returns the rows of `edit` that other edits changed, or may have changed,
/// after its base version.
std::vector<conflicting_row>
find_conflicts(const table& current, const table_edit& edit);

/// Called before each retry with the number of attempts made so far.
using edit_retry_callback = std::function<void(std::size_t attempt)>;

/// Applies an edit to the current table, validates the result and writes it.
/// Retries from the current table after a conflicting write or a transient
/// error, up to `config::max_edit_attempts` attempts in all. An edit of unknown
/// outcome may be submitted again with the same id: it is written at most once.
edit_result
submit_edit(platform_api& platform, const table_edit& edit,
    const edit_retry_callback& before_retry = {});

/// Looks up whether an edit took effect; the outcome is `accepted` or
/// `unknown`. Writes nothing.
edit_result
read_edit_outcome(platform_api& platform, const std::string& edit_id);

/// Marks a move as withdrawn in the stored table. Accepted without a write if
/// it is already withdrawn. `identity` gives the edit's id, author and time.
edit_result
withdraw_move(platform_api& platform, const std::string& move,
    const std::string& cause, const table_edit& identity,
    const edit_retry_callback& before_retry = {});

/// Marks an active move as done. Rejected if it was withdrawn in the meantime.
edit_result
finish_move(platform_api& platform, const std::string& move,
    const table_edit& identity, const edit_retry_callback& before_retry = {});

} // namespace bramleymux
