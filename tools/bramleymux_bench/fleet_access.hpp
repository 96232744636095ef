#pragma once

#include "bramleymux_bench/shape.hpp"
#include "http_client.hpp"

/// Calls to the control addresses of the simulated targets and platform and to
/// the admin addresses of the daemons.
namespace bramleymux::tools
{

/// Sends one request on a new connection and returns the parsed reply body, or
/// a discarded value if that is not JSON. Throws std::runtime_error unless a
/// reply with a status below 300 arrives within 10 s.
nlohmann::json
call_json(const std::string& address, const std::string& method,
    const std::string& path, const nlohmann::json& body = nullptr);

/// Returns the status of GET `path`, or 0 if no reply arrives within `timeout`.
int
get_status(
    const std::string& address, const std::string& path, duration timeout);

/// Sends a command to the simulated targets: faults, an action such as stop or
/// cold, or the snapshots of a service.
void
control_targets(const nlohmann::json& command);

/// Returns the statistics of each simulated target by its name.
nlohmann::json
read_targets();

/// Returns the statistics of the simulated platform.
nlohmann::json
read_platform();

/// Returns the counters of one daemon by name, from /v1/status.
nlohmann::json
read_counters(const bench_vm& vm);

/// Patches one row of the table through a daemon's admin address. Returns the
/// new table version. `id` must be unique among edits.
std::uint64_t
edit_row(const bench_vm& vm, const std::string& id, const std::string& row,
    const nlohmann::json& value);

/// Returns the version of the table that is in force on a daemon.
std::uint64_t
table_version_of(const bench_vm& vm);

/// Returns the wall-clock time since the Unix epoch.
std::int64_t
unix_milliseconds();

} // namespace bramleymux::tools
