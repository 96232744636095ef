#include "table_edit.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace bramleymux
{

namespace
{

using nlohmann::json;

/// Returns the kind that a row key starts with, or `count` if it is unknown.
row_kind
kind_of(const std::string& row)
{
    return from_name<row_kind>(row_kind_names, row.substr(0, row.find('/')));
}

/// Returns the index of the row in its array, or the array's size if there is
/// no such row.
std::size_t
find_row(const json& rows, row_kind kind, const std::string& row)
{
    std::size_t i = 0;
    while (i < rows.size() &&
           !(rows[i].is_object() && row_key(kind, rows[i]) == row))
    {
        ++i;
    }
    return i;
}

/// Returns the stored row, or null if there is none.
json
row_value(const json& stored, const std::string& row)
{
    const row_kind kind = kind_of(row);
    if (kind == row_kind::count || !stored.is_object() ||
        !stored.contains(array_name(kind)))
    {
        return nullptr;
    }
    const json& rows = stored[array_name(kind)];
    const std::size_t at = find_row(rows, kind, row);
    return at < rows.size() ? rows[at] : json(nullptr);
}

void
apply_change(json& stored, const row_change& change, findings& found)
{
    const row_kind kind = kind_of(change.row);
    if (kind == row_kind::count)
    {
        found.push_back({change.row, "unknown kind of row"});
        return;
    }
    json& rows = stored[array_name(kind)];
    if (!rows.is_array())
    {
        rows = json::array();
    }
    const std::size_t at = find_row(rows, kind, change.row);
    if (change.op != change_op::set && at == rows.size())
    {
        found.push_back({change.row, "no such row"});
        return;
    }
    if (change.op == change_op::remove)
    {
        rows.erase(at);
        return;
    }
    json row = change.value;
    if (change.op == change_op::patch)
    {
        row = rows[at];
        row.merge_patch(change.value);
    }
    if (!row.is_object() || row_key(kind, row) != change.row)
    {
        found.push_back({change.row, "an edit cannot change the key of a row"});
        return;
    }
    if (at == rows.size())
    {
        rows.push_back(std::move(row));
    }
    else
    {
        rows[at] = std::move(row);
    }
}

void
check_edit(const table_edit& edit, findings& found)
{
    if (edit.id.empty() || edit.id.size() > config::max_name_bytes)
    {
        found.push_back(
            {"edit/id", "must have 1 to " +
                            std::to_string(config::max_name_bytes) + " bytes"});
    }
    if (edit.author.size() > config::max_name_bytes)
    {
        found.push_back({"edit/author",
            "must have at most " + std::to_string(config::max_name_bytes) +
                " bytes"});
    }
    if (edit.changes.empty())
    {
        found.push_back({"edit/changes", "must not be empty"});
    }
    std::vector<std::string> rows;
    for (const row_change& change : edit.changes)
    {
        if (std::find(rows.begin(), rows.end(), change.row) != rows.end())
        {
            found.push_back({change.row, "changed twice in one edit"});
        }
        rows.push_back(change.row);
    }
}

/// The row of a done or withdrawn move keeps traffic off the version that the
/// move left or withdrew, so it must stay while that version has targets. The
/// row of an active move must stay while its new version has targets.
void
check_removed_move(const move_row& old, const table& after, findings& found)
{
    const std::string& unused =
        old.state == move_state::done ? old.from : old.to;
    if (std::any_of(after.targets.begin(), after.targets.end(),
            [&](const target_row& t)
            { return t.service == old.service && t.version == unused; }))
    {
        found.push_back({"move/" + old.name,
            "cannot be removed while targets of version \"" + unused +
                "\" exist"});
    }
}

/// A withdrawn move stays withdrawn and a done one is not restarted. The
/// versions of a move cannot change, since its evidence was collected for them.
void
check_changed_move(
    const move_row& old, const move_row& current, findings& found)
{
    if ((old.state == move_state::withdrawn &&
            current.state != move_state::withdrawn) ||
        (old.state == move_state::done && current.state == move_state::active))
    {
        found.push_back({"move/" + old.name + "/state",
            "a move that was withdrawn or is done cannot be made active "
            "again; create a move with a new name"});
    }
    if (old.service != current.service || old.from != current.from ||
        old.to != current.to)
    {
        found.push_back({"move/" + old.name,
            "service, from and to cannot change; create a move with a new "
            "name"});
    }
}

void
check_move_changes(const table& before, const table& after, findings& found)
{
    for (const move_row& old : before.moves)
    {
        const auto current =
            std::find_if(after.moves.begin(), after.moves.end(),
                [&](const move_row& m) { return m.name == old.name; });
        if (current == after.moves.end())
        {
            check_removed_move(old, after, found);
        }
        else
        {
            check_changed_move(old, *current, found);
        }
    }
}

std::string
fingerprint_of(const table_edit& edit)
{
    json changes = json::array();
    for (const row_change& change : edit.changes)
    {
        changes.push_back(
            {static_cast<int>(change.op), change.row, change.value});
    }
    const std::string text = changes.dump();
    return std::to_string(XXH64(text.data(), text.size(), 0));
}

void
add_record(table& value, const table_edit& edit, std::uint64_t replaced_version)
{
    edit_record record{edit.id, edit.author, edit.at_ms, replaced_version,
        fingerprint_of(edit), {}};
    for (const row_change& change : edit.changes)
    {
        record.rows.push_back(change.row);
    }
    value.edits.push_back(std::move(record));
    if (value.edits.size() > config::max_edit_records)
    {
        value.edits.erase(value.edits.begin(),
            value.edits.end() -
                static_cast<std::ptrdiff_t>(config::max_edit_records));
    }
}

const edit_record*
find_record(const table& value, const std::string& id)
{
    const auto at = std::find_if(value.edits.begin(), value.edits.end(),
        [&](const edit_record& r) { return r.id == id; });
    return at == value.edits.end() ? nullptr : &*at;
}

std::string
platform_reason(platform_errc error)
{
    return "the platform answered: " +
           std::string(platform_errc_names[static_cast<std::size_t>(error)]);
}

/// State of one submission across its attempts.
struct submission
{
    const table_edit& edit;
    edit_result result;
    /// Expected table version of a write of unknown outcome. The write may
    /// still take effect, but only while the table has that version.
    std::optional<std::uint64_t> in_doubt_version;
    std::string last_error;
    /// Move to withdraw, or empty. The edit is accepted without a write if the
    /// move is already withdrawn.
    std::string withdrawn_move;
};

void
set_outcome(submission& s, edit_outcome outcome, std::string reason)
{
    s.result.outcome = outcome;
    s.result.reason = std::move(reason);
}

/// Ends the submission. The outcome is unknown if a write that was sent may
/// have taken effect or still do so.
void
give_up(submission& s, const std::string& reason)
{
    if (s.in_doubt_version)
    {
        set_outcome(s, edit_outcome::unknown,
            "sent, and the platform cannot confirm it (" + reason +
                "); ask again with edit id " + s.edit.id);
    }
    else
    {
        set_outcome(s, edit_outcome::not_accepted_platform,
            "nothing was written; " + reason);
    }
}

/// Returns whether to retry after `error`. An edit that may have been written
/// is looked up even while the platform is down.
bool
is_transient(const submission& s, platform_errc error)
{
    return s.in_doubt_version || error == platform_errc::rate_limited ||
           error == platform_errc::reply_lost ||
           error == platform_errc::bad_reply;
}

/// Reads the stored table; a missing one counts as empty with version 0.
/// Returns false if the attempt ends here.
bool
read_stored(platform_api& platform, submission& s, object& stored)
{
    auto read = platform.get(std::string(table_key));
    if (read)
    {
        stored = std::move(read.value());
        return true;
    }
    if (read.error() == platform_errc::not_found)
    {
        stored = {std::string(table_key), 0, json::object()};
        return true;
    }
    s.last_error = platform_reason(read.error());
    if (!is_transient(s, read.error()))
    {
        give_up(s, s.last_error);
    }
    return false;
}

void
reject_conflicts(submission& s, const json& stored, std::uint64_t version,
    std::vector<conflicting_row> conflicts)
{
    for (conflicting_row& c : conflicts)
    {
        c.value = row_value(stored, c.row);
    }
    s.result.version = version;
    s.result.conflicts = std::move(conflicts);
    set_outcome(s, edit_outcome::rejected_conflict,
        "rows of this edit were changed after table version " +
            std::to_string(s.edit.base_version));
}

/// Sets the outcome and returns true if the table holds a record with the
/// edit's id.
bool
resolve_by_record(submission& s, const table& current)
{
    const edit_record* record = find_record(current, s.edit.id);
    if (record == nullptr)
    {
        if (s.in_doubt_version && *s.in_doubt_version != current.version)
        {
            // The table changed without the edit, so the version check of the
            // write in doubt fails and it cannot take effect any more.
            s.in_doubt_version.reset();
        }
        return false;
    }
    s.result.version = current.version;
    if (record->fingerprint == fingerprint_of(s.edit))
    {
        set_outcome(s, edit_outcome::accepted, "");
    }
    else
    {
        s.result.found.push_back(
            {"edit/id", "already used for another edit by " + record->author});
        set_outcome(s, edit_outcome::rejected_invalid, "the edit id is in use");
    }
    return true;
}

/// Sets the outcome and returns true if the move to withdraw is already
/// withdrawn.
bool
resolve_by_move_state(submission& s, const table& current)
{
    const bool resolved =
        !s.withdrawn_move.empty() &&
        std::any_of(current.moves.begin(), current.moves.end(),
            [&](const move_row& m) {
                return m.name == s.withdrawn_move &&
                       m.state == move_state::withdrawn;
            });
    if (resolved)
    {
        s.result.version = current.version;
        set_outcome(s, edit_outcome::accepted, "");
    }
    return resolved;
}

void
write_edit(platform_api& platform, submission& s, const table& next)
{
    const auto written =
        platform.put(std::string(table_key), to_json(next), next.version);
    if (written)
    {
        s.result.version = written.value();
        set_outcome(s, edit_outcome::accepted, "");
        return;
    }
    s.last_error = platform_reason(written.error());
    switch (written.error())
    {
    case platform_errc::reply_lost:
    case platform_errc::bad_reply:
        s.in_doubt_version = next.version;
        break;
    case platform_errc::conflict:
    case platform_errc::rate_limited:
        break;
    case platform_errc::too_large:
        s.result.found.push_back({"table", "too large for the platform"});
        set_outcome(
            s, edit_outcome::rejected_invalid, "the table is too large");
        break;
    default:
        give_up(s, s.last_error);
        break;
    }
}

/// Makes one attempt. Leaves the outcome unset if another one is needed.
void
run_attempt(platform_api& platform, submission& s)
{
    object stored;
    if (!read_stored(platform, s, stored))
    {
        return;
    }
    findings ignored;
    const table current = parse_table(stored.value, stored.version, ignored);
    if (resolve_by_record(s, current) || resolve_by_move_state(s, current))
    {
        return;
    }
    std::vector<conflicting_row> conflicts = find_conflicts(current, s.edit);
    if (!conflicts.empty())
    {
        reject_conflicts(s, stored.value, stored.version, std::move(conflicts));
        return;
    }
    findings found;
    table next = apply_edit(stored.value, stored.version, s.edit, found);
    if (found.empty())
    {
        add_record(next, s.edit, stored.version);
        found = validate(next);
    }
    if (!found.empty())
    {
        s.result.version = stored.version;
        s.result.found = std::move(found);
        set_outcome(s, edit_outcome::rejected_invalid,
            "the resulting table is not valid");
        return;
    }
    write_edit(platform, s, next);
}

edit_result
run_submission(platform_api& platform, submission& s,
    const edit_retry_callback& before_retry)
{
    s.result.edit_id = s.edit.id;
    while (s.result.outcome == edit_outcome::count)
    {
        if (s.result.attempts == config::max_edit_attempts)
        {
            give_up(s, s.last_error + " after " +
                           std::to_string(s.result.attempts) + " attempts");
            break;
        }
        if (s.result.attempts > 0 && before_retry)
        {
            before_retry(s.result.attempts);
        }
        ++s.result.attempts;
        run_attempt(platform, s);
    }
    return std::move(s.result);
}

table_edit
move_state_edit(
    const table_edit& identity, const std::string& move, json fields)
{
    table_edit edit = identity;
    edit.base_version = 0;
    edit.changes = {{change_op::patch, "move/" + move, std::move(fields)}};
    return edit;
}

} // namespace

table
apply_edit(const nlohmann::json& stored, std::uint64_t version,
    const table_edit& edit, findings& found)
{
    check_edit(edit, found);
    json changed = stored.is_object() ? stored : json::object();
    for (const row_change& change : edit.changes)
    {
        apply_change(changed, change, found);
    }
    table next = parse_table(changed, version, found);
    findings ignored;
    check_move_changes(parse_table(stored, version, ignored), next, found);
    const findings more = validate(next);
    found.insert(found.end(), more.begin(), more.end());
    return next;
}

std::vector<conflicting_row>
find_conflicts(const table& current, const table_edit& edit)
{
    std::vector<conflicting_row> out;
    if (edit.base_version == 0 || edit.base_version == current.version)
    {
        return out;
    }
    const bool reaches_base =
        std::any_of(current.edits.begin(), current.edits.end(),
            [&](const edit_record& r)
            { return r.base_version == edit.base_version; });
    for (const row_change& change : edit.changes)
    {
        // Reports the newest change of the row.
        const auto record = std::find_if(current.edits.rbegin(),
            current.edits.rend(),
            [&](const edit_record& r)
            {
                return r.base_version >= edit.base_version &&
                       std::find(r.rows.begin(), r.rows.end(), change.row) !=
                           r.rows.end();
            });
        if (record != current.edits.rend())
        {
            out.push_back({change.row, record->id, record->author, nullptr});
        }
        else if (!reaches_base)
        {
            // The records do not reach back to the base version, so another
            // edit may have changed this row.
            out.push_back({change.row, "", "", nullptr});
        }
    }
    return out;
}

edit_result
submit_edit(platform_api& platform, const table_edit& edit,
    const edit_retry_callback& before_retry)
{
    submission s{edit, {}, {}, {}, {}};
    return run_submission(platform, s, before_retry);
}

edit_result
read_edit_outcome(platform_api& platform, const std::string& edit_id)
{
    edit_result result;
    result.edit_id = edit_id;
    result.attempts = 1;
    const auto read = platform.get(std::string(table_key));
    if (!read)
    {
        result.outcome = edit_outcome::unknown;
        result.reason = platform_reason(read.error());
        return result;
    }
    findings ignored;
    const table current =
        parse_table(read.value().value, read.value().version, ignored);
    result.version = current.version;
    if (find_record(current, edit_id) != nullptr)
    {
        result.outcome = edit_outcome::accepted;
        return result;
    }
    result.outcome = edit_outcome::unknown;
    result.reason = "not among the newest " +
                    std::to_string(config::max_edit_records) +
                    " edits of the table; submit it again with the same id "
                    "and base version to have it written once";
    return result;
}

edit_result
withdraw_move(platform_api& platform, const std::string& move,
    const std::string& cause, const table_edit& identity,
    const edit_retry_callback& before_retry)
{
    const table_edit edit = move_state_edit(identity, move,
        {{"state", "withdrawn"},
            {"cause", cause.substr(0, config::max_cause_bytes)}});
    submission s{edit, {}, {}, {}, move};
    return run_submission(platform, s, before_retry);
}

edit_result
finish_move(platform_api& platform, const std::string& move,
    const table_edit& identity, const edit_retry_callback& before_retry)
{
    return submit_edit(platform,
        move_state_edit(identity, move, {{"state", "done"}}), before_retry);
}

} // namespace bramleymux
