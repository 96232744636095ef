#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

/// Reads JSON that other programs wrote. The text of an object or array is
/// split without being parsed, so that one element that cannot be read leaves
/// the others readable. Nothing here recurses.
namespace bramleymux
{

/// Member of an object. Both parts are views of the text that was split.
struct json_member
{
    std::string_view name; ///< without quotes, escapes as they stand
    std::string_view value;
};

/// Returns the values of an array, or nullopt if the text is not one value
/// enclosed in brackets that close.
std::optional<std::vector<std::string_view>>
split_array(std::string_view text);

/// Returns the members of an object, or nullopt if the text is not one value
/// enclosed in braces that close.
std::optional<std::vector<json_member>>
split_object(std::string_view text);

/// Returns the value of the last member with that name; empty if there is none.
std::string_view
member_text(const std::vector<json_member>& members, std::string_view name);

/// Returns whether the text is one JSON value that can be parsed: valid
/// Unicode, numbers in range, nested no deeper than `config::max_json_depth`.
bool
is_readable_json(std::string_view text);

/// Returns the value, discarded if the text is not readable. Bounding the depth
/// matters because copying and serializing a value recurse.
nlohmann::json
parse_readable_json(std::string_view text);

} // namespace bramleymux
