#include "config.hpp"
#include "table_edit.hpp"

#include <map>
#include <set>

/// JSON forms of edits and their results, and differences between tables.
namespace bramleymux
{

namespace
{

using nlohmann::json;

const json*
find_member(const json& value, const char* name)
{
    const auto at = value.find(name);
    return at == value.end() ? nullptr : &*at;
}

std::string
read_text(const json& value, const char* name, const std::string& place,
    bool is_required, findings& found)
{
    const json* member = find_member(value, name);
    if (member != nullptr && member->is_string())
    {
        return member->get<std::string>();
    }
    if (member != nullptr || is_required)
    {
        found.push_back({place + "/" + name, "must be a string"});
    }
    return {};
}

void
report_unknown_fields(const json& value, const std::set<std::string>& known,
    const std::string& place, findings& found)
{
    for (const auto& item : value.items())
    {
        if (known.count(item.key()) == 0)
        {
            found.push_back({place + "/" + item.key(), "unknown field"});
        }
    }
}

row_change
parse_change(const json& value, const std::string& place, findings& found)
{
    row_change change;
    if (!value.is_object())
    {
        found.push_back({place, "must be an object"});
        return change;
    }
    report_unknown_fields(value, {"op", "row", "kind", "value"}, place, found);
    change.op = from_name<change_op>(
        change_op_names, read_text(value, "op", place, true, found));
    if (change.op == change_op::count)
    {
        found.push_back(
            {place + "/op", "must be \"set\", \"patch\" or \"remove\""});
    }
    const json* content = find_member(value, "value");
    const bool has_content = content != nullptr && content->is_object();
    if (change.op != change_op::remove && !has_content)
    {
        found.push_back({place + "/value", "must be an object"});
    }
    if (has_content)
    {
        change.value = *content;
    }
    change.row = read_text(value, "row", place, false, found);
    const row_kind kind = from_name<row_kind>(
        row_kind_names, read_text(value, "kind", place, false, found));
    if (change.row.empty() && kind != row_kind::count && has_content)
    {
        change.row = row_key(kind, change.value);
    }
    if (change.row.empty())
    {
        found.push_back({place + "/row", "must be kind/key"});
    }
    return change;
}

std::map<std::string, json>
rows_by_key(const json& value, row_kind kind)
{
    std::map<std::string, json> out;
    for (const json& row : value.at(array_name(kind)))
    {
        out.emplace(row_key(kind, row), row);
    }
    return out;
}

void
diff_row(const std::string& key, const json& before, const json& after,
    std::vector<field_change>& out)
{
    std::set<std::string> names;
    for (const json* row : {&before, &after})
    {
        for (const auto& item : row->items())
        {
            names.insert(item.key());
        }
    }
    for (const std::string& name : names)
    {
        const json old_value = before.value(name, json(nullptr));
        const json new_value = after.value(name, json(nullptr));
        if (old_value != new_value)
        {
            out.push_back({key, name, old_value, new_value});
        }
    }
}

} // namespace

table_edit
parse_edit(const nlohmann::json& value, findings& found)
{
    table_edit edit;
    if (!value.is_object())
    {
        found.push_back({"edit", "must be an object"});
        return edit;
    }
    report_unknown_fields(value,
        {"id", "author", "base_version", "at_ms", "changes"}, "edit", found);
    edit.id = read_text(value, "id", "edit", true, found);
    edit.author = read_text(value, "author", "edit", false, found);
    const json* base = find_member(value, "base_version");
    if (base != nullptr && base->is_number_unsigned())
    {
        edit.base_version = base->get<std::uint64_t>();
    }
    else if (base != nullptr)
    {
        found.push_back(
            {"edit/base_version", "must be an integer of at least 0"});
    }
    const json* at = find_member(value, "at_ms");
    if (at != nullptr && at->is_number_integer())
    {
        edit.at_ms = at->get<std::int64_t>();
    }
    const json* changes = find_member(value, "changes");
    if (changes == nullptr || !changes->is_array())
    {
        found.push_back({"edit/changes", "must be an array"});
        return edit;
    }
    for (std::size_t i = 0; i < changes->size(); ++i)
    {
        edit.changes.push_back(parse_change(
            (*changes)[i], "edit/changes/#" + std::to_string(i), found));
    }
    return edit;
}

int
http_status_of(edit_outcome outcome)
{
    switch (outcome)
    {
    case edit_outcome::accepted:
        return 200;
    case edit_outcome::rejected_invalid:
        return 400;
    case edit_outcome::rejected_conflict:
        return 409;
    case edit_outcome::unknown:
        return 504;
    default:
        return 503;
    }
}

nlohmann::json
to_json(const edit_result& result)
{
    json found = json::array();
    for (const finding& f : result.found)
    {
        found.push_back({{"place", f.place}, {"message", f.message}});
    }
    json conflicts = json::array();
    for (const conflicting_row& c : result.conflicts)
    {
        conflicts.push_back({{"row", c.row}, {"edit_id", c.edit_id},
            {"author", c.author}, {"value", c.value}});
    }
    return {{"outcome",
                edit_outcome_names[static_cast<std::size_t>(result.outcome)]},
        {"edit_id", result.edit_id}, {"version", result.version},
        {"reason", result.reason}, {"attempts", result.attempts},
        {"findings", std::move(found)}, {"conflicts", std::move(conflicts)}};
}

std::vector<field_change>
diff(const table& before, const table& after)
{
    std::vector<field_change> out;
    const json old_table = to_json(before);
    const json new_table = to_json(after);
    for (std::size_t k = 0; k < row_kind_names.size(); ++k)
    {
        const auto kind = static_cast<row_kind>(k);
        const auto old_rows = rows_by_key(old_table, kind);
        auto new_rows = rows_by_key(new_table, kind);
        for (const auto& [key, row] : old_rows)
        {
            const auto after_row = new_rows.find(key);
            if (after_row == new_rows.end())
            {
                out.push_back({key, "", row, nullptr});
                continue;
            }
            diff_row(key, row, after_row->second, out);
            new_rows.erase(after_row);
        }
        for (const auto& [key, row] : new_rows)
        {
            out.push_back({key, "", nullptr, row});
        }
    }
    return out;
}

} // namespace bramleymux
