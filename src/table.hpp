#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The operators' table: rows, checks, edits. Stored in the platform as one
/// JSON object `config/table`; its version is the object's version.
namespace bramleymux
{

inline constexpr std::string_view table_key = "config/table";

enum class row_kind
{
    zone,
    service,
    route,
    searcher,
    version,
    target,
    move,
    count
};

inline constexpr name_table<row_kind> row_kind_names{
    "zone", "service", "route", "searcher", "version", "target", "move"};

struct zone_row
{
    std::string name;
    std::string region;
    double weight = 1.0;
    bool out = false; ///< taken out by an operator: no new work
};

struct service_row
{
    std::string name;
    double worth = 1.0;       ///< relative worth of one request
    double floor_share = 0.0; ///< share of admission kept under overload, 0..1
    double min_coverage = 0.0;
};

struct route_row
{
    std::string service;
    std::string name;
    double worth = 1.0; ///< multiplies the service's worth
    bool idempotent = true;
};

/// Defaults of the targets of one searcher.
struct searcher_row
{
    std::string service;
    std::string name;
    std::uint32_t slots = 3;
    std::uint32_t connections = 30;
    std::uint32_t cold_limit = 1;
    std::uint32_t connect_cost_ms = 1;
};

/// Software version of a service's targets.
struct version_row
{
    std::string service;
    std::string name;
    double weight = 1.0;
    double max_share = 1.0; ///< upper bound of traffic, 0..1
};

struct target_row
{
    std::string name;
    std::string service;
    std::string searcher;
    std::string zone;
    std::string version;
    std::string address; ///< IP:port
    double weight = 1.0;
    std::optional<std::uint32_t> limit; ///< overrides the searcher's slots
    bool draining = false;
};

enum class move_state
{
    active,
    withdrawn,
    done,
    count
};

inline constexpr name_table<move_state> move_state_names{
    "active", "withdrawn", "done"};

struct move_row
{
    std::string name;
    std::string service;
    std::string from;
    std::string to;
    std::int64_t start_ms = 0;    ///< Unix time
    std::int64_t deadline_ms = 0; ///< Unix time
    std::int64_t soak_ms = 60'000;
    move_state state = move_state::active;
    std::string cause; ///< why it was withdrawn
};

/// Record of an accepted edit, kept so that a lost reply can be resolved.
struct edit_record
{
    std::string id;
    std::string author;
    std::int64_t at_ms = 0;
    std::uint64_t base_version = 0; ///< table version that it replaced
    std::string fingerprint;        ///< hash of its changes
    std::vector<std::string> rows;  ///< "kind/key" of the rows it changed
};

struct table
{
    std::uint64_t version = 0; ///< platform object version; 0 = none
    std::vector<zone_row> zones;
    std::vector<service_row> services;
    std::vector<route_row> routes;
    std::vector<searcher_row> searchers;
    std::vector<version_row> versions;
    std::vector<target_row> targets;
    std::vector<move_row> moves;
    std::vector<edit_record> edits; ///< the newest `max_edit_records`
};

/// Parses the stored form. Shape errors are appended to `found`.
table
parse_table(
    const nlohmann::json& value, std::uint64_t version, findings& found);

nlohmann::json
to_json(const table& value);

/// Checks every row against the rest; all findings with their place.
findings
validate(const table& value);

/// Key of a row: "kind/name", with "service:name" for rows below a service.
std::string
row_key(row_kind kind, const nlohmann::json& row);

/// Version that serves outside an active move: the first one named, then
/// followed through the done moves in row order. Empty without versions.
std::string
serving_version(const std::vector<std::string>& versions,
    const std::vector<move_row>& moves, const std::string& service);

/// Name of the array that holds the rows of a kind, for example "zones".
std::string
array_name(row_kind kind);

/// Splits "IP:port" (IPv4, or IPv6 in brackets); false when it is malformed.
bool
split_address(
    const std::string& address, std::string& host, std::uint16_t& port);

} // namespace bramleymux
