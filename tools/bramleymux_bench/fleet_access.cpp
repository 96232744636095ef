#include "bramleymux_bench/fleet_access.hpp"

#include <stdexcept>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

constexpr auto call_timeout = std::chrono::seconds(10);

http_result<http_response>
exchange_once(
    const std::string& address, const http_request& request, duration timeout)
{
    const auto deadline = monotonic_clock::now() + timeout;
    auto connection =
        http_connection::open(*parse_http_address(address), deadline);
    if (!connection)
    {
        return connection.error();
    }
    return connection.value().exchange(request, deadline);
}

} // namespace

json
call_json(const std::string& address, const std::string& method,
    const std::string& path, const json& body)
{
    http_request request;
    request.method = method;
    request.path = path;
    if (!body.is_null())
    {
        request.body = body.dump();
    }
    const auto reply = exchange_once(address, request, call_timeout);
    const std::string call = method + " " + address + path;
    if (!reply)
    {
        throw std::runtime_error(
            call + ": " + std::string(to_string(reply.error())));
    }
    if (reply.value().status >= 300)
    {
        throw std::runtime_error(call + ": " +
                                 std::to_string(reply.value().status) + " " +
                                 reply.value().body);
    }
    return json::parse(reply.value().body, nullptr, false);
}

int
get_status(
    const std::string& address, const std::string& path, duration timeout)
{
    http_request request;
    request.path = path;
    const auto reply = exchange_once(address, request, timeout);
    return reply ? reply.value().status : 0;
}

void
control_targets(const json& command)
{
    call_json(target_control_address, "POST", "/control", command);
}

json
read_targets()
{
    return call_json(target_control_address, "GET", "/control/stats?keys=1")
        .at("targets");
}

json
read_platform()
{
    return call_json(platform_address, "GET", "/control/stats");
}

json
read_counters(const bench_vm& vm)
{
    return call_json(vm.admin_address(), "GET", "/v1/status").at("counters");
}

std::uint64_t
edit_row(const bench_vm& vm, const std::string& id, const std::string& row,
    const json& value)
{
    const json edit{{"id", id}, {"author", "bench"},
        {"changes", {{{"op", "patch"}, {"row", row}, {"value", value}}}}};
    return call_json(vm.admin_address(), "POST", "/v1/edits", edit)
        .at("version")
        .get<std::uint64_t>();
}

std::uint64_t
table_version_of(const bench_vm& vm)
{
    return call_json(vm.admin_address(), "GET", "/v1/in_force")
        .at("version")
        .get<std::uint64_t>();
}

std::int64_t
unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace bramleymux::tools
