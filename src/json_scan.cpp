#include "json_scan.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr std::string_view white_space = " \t\r\n";

std::string_view
trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// Returns the position after the string that starts at `at`, or npos if it
/// does not end.
std::size_t
end_of_string(std::string_view text, std::size_t at)
{
    for (std::size_t i = at + 1; i < text.size(); ++i)
    {
        if (text[i] == '\\')
        {
            ++i;
        }
        else if (text[i] == '"')
        {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

/// Returns the largest nesting depth outside strings.
std::size_t
depth_of(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t largest = 0;
    for (std::size_t i = 0; i < text.size();)
    {
        const char c = text[i];
        if (c == '"')
        {
            i = std::min(end_of_string(text, i), text.size());
            continue;
        }
        if (c == '[' || c == '{')
        {
            largest = std::max(largest, ++depth);
        }
        else if ((c == ']' || c == '}') && depth > 0)
        {
            --depth;
        }
        ++i;
    }
    return largest;
}

/// Splits the content of an array or object at its commas. Returns nullopt if
/// the text is not enclosed in `open` and `close`, or if a string or bracket
/// inside does not end.
std::optional<std::vector<std::string_view>>
split_enclosed(std::string_view text, char open, char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close)
    {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> out;
    std::size_t depth = 0;
    std::size_t start = 0;
    for (std::size_t i = 0; i < text.size();)
    {
        const char c = text[i];
        if (c == '"')
        {
            i = end_of_string(text, i);
            if (i == std::string_view::npos)
            {
                return std::nullopt;
            }
            continue;
        }
        if (c == '[' || c == '{')
        {
            ++depth;
        }
        else if (c == ']' || c == '}')
        {
            if (depth == 0)
            {
                return std::nullopt;
            }
            --depth;
        }
        else if (c == ',' && depth == 0)
        {
            out.push_back(trimmed(text.substr(start, i - start)));
            start = i + 1;
        }
        ++i;
    }
    if (depth != 0)
    {
        return std::nullopt;
    }
    const std::string_view last = trimmed(text.substr(start));
    if (!last.empty() || !out.empty())
    {
        out.push_back(last);
    }
    return out;
}

} // namespace

std::optional<std::vector<std::string_view>>
split_array(std::string_view text)
{
    return split_enclosed(text, '[', ']');
}

std::optional<std::vector<json_member>>
split_object(std::string_view text)
{
    const auto parts = split_enclosed(text, '{', '}');
    if (!parts)
    {
        return std::nullopt;
    }
    std::vector<json_member> out;
    for (const std::string_view part : *parts)
    {
        const std::size_t end = part.empty() || part.front() != '"'
                                    ? std::string_view::npos
                                    : end_of_string(part, 0);
        if (end == std::string_view::npos)
        {
            continue;
        }
        const std::string_view rest = trimmed(part.substr(end));
        if (!rest.empty() && rest.front() == ':')
        {
            out.push_back({part.substr(1, end - 2), trimmed(rest.substr(1))});
        }
    }
    return out;
}

std::string_view
member_text(const std::vector<json_member>& members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(),
        [&](const json_member& m) { return m.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

bool
is_readable_json(std::string_view text)
{
    return depth_of(text) <= config::max_json_depth && json::accept(text);
}

json
parse_readable_json(std::string_view text)
{
    return depth_of(text) <= config::max_json_depth
               ? json::parse(text, nullptr, false)
               : json(json::value_t::discarded);
}

} // namespace bramleymux
