#include "admin_server.hpp"

#include "latency.hpp"
#include "problem.hpp"
#include "query_common.hpp"
#include "table_edit.hpp"

#include <chrono>
#include <fstream>
#include <thread>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr const char* edits_path = "/v1/edits/";
constexpr auto edit_retry_base = std::chrono::milliseconds(20);
constexpr auto edit_retry_cap = std::chrono::milliseconds(500);

server_response
json_response(const json& body)
{
    server_response response;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

std::string
read_first_line(const std::string& path)
{
    std::ifstream in(path);
    std::string line;
    std::getline(in, line);
    return line;
}

/// Compares in constant time for tokens of equal length, so that the response
/// time does not reveal a matching prefix.
bool
constant_time_equal(const std::string& a, const std::string& b)
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference |=
            static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

json
vm_to_json(const known_vm& vm)
{
    const auto state = static_cast<std::size_t>(vm.digest.state);
    const auto presence = static_cast<std::size_t>(vm.presence);
    return {{"id", vm.identity.id}, {"zone", vm.identity.zone},
        {"incarnation", vm.identity.incarnation},
        {"presence", vm_presence_names[presence]},
        {"state", serving_state_names[state]},
        {"table_version", vm.digest.table_version},
        {"platform_reachable", vm.digest.platform_reachable}};
}

json
target_to_json(const target_stats& t)
{
    return {{"name", t.name}, {"limit", t.limit}, {"running", t.running},
        {"worst_running", t.worst_running}, {"queued", t.queued},
        {"sends", t.sends}, {"refused", t.refused},
        {"cold_start_limit", t.cold_start_limit}, {"cold_falls", t.cold_falls},
        {"unreachable", t.unreachable}};
}

std::int64_t
unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

admin_server::admin_server(admin_parts parts, std::string token_file)
    : parts_(std::move(parts)), token_file_(std::move(token_file))
{
}

/// The token file is read on each request, so that a new token needs no
/// restart.
bool
admin_server::is_authorized(const server_request& request) const
{
    if (token_file_.empty())
    {
        return true;
    }
    const std::string token = read_first_line(token_file_);
    return !token.empty() &&
           constant_time_equal(
               header_value(request, "authorization"), "Bearer " + token);
}

server_response
admin_server::handle(const server_request& request)
{
    if (!is_authorized(request))
    {
        return make_problem(problem_code::unauthorized, run_state::not_run,
            "send Authorization: Bearer with the operators' token");
    }
    const std::string& path = request.path;
    const bool is_get = request.method == "GET";
    if (is_get && path == "/metrics")
    {
        server_response response;
        response.content_type = "text/plain; version=0.0.4";
        response.body = parts_.counters.text();
        return response;
    }
    if (is_get && path == "/v1/status")
    {
        return get_status();
    }
    if (is_get && path == "/v1/table")
    {
        return get_table();
    }
    if (is_get && path == "/v1/in_force")
    {
        return get_in_force(request);
    }
    if (is_get && path == "/v1/moves")
    {
        return json_response(parts_.moves ? parts_.moves() : json::array());
    }
    if (is_get && path.rfind(edits_path, 0) == 0)
    {
        return get_edit(path.substr(std::string(edits_path).size()));
    }
    if (request.method == "POST" && path == "/v1/edits")
    {
        return post_edit(request);
    }
    return make_problem(problem_code::unknown_path, run_state::not_run, path);
}

server_response
admin_server::get_status() const
{
    const fleet_status fleet = parts_.fleet.status();
    const stats counters = parts_.counters.read();
    json vms = json::array();
    for (const known_vm& vm : fleet.vms)
    {
        vms.push_back(vm_to_json(vm));
    }
    json view = json::array();
    for (const vm_ref& vm : fleet.view)
    {
        view.push_back(vm.id);
    }
    json targets = json::array();
    for (const target_stats& t : parts_.executor.stats().targets)
    {
        targets.push_back(target_to_json(t));
    }
    json values = json::object();
    for (std::size_t i = 0; i < counters.values.size(); ++i)
    {
        values[std::string(counter_names[i])] = counters.values[i];
    }
    json reports = json::array();
    for (const target_report& r : parts_.reports.all())
    {
        reports.push_back(to_json(r));
    }
    return json_response({{"vm", parts_.vm_id},
        {"table_version", counters[counter::table_version]},
        {"platform_reachable", fleet.platform_reachable},
        {"may_act", fleet.may_act}, {"view", view}, {"vms", vms},
        {"targets", targets}, {"reports", reports}, {"counters", values},
        {"moves", parts_.moves ? parts_.moves() : json::array()}});
}

server_response
admin_server::get_table() const
{
    const auto rows = parts_.board.rows.get();
    if (!rows)
    {
        return make_problem(problem_code::no_table, run_state::not_run, "");
    }
    return json_response(
        {{"version", rows->version}, {"table", to_json(*rows)}});
}

server_response
admin_server::get_in_force(const server_request& request) const
{
    const std::string text = query_parameter(request, "version");
    char* end = nullptr;
    const std::uint64_t version =
        text.empty() ? parts_.counters.read()[counter::table_version]
                     : std::strtoull(text.c_str(), &end, 10);
    if (version == 0 || (end != nullptr && *end != '\0'))
    {
        return make_problem(problem_code::invalid_request, run_state::not_run,
            "parameter version must be a table version above 0");
    }
    const in_force_report report = parts_.fleet.in_force_of(version);
    return json_response(
        {{"version", version}, {"everywhere", report.everywhere()},
            {"applied", report.applied}, {"pending", report.pending},
            {"cut_off", report.cut_off}, {"unconfirmed", report.unconfirmed}});
}

server_response
admin_server::post_edit(const server_request& request)
{
    findings found;
    const json body = json::parse(request.body, nullptr, false);
    table_edit edit;
    if (body.is_discarded() || !body.is_object())
    {
        found.push_back({"body", "must be a JSON object"});
    }
    else
    {
        edit = parse_edit(body, found);
    }
    if (!found.empty())
    {
        return make_problem(problem_code::edit_invalid, run_state::not_run,
            found.front().place + ": " + found.front().message,
            {{"findings", to_json(found)}});
    }
    if (edit.at_ms == 0)
    {
        edit.at_ms = unix_ms();
    }
    if (query_parameter(request, "dry_run") == "true")
    {
        return check_edit(edit);
    }
    const edit_result result = submit_edit(parts_.platform, edit,
        [](std::size_t attempt)
        {
            std::this_thread::sleep_for(
                full_jitter(static_cast<std::uint32_t>(attempt),
                    edit_retry_base, edit_retry_cap, query_random()));
        });
    server_response response = json_response(to_json(result));
    response.status = http_status_of(result.outcome);
    return response;
}

/// Returns the findings of an edit and its differences to the table in force,
/// without writing anything.
server_response
admin_server::check_edit(const table_edit& edit) const
{
    const auto rows = parts_.board.rows.get();
    if (!rows)
    {
        return make_problem(problem_code::no_table, run_state::not_run, "");
    }
    findings found;
    const table after = apply_edit(to_json(*rows), rows->version, edit, found);
    json changes = json::array();
    for (const field_change& c : diff(*rows, after))
    {
        changes.push_back({{"row", c.row}, {"field", c.field},
            {"before", c.before}, {"after", c.after}});
    }
    server_response response = json_response({{"version", rows->version},
        {"findings", to_json(found)}, {"changes", std::move(changes)}});
    response.status = found.empty() ? 200 : 400;
    return response;
}

server_response
admin_server::get_edit(const std::string& id)
{
    const edit_result result = read_edit_outcome(parts_.platform, id);
    server_response response = json_response(to_json(result));
    response.status = http_status_of(result.outcome);
    return response;
}

} // namespace bramleymux
