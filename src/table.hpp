#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The operators' table: its rows, their JSON form and their validation. The
/// platform stores it as one JSON object, `config/table`; the table's version
/// is the object's version.
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
    bool out = false; ///< taken out by an operator; receives no new work
};

struct service_row
{
    std::string name;
    double worth = 1.0;       ///< relative worth of one request
    double floor_share = 0.0; ///< share of admission guaranteed under overload,
                              ///< 0..1
    double min_coverage = 0.0; ///< default for its requests, 0..1
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
    std::uint32_t slots = 3; ///< limit of concurrent requests
    std::uint32_t connections = 30;
    std::uint32_t cold_limit = 1; ///< initial limit of a cold start
    std::uint32_t connect_cost_ms = 1;
};

/// A software version of a service's targets.
struct version_row
{
    std::string service;
    std::string name;
    double weight = 1.0;
    double max_share = 1.0; ///< upper bound of its share of traffic, 0..1
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
    std::string cause; ///< reason for the withdrawal
};

/// Record of an accepted edit. Tells an author whose reply was lost whether the
/// edit took effect, and shows which rows changed after a version.
struct edit_record
{
    std::string id;
    std::string author;
    std::int64_t at_ms = 0;         ///< Unix time
    std::uint64_t base_version = 0; ///< table version that it replaced
    std::string fingerprint;        ///< hash of its changes
    std::vector<std::string> rows;  ///< "kind/key" of the rows it changed
};

struct table
{
    std::uint64_t version = 0; ///< platform object version; 0 if not stored
    std::vector<zone_row> zones;
    std::vector<service_row> services;
    std::vector<route_row> routes;
    std::vector<searcher_row> searchers;
    std::vector<version_row> versions;
    std::vector<target_row> targets;
    std::vector<move_row> moves;
    std::vector<edit_record> edits; ///< newest last, at most
                                    ///< `config::max_edit_records`
};

/// Parses the stored form. Appends a finding to `found` for each field that is
/// missing, unknown or of the wrong type.
table
parse_table(
    const nlohmann::json& value, std::uint64_t version, findings& found);

nlohmann::json
to_json(const table& value);

/// Checks every row against the limits and the other rows. Returns all
/// findings, each with its place.
findings
validate(const table& value);

/// Returns the key of a row: "kind/name", or "kind/service:name" for routes,
/// searchers and versions.
std::string
row_key(row_kind kind, const nlohmann::json& row);

/// Returns the version that serves `service` outside an active move: the first
/// of `versions`, replaced by the destination of each done move that starts
/// from it, in row order. Returns an empty string if there are no versions.
std::string
serving_version(const std::vector<std::string>& versions,
    const std::vector<move_row>& moves, const std::string& service);

/// Returns the name of the array that holds the rows of a kind, for example
/// "zones".
std::string
array_name(row_kind kind);

/// Splits "IP:port" (IPv4, or IPv6 in brackets). Returns false if the address
/// is malformed or the port is 0.
bool
split_address(
    const std::string& address, std::string& host, std::uint16_t& port);

} // namespace bramleymux
