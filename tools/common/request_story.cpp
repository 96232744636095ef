#include "request_story.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace bramleymux::tools
{

using nlohmann::ordered_json;

namespace
{

/// Fields that are not printed below the heading of a line, because the heading
/// has them already or they do not describe the request.
constexpr std::array<std::string_view, 6> head_fields{
    "ts_ms", "event", "name", "level", "vm", "request"};

bool
is_head_field(const std::string& key)
{
    return std::find(head_fields.begin(), head_fields.end(), key) !=
           head_fields.end();
}

/// Returns the log lines of the request ordered by time.
std::vector<ordered_json>
read_request_lines(std::istream& log, const std::string& request_id)
{
    std::vector<ordered_json> out;
    std::string line;
    while (std::getline(log, line))
    {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos)
        {
            continue;
        }
        ordered_json value =
            ordered_json::parse(line.substr(begin), nullptr, false);
        if (value.is_object() && value.value("request", "") == request_id)
        {
            out.push_back(std::move(value));
        }
    }
    std::stable_sort(out.begin(), out.end(),
        [](const ordered_json& a, const ordered_json& b)
        {
            return a.value("ts_ms", std::int64_t{0}) <
                   b.value("ts_ms", std::int64_t{0});
        });
    return out;
}

} // namespace

std::size_t
print_request_story(
    std::istream& log, const std::string& request_id, std::ostream& out)
{
    const std::vector<ordered_json> lines = read_request_lines(log, request_id);
    const std::int64_t first_ms =
        lines.empty() ? 0 : lines.front().value("ts_ms", std::int64_t{0});
    for (const ordered_json& line : lines)
    {
        out << "+" << line.value("ts_ms", std::int64_t{0}) - first_ms << " ms "
            << line.value("vm", "") << " E" << line.value("event", 0) << " "
            << line.value("name", "") << "\n";
        for (const auto& [key, value] : line.items())
        {
            if (!is_head_field(key))
            {
                out << "    " << key << " = " << value.dump() << "\n";
            }
        }
    }
    return lines.size();
}

} // namespace bramleymux::tools
