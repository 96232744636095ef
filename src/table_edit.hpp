#pragma once

#include "platform.hpp"
#include "table.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Edits of the table: row changes that are validated as a whole and written
/// by conditional update.
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
    std::string id; ///< chosen by the author; repeats of an id have no effect
    std::string author;
    std::int64_t at_ms = 0; ///< Unix time
    /// Table version that the author saw. 0 means the current one: no row is
    /// then taken as changed by somebody else.
    std::uint64_t base_version = 0;
    std::vector<row_change> changes;
};

enum class edit_outcome
{
    accepted,
    rejected_invalid,
    rejected_conflict,
    not_accepted_platform, ///< nothing was written
    unknown,               ///< sent, and the platform cannot be read
    count
};

inline constexpr name_table<edit_outcome> edit_outcome_names{"accepted",
    "rejected_invalid", "rejected_conflict", "not_accepted_platform",
    "unknown"};

/// A row that somebody else changed after the edit's base version.
struct conflicting_row
{
    std::string row;
    std::string edit_id; ///< empty when the record is no longer kept
    std::string author;
    nlohmann::json value; ///< the row as it is now; null when removed
};

struct edit_result
{
    edit_outcome outcome = edit_outcome::count;
    std::string edit_id;
    std::uint64_t version = 0; ///< table version that holds the edit, or that
                               ///< the refusal was decided on
    findings found;
    std::vector<conflicting_row> conflicts;
    std::string reason; ///< for operators, empty when accepted
    std::size_t attempts = 0;
};

/// One difference of two tables. `field` is empty for a whole row that was
/// added (`before` is null) or removed (`after` is null).
struct field_change
{
    std::string row;
    std::string field;
    nlohmann::json before;
    nlohmann::json after;
};

/// Parses {"id","author","base_version","changes":[{"op","row","value"}]};
/// `row` may be left out of a "set" that also names its "kind".
table_edit
parse_edit(const nlohmann::json& value, findings& found);

nlohmann::json
to_json(const edit_result& result);

/// Applies the changes to a stored table. Any finding means that the result
/// must not be used. The edit's record is not added.
table
apply_edit(const nlohmann::json& stored, std::uint64_t version,
    const table_edit& edit, findings& found);

/// Differences by row and field, in the order of kinds and keys.
std::vector<field_change>
diff(const table& before, const table& after);

/// Rows of `edit` that other edits changed after its base version.
std::vector<conflicting_row>
find_conflicts(const table& current, const table_edit& edit);

/// Called between attempts with the number of attempts made.
using edit_pause = std::function<void(std::size_t attempt)>;

/// Validates, rebases and writes an edit. Submitting an edit of unknown
/// outcome again with the same id gives its outcome, or writes it once.
edit_result
submit_edit(platform_api& platform, const table_edit& edit,
    const edit_pause& pause = {});

/// Reads whether an edit of unknown outcome took effect; writes nothing.
edit_result
ask_edit(platform_api& platform, const std::string& edit_id);

/// Makes a withdrawal persistent. Accepted without a write when the move is
/// already withdrawn.
edit_result
withdraw_move(platform_api& platform, const std::string& move,
    const std::string& cause, const table_edit& identity,
    const edit_pause& pause = {});

/// Marks an active move as done; refused when it was withdrawn meanwhile.
edit_result
finish_move(platform_api& platform, const std::string& move,
    const table_edit& identity, const edit_pause& pause = {});

} // namespace bramleymux
