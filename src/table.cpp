#include "table.hpp"

#include "table_fields.hpp"

#include <algorithm>
#include <set>

namespace bramleymux
{

namespace
{

using nlohmann::json;

bool
read_value(const json& value, std::string& out)
{
    return value.is_string() ? (value.get_to(out), true) : false;
}

bool
read_value(const json& value, bool& out)
{
    return value.is_boolean() ? (value.get_to(out), true) : false;
}

bool
read_value(const json& value, double& out)
{
    return value.is_number() ? (value.get_to(out), true) : false;
}

bool
read_value(const json& value, std::int64_t& out)
{
    const bool fits = value.is_number_integer() &&
                      (!value.is_number_unsigned() ||
                          value.get<std::uint64_t>() <=
                              static_cast<std::uint64_t>(
                                  std::numeric_limits<std::int64_t>::max()));
    return fits ? (value.get_to(out), true) : false;
}

bool
read_value(const json& value, std::uint64_t& out)
{
    return value.is_number_unsigned() ? (value.get_to(out), true) : false;
}

bool
read_value(const json& value, std::uint32_t& out)
{
    std::int64_t wide_value = 0;
    if (!read_value(value, wide_value) || wide_value < 0 ||
        wide_value > std::numeric_limits<std::uint32_t>::max())
    {
        return false;
    }
    out = static_cast<std::uint32_t>(wide_value);
    return true;
}

bool
read_value(const json& value, std::optional<std::uint32_t>& out)
{
    if (value.is_null())
    {
        out.reset();
        return true;
    }
    std::uint32_t number = 0;
    if (!read_value(value, number))
    {
        return false;
    }
    out = number;
    return true;
}

bool
read_value(const json& value, move_state& out)
{
    if (!value.is_string())
    {
        return false;
    }
    out = from_name<move_state>(
        move_state_names, value.get_ref<const std::string&>());
    return out != move_state::count;
}

bool
read_value(const json& value, std::vector<std::string>& out)
{
    if (!value.is_array())
    {
        return false;
    }
    for (const json& item : value)
    {
        std::string text;
        if (!read_value(item, text))
        {
            return false;
        }
        out.push_back(std::move(text));
    }
    return true;
}

// Text of the finding for a value of the wrong type, by the field's type.

const char*
expected_type_text(const std::string&)
{
    return "must be a string";
}

const char*
expected_type_text(bool)
{
    return "must be true or false";
}

const char*
expected_type_text(double)
{
    return "must be a number";
}

const char*
expected_type_text(std::int64_t)
{
    return "must be a 64-bit integer";
}

const char*
expected_type_text(std::uint64_t)
{
    return "must be an integer of at least 0";
}

const char*
expected_type_text(const std::optional<std::uint32_t>&)
{
    return "must be an integer from 0 to 4294967295, or null";
}

const char*
expected_type_text(std::uint32_t)
{
    return "must be an integer from 0 to 4294967295";
}

const char*
expected_type_text(move_state)
{
    return "must be \"active\", \"withdrawn\" or \"done\"";
}

const char*
expected_type_text(const std::vector<std::string>&)
{
    return "must be an array of strings";
}

template <class Value>
void
write_value(json& row, std::string_view name, const Value& value)
{
    row[std::string(name)] = value;
}

void
write_value(
    json& row, std::string_view name, const std::optional<std::uint32_t>& value)
{
    if (value)
    {
        row[std::string(name)] = *value;
    }
}

void
write_value(json& row, std::string_view name, const std::string& value)
{
    // Optional strings (region, cause) are omitted when empty; a missing one is
    // parsed as empty.
    if (!value.empty())
    {
        row[std::string(name)] = value;
    }
}

void
write_value(json& row, std::string_view name, move_state value)
{
    row[std::string(name)] = move_state_names[static_cast<std::size_t>(value)];
}

template <class Row>
json
row_json(const Row& row)
{
    json out = json::object();
    for_each_field<Row>([&](const auto& field)
        { write_value(out, field.name, row.*field.member); });
    return out;
}

template <class Row>
void
report_unknown_fields(
    const json& value, const std::string& place, findings& found)
{
    for (const auto& item : value.items())
    {
        bool known = false;
        for_each_field<Row>([&](const auto& field)
            { known = known || field.name == item.key(); });
        if (!known)
        {
            found.push_back({place + "/" + item.key(), "unknown field"});
        }
    }
}

template <class Row>
Row
parse_row(const json& value, const std::string& place, findings& found)
{
    Row row;
    for_each_field<Row>(
        [&](const auto& field)
        {
            const auto at = value.find(std::string(field.name));
            const std::string where = place + "/" + std::string(field.name);
            if (at == value.end())
            {
                if (field.required)
                {
                    found.push_back({where, "missing"});
                }
            }
            else if (!read_value(*at, row.*field.member))
            {
                found.push_back({where, expected_type_text(row.*field.member)});
            }
        });
    report_unknown_fields<Row>(value, place, found);
    return row;
}

/// Returns the place of a row for findings: its key, or its kind and index
/// (from 0), such as "target/#3", if it has no usable name.
std::string
row_place(row_kind kind, const json& value, std::size_t index)
{
    const std::string key = row_key(kind, value);
    return key.back() == '/' || key.back() == ':'
               ? std::string(row_kind_names[static_cast<std::size_t>(kind)]) +
                     "/#" + std::to_string(index)
               : key;
}

/// Returns the array `name` of the table, or null if it is absent. A value of
/// another type also yields null and adds a finding.
const json*
find_array(const json& value, const std::string& name, findings& found)
{
    const auto at = value.find(name);
    if (at == value.end())
    {
        return nullptr;
    }
    if (!at->is_array())
    {
        found.push_back({name, "must be an array"});
        return nullptr;
    }
    return &*at;
}

template <class Row, class Place>
void
parse_array(const json& value, const std::string& name, std::vector<Row>& rows,
    findings& found, Place&& place)
{
    const json* array = find_array(value, name, found);
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i)
    {
        const json& item = (*array)[i];
        if (item.is_object())
        {
            rows.push_back(parse_row<Row>(item, place(item, i), found));
        }
        else
        {
            found.push_back(
                {name + "/#" + std::to_string(i), "must be an object"});
        }
    }
}

std::string
text_field(const json& row, const char* name)
{
    const auto at = row.find(name);
    return at != row.end() && at->is_string() ? at->get<std::string>() : "";
}

} // namespace

std::string
serving_version(const std::vector<std::string>& versions,
    const std::vector<move_row>& moves, const std::string& service)
{
    std::string serving = versions.empty() ? "" : versions.front();
    for (const move_row& move : moves)
    {
        if (move.state == move_state::done && move.service == service &&
            move.from == serving &&
            std::find(versions.begin(), versions.end(), move.to) !=
                versions.end())
        {
            serving = move.to;
        }
    }
    return serving;
}

std::string
array_name(row_kind kind)
{
    return std::string(row_kind_names[static_cast<std::size_t>(kind)]) + "s";
}

std::string
row_key(row_kind kind, const nlohmann::json& row)
{
    std::string key(row_kind_names[static_cast<std::size_t>(kind)]);
    key += "/";
    if (kind == row_kind::route || kind == row_kind::searcher ||
        kind == row_kind::version)
    {
        key += text_field(row, "service") + ":";
    }
    return key + text_field(row, "name");
}

table
parse_table(const nlohmann::json& value, std::uint64_t version, findings& found)
{
    table out;
    out.version = version;
    if (!value.is_object())
    {
        found.push_back({"table", "must be an object"});
        return out;
    }
    std::set<std::string> known{"edits"};
    for_each_kind(out,
        [&](row_kind kind, auto& rows)
        {
            known.insert(array_name(kind));
            parse_array(value, array_name(kind), rows, found,
                [kind](const json& item, std::size_t i)
                { return row_place(kind, item, i); });
        });
    parse_array(value, "edits", out.edits, found,
        [](const json&, std::size_t i)
        { return "edit/#" + std::to_string(i); });
    for (const auto& item : value.items())
    {
        if (known.count(item.key()) == 0)
        {
            found.push_back({item.key(), "unknown field"});
        }
    }
    return out;
}

nlohmann::json
to_json(const table& value)
{
    json out = json::object();
    for_each_kind(value,
        [&](row_kind kind, const auto& rows)
        {
            json array = json::array();
            for (const auto& row : rows)
            {
                array.push_back(row_json(row));
            }
            out[array_name(kind)] = std::move(array);
        });
    json edits = json::array();
    for (const edit_record& row : value.edits)
    {
        edits.push_back(row_json(row));
    }
    out["edits"] = std::move(edits);
    return out;
}

} // namespace bramleymux
