#pragma once

#include "bramleymux_bench/shape.hpp"
#include "http_client.hpp"

/// Calls to the control and admin addresses of a running fleet.
namespace bramleymux::tools
{

/// One exchange on a connection of its own. Throws std::runtime_error when
/// there is no reply with a status below 300 within 10 s.
nlohmann::json
call_json(const std::string& address, const std::string& method,
    const std::string& path, const nlohmann::json& body = nullptr);

/// Status of GET `path`, or 0 without a reply within `patience`.
int
get_status(
    const std::string& address, const std::string& path, duration patience);

/// Scripts the simulated targets.
void
script_targets(const nlohmann::json& command);

/// Statistics of the simulated targets by name.
nlohmann::json
read_targets();

/// Statistics of the simulated platform.
nlohmann::json
read_platform();

/// Counters of one daemon by name, from /v1/status.
nlohmann::json
read_counters(const bench_vm& vm);

/// Patches one row of the table through a daemon's admin address; returns the
/// table's new version.
std::uint64_t
edit_row(const bench_vm& vm, const std::string& id, const std::string& row,
    const nlohmann::json& value);

/// Version of the table that a daemon has in force.
std::uint64_t
table_version_of(const bench_vm& vm);

std::int64_t
unix_milliseconds();

} // namespace bramleymux::tools
