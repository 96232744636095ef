#include "caller_request.hpp"

#include "config.hpp"

#include <cmath>
#include <cstdlib>

namespace bramleymux
{

namespace
{

constexpr std::size_t max_idempotency_key_bytes = 255;
constexpr int max_json_depth = 64;

bool
parse_number(const std::string& text, double& out)
{
    if (text.empty())
    {
        return false;
    }
    char* end = nullptr;
    out = std::strtod(text.c_str(), &end);
    return *end == '\0' && std::isfinite(out);
}

/// Reads an optional header with a number from 0 to 1.
void
read_share(const server_request& request, const std::string& header,
    std::optional<double>& out, findings& found)
{
    const std::string& text = header_value(request, header);
    if (text.empty())
    {
        return;
    }
    double value = 0;
    if (!parse_number(text, value) || value < 0 || value > 1)
    {
        found.push_back({"header " + header, "must be a number from 0 to 1"});
        return;
    }
    out = value;
}

void
read_deadline(const server_request& request, monotonic_time now,
    duration default_deadline, caller_request& out, findings& found)
{
    out.deadline = now + default_deadline;
    const std::string& text = header_value(request, "x-deadline-ms");
    if (text.empty())
    {
        return;
    }
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
        config::max_deadline)
                           .count();
    double value = 0;
    if (!parse_number(text, value) || value < 1 ||
        value > static_cast<double>(limit))
    {
        found.push_back({"header x-deadline-ms",
            "must be a number of milliseconds from 1 to " +
                std::to_string(limit)});
        return;
    }
    out.deadline = now + std::chrono::microseconds(
                             static_cast<std::int64_t>(value * 1000));
}

/// Parses with a limit on nesting, since a deeply nested body would exhaust the
/// stack when it is serialised again. Returns a discarded value on failure.
nlohmann::json
parse_body(const std::string& body)
{
    using nlohmann::json;
    bool too_deep = false;
    const auto check_depth = [&](int depth, json::parse_event_t, json&)
    {
        too_deep = too_deep || depth > max_json_depth;
        return !too_deep;
    };
    json value = json::parse(body, check_depth, false);
    return too_deep ? json(json::value_t::discarded) : value;
}

} // namespace

bool
parse_query_path(
    const std::string& path, std::string& service, std::string& route)
{
    static const std::string prefix = "/v1/services/";
    static const std::string middle = "/routes/";
    if (path.compare(0, prefix.size(), prefix) != 0)
    {
        return false;
    }
    const std::size_t split = path.find(middle, prefix.size());
    if (split == std::string::npos)
    {
        return false;
    }
    service = path.substr(prefix.size(), split - prefix.size());
    route = path.substr(split + middle.size());
    return !service.empty() && !route.empty() &&
           service.find('/') == std::string::npos &&
           route.find('/') == std::string::npos;
}

caller_request
parse_caller_request(const server_request& request, monotonic_time now,
    duration default_deadline, findings& found)
{
    caller_request out;
    out.received = now;
    read_deadline(request, now, default_deadline, out, found);
    read_share(request, "x-min-coverage", out.min_coverage, found);
    std::optional<double> worth;
    read_share(request, "x-worth", worth, found);
    out.worth = worth.value_or(1.0);
    const std::string& wait = header_value(request, "x-wait-for-coverage");
    if (!wait.empty() && wait != "true" && wait != "false")
    {
        found.push_back(
            {"header x-wait-for-coverage", "must be true or false"});
    }
    out.wait_for_coverage = wait == "true";
    out.idempotency_key = header_value(request, "idempotency-key");
    if (out.idempotency_key.size() > max_idempotency_key_bytes)
    {
        found.push_back({"header idempotency-key",
            "must have at most " + std::to_string(max_idempotency_key_bytes) +
                " characters"});
    }
    out.query = parse_body(request.body);
    if (out.query.is_discarded() || !out.query.is_object())
    {
        found.push_back(
            {"body", "must be a JSON object, nested at most " +
                         std::to_string(max_json_depth) + " levels deep"});
    }
    return out;
}

} // namespace bramleymux
