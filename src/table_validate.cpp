#include "config.hpp"
#include "table.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

/// Validation of a table's rows against the limits and against each other.
namespace bramleymux
{

namespace
{

bool
is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool
is_ip(const std::string& host)
{
    in6_addr parsed_ip{};
    return inet_pton(AF_INET, host.c_str(), &parsed_ip) == 1 ||
           inet_pton(AF_INET6, host.c_str(), &parsed_ip) == 1;
}

/// Returns the key of a row that belongs to a service.
std::string
scoped_name(const std::string& service, const std::string& name)
{
    return service + ":" + name;
}

/// Names that rows may refer to, row keys seen so far, and the findings.
struct validation
{
    std::set<std::string> zones;
    std::set<std::string> services;
    std::set<std::string> searchers;
    std::set<std::string> versions;
    std::set<std::string> keys;
    findings found;
};

void
add_finding(validation& v, const std::string& place, const char* field,
    std::string message)
{
    v.found.push_back({place + "/" + field, std::move(message)});
}

void
check_name(validation& v, const std::string& place, const std::string& name)
{
    if (name.empty() || name.size() > config::max_name_bytes ||
        !std::all_of(name.begin(), name.end(), is_name_character))
    {
        add_finding(v, place, "name",
            "must have 1 to " + std::to_string(config::max_name_bytes) +
                " characters of a-z, A-Z, 0-9, '-', '_', '.'");
    }
}

/// Returns the place of a row. Reports a second row with the same key.
std::string
row_place(validation& v, row_kind kind, const std::string& key)
{
    std::string place =
        std::string(row_kind_names[static_cast<std::size_t>(kind)]) + "/" + key;
    if (!v.keys.insert(place).second)
    {
        v.found.push_back({place, "duplicate row"});
    }
    return place;
}

void
check_reference(validation& v, const std::string& place, const char* field,
    const std::set<std::string>& known, const std::string& key)
{
    if (known.count(key) == 0)
    {
        add_finding(v, place, field,
            "unknown " +
                std::string(field == std::string_view("from") ||
                                    field == std::string_view("to")
                                ? "version"
                                : field) +
                " \"" + key + "\"");
    }
}

/// Checks the name and the service of a row that belongs to a service. Returns
/// its place.
template <class Row>
std::string
check_service_row(validation& v, row_kind kind, const Row& row)
{
    std::string place = row_place(v, kind, scoped_name(row.service, row.name));
    check_name(v, place, row.name);
    check_reference(v, place, "service", v.services, row.service);
    return place;
}

void
check_not_negative(
    validation& v, const std::string& place, const char* field, double value)
{
    if (!std::isfinite(value) || value < 0.0)
    {
        add_finding(v, place, field, "must be a finite number of at least 0");
    }
}

void
check_share(
    validation& v, const std::string& place, const char* field, double value)
{
    if (!std::isfinite(value) || value < 0.0 || value > 1.0)
    {
        add_finding(v, place, field, "must be from 0 to 1");
    }
}

void
check_range(validation& v, const std::string& place, const char* field,
    std::uint32_t value, std::uint32_t low, std::uint32_t high)
{
    if (value < low || value > high)
    {
        add_finding(v, place, field,
            "must be from " + std::to_string(low) + " to " +
                std::to_string(high));
    }
}

void
check_count(validation& v, row_kind kind, std::size_t size, std::size_t limit)
{
    if (size > limit)
    {
        v.found.push_back(
            {array_name(kind), std::to_string(size) + " rows, at most " +
                                   std::to_string(limit) + " are allowed"});
    }
}

void
check_zones(validation& v, const table& t)
{
    check_count(v, row_kind::zone, t.zones.size(), config::max_zones);
    for (const zone_row& row : t.zones)
    {
        const std::string place = row_place(v, row_kind::zone, row.name);
        check_name(v, place, row.name);
        check_not_negative(v, place, "weight", row.weight);
    }
}

void
check_services(validation& v, const table& t)
{
    check_count(v, row_kind::service, t.services.size(), config::max_services);
    double floors = 0.0;
    for (const service_row& row : t.services)
    {
        const std::string place = row_place(v, row_kind::service, row.name);
        check_name(v, place, row.name);
        check_not_negative(v, place, "worth", row.worth);
        check_share(v, place, "floor_share", row.floor_share);
        check_share(v, place, "min_coverage", row.min_coverage);
        floors += row.floor_share;
    }
    // The margin allows for rounding: shares such as 0.1 have no exact binary
    // form.
    if (floors > 1.0 + 1e-9)
    {
        v.found.push_back(
            {"services", "the sum of floor_share must be at most 1"});
    }
}

void
check_routes(validation& v, const table& t)
{
    check_count(v, row_kind::route, t.routes.size(), config::max_routes);
    for (const route_row& row : t.routes)
    {
        const std::string place = check_service_row(v, row_kind::route, row);
        check_not_negative(v, place, "worth", row.worth);
    }
}

void
check_searchers(validation& v, const table& t)
{
    check_count(v, row_kind::searcher, t.searchers.size(), config::max_targets);
    for (const searcher_row& row : t.searchers)
    {
        const std::string place = check_service_row(v, row_kind::searcher, row);
        check_range(
            v, place, "slots", row.slots, 1, config::max_slots_per_target);
        check_range(v, place, "connections", row.connections, 1,
            config::max_connections_per_target);
        check_range(v, place, "cold_limit", row.cold_limit, 1,
            config::max_slots_per_target);
        check_range(v, place, "connect_cost_ms", row.connect_cost_ms, 0,
            config::max_connect_cost_ms);
        if (row.cold_limit > row.slots)
        {
            add_finding(v, place, "cold_limit", "must be at most slots");
        }
    }
}

void
check_versions(validation& v, const table& t)
{
    check_count(v, row_kind::version, t.versions.size(), config::max_versions);
    for (const version_row& row : t.versions)
    {
        const std::string place = check_service_row(v, row_kind::version, row);
        check_not_negative(v, place, "weight", row.weight);
        check_share(v, place, "max_share", row.max_share);
    }
}

void
check_targets(validation& v, const table& t)
{
    check_count(v, row_kind::target, t.targets.size(), config::max_targets);
    std::map<std::string, std::string> addresses;
    for (const target_row& row : t.targets)
    {
        const std::string place = row_place(v, row_kind::target, row.name);
        check_name(v, place, row.name);
        check_reference(v, place, "service", v.services, row.service);
        check_reference(v, place, "searcher", v.searchers,
            scoped_name(row.service, row.searcher));
        check_reference(v, place, "zone", v.zones, row.zone);
        check_reference(v, place, "version", v.versions,
            scoped_name(row.service, row.version));
        check_not_negative(v, place, "weight", row.weight);
        check_range(v, place, "limit", row.limit.value_or(0), 0,
            config::max_slots_per_target);
        std::string host;
        std::uint16_t port = 0;
        if (!split_address(row.address, host, port))
        {
            add_finding(v, place, "address",
                "must be IP:port, such as 10.0.0.1:8080 or [fd00::1]:8080");
            continue;
        }
        const auto first = addresses.emplace(row.address, row.name);
        if (!first.second)
        {
            add_finding(v, place, "address",
                "already used by target/" + first.first->second);
        }
    }
}

void
check_move(validation& v, const move_row& row)
{
    const std::string place = "move/" + row.name;
    check_name(v, place, row.name);
    check_reference(v, place, "service", v.services, row.service);
    if (row.from == row.to)
    {
        add_finding(v, place, "to", "must differ from \"from\"");
    }
    if (row.start_ms < 0)
    {
        add_finding(v, place, "start_ms", "must be at least 0");
    }
    if (row.deadline_ms <= row.start_ms)
    {
        add_finding(v, place, "deadline_ms", "must be after start_ms");
    }
    if (row.soak_ms < 0)
    {
        add_finding(v, place, "soak_ms", "must be at least 0");
    }
    if (row.cause.size() > config::max_cause_bytes)
    {
        add_finding(v, place, "cause",
            "must have at most " + std::to_string(config::max_cause_bytes) +
                " bytes");
    }
}

/// Checks the versions of an active move. Rows of withdrawn or done moves are
/// not checked, as they may outlive their versions' rows.
void
check_move_versions(validation& v, const table& t, const move_row& row)
{
    const std::string place = "move/" + row.name;
    check_reference(
        v, place, "from", v.versions, scoped_name(row.service, row.from));
    check_reference(
        v, place, "to", v.versions, scoped_name(row.service, row.to));
    std::vector<std::string> versions;
    for (const version_row& version : t.versions)
    {
        if (version.service == row.service)
        {
            versions.push_back(version.name);
        }
    }
    const std::string serving = serving_version(versions, t.moves, row.service);
    if (!serving.empty() && row.from != serving)
    {
        add_finding(v, place, "from",
            "must be the version that serves now, \"" + serving + "\"");
    }
}

void
check_moves(validation& v, const table& t)
{
    check_count(v, row_kind::move, t.moves.size(), config::max_moves);
    std::map<std::string, std::string> active;
    for (const move_row& row : t.moves)
    {
        row_place(v, row_kind::move, row.name);
        check_move(v, row);
        if (row.state != move_state::active)
        {
            continue;
        }
        check_move_versions(v, t, row);
        const auto first = active.emplace(row.service, row.name);
        if (!first.second)
        {
            add_finding(v, "move/" + row.name, "service",
                "already has the active move/" + first.first->second);
        }
    }
}

void
check_edits(validation& v, const table& t)
{
    if (t.edits.size() > config::max_edit_records)
    {
        v.found.push_back(
            {"edits", "at most " + std::to_string(config::max_edit_records) +
                          " records are allowed"});
    }
    std::set<std::string> ids;
    for (const edit_record& row : t.edits)
    {
        if (row.id.empty() || !ids.insert(row.id).second)
        {
            v.found.push_back(
                {"edit/" + row.id + "/id", "must be non-empty and unique"});
        }
    }
}

void
check_size(validation& v, const table& t)
{
    const std::size_t size =
        to_json(t)
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            .size();
    if (size > config::max_table_bytes)
    {
        v.found.push_back({"table",
            std::to_string(size) + " bytes, at most " +
                std::to_string(config::max_table_bytes) + " are allowed"});
    }
}

} // namespace

bool
split_address(
    const std::string& address, std::string& host, std::uint16_t& port)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    host = address.substr(0, colon);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    if (bracketed != (host.find(':') != std::string::npos) || !is_ip(host))
    {
        return false;
    }
    const char* const first = address.data() + colon + 1;
    const char* const last = address.data() + address.size();
    const auto parsed = std::from_chars(first, last, port);
    return parsed.ec == std::errc() && parsed.ptr == last && port != 0;
}

findings
validate(const table& value)
{
    validation v;
    for (const zone_row& row : value.zones)
    {
        v.zones.insert(row.name);
    }
    for (const service_row& row : value.services)
    {
        v.services.insert(row.name);
    }
    for (const searcher_row& row : value.searchers)
    {
        v.searchers.insert(scoped_name(row.service, row.name));
    }
    for (const version_row& row : value.versions)
    {
        v.versions.insert(scoped_name(row.service, row.name));
    }
    check_zones(v, value);
    check_services(v, value);
    check_routes(v, value);
    check_searchers(v, value);
    check_versions(v, value);
    check_targets(v, value);
    check_moves(v, value);
    check_edits(v, value);
    check_size(v, value);
    return std::move(v.found);
}

} // namespace bramleymux
