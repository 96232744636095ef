#include "bramleymux/commands.hpp"

#include "bramleymux/print.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

constexpr auto poll_period = std::chrono::milliseconds(100);

std::string
new_edit_id()
{
    std::random_device source;
    const std::uint64_t high = source();
    const std::uint64_t low = source();
    return "edit-" + std::to_string((high << 32U) | low);
}

/// Calls the daemon. Returns false and prints the reason if there is no JSON
/// response.
bool
call_daemon(const command_options& options, const std::string& method,
    const std::string& path, const std::string& body, admin_reply& out)
{
    out = call_admin(options.admin, method, path, body);
    if (out.status == 0)
    {
        std::cerr << "bramleymux: " << out.error << "\n";
        return false;
    }
    if (out.body.is_discarded())
    {
        std::cerr << "bramleymux: the response is not JSON\n";
        return false;
    }
    return true;
}

/// Fetches a JSON document. Returns false and prints the reason on any status
/// other than 200.
bool
get(const command_options& options, const std::string& path, json& out)
{
    admin_reply reply;
    if (!call_daemon(options, "GET", path, {}, reply))
    {
        return false;
    }
    if (reply.status != 200)
    {
        std::cerr << "bramleymux: " << reply.body.value("title", "refused")
                  << "\n";
        return false;
    }
    out = std::move(reply.body);
    return true;
}

/// Prints the value as JSON if requested, otherwise as text with `print`.
template <class Print>
void
show(const command_options& options, const json& value, const Print& print)
{
    if (options.json)
    {
        std::cout << value.dump(2) << "\n";
    }
    else
    {
        print(std::cout, value);
    }
}

/// Fetches `path` and prints the response.
template <class Print>
exit_code
show_response(
    const command_options& options, const std::string& path, const Print& print)
{
    json response;
    if (!get(options, path, response))
    {
        return exit_code::no_response;
    }
    show(options, response, print);
    return exit_code::ok;
}

exit_code
exit_code_of(const json& result, int status)
{
    const std::string outcome = result.value("outcome", std::string());
    if (outcome == "accepted" || (outcome.empty() && status == 200))
    {
        return exit_code::ok;
    }
    if (outcome == "rejected_conflict")
    {
        return exit_code::conflict;
    }
    if (outcome == "not_accepted_platform")
    {
        return exit_code::not_accepted;
    }
    if (outcome == "unknown")
    {
        return exit_code::unknown;
    }
    return status == 400 ? exit_code::invalid : exit_code::no_response;
}

/// Prints the field changes of a dry run, then its findings.
void
print_dry_run(std::ostream& out, const json& result)
{
    for (const json& c : result.value("changes", json::array()))
    {
        const std::string field = c["field"];
        out << c["row"].get<std::string>() << (field.empty() ? "" : " ")
            << field << ": " << c["before"].dump() << " -> "
            << c["after"].dump() << "\n";
    }
    if (result.contains("findings") && result["findings"].empty())
    {
        out << "the edit has no findings; nothing was written\n";
        return;
    }
    print_edit(out, result);
}

/// Returns nullptr if there is no move of this name.
const json*
find_move(const json& moves, const std::string& name)
{
    const auto found = std::find_if(moves.begin(), moves.end(),
        [&](const json& m) { return m["name"] == name; });
    return found == moves.end() ? nullptr : &*found;
}

} // namespace

exit_code
show_rows(const command_options& options, const std::string& kind,
    const std::string& name)
{
    json response;
    if (!get(options, "/v1/table", response))
    {
        return exit_code::no_response;
    }
    const json& table = response["table"];
    const std::string list = kind + "s";
    if (!table.contains(list))
    {
        std::cerr << "bramleymux: unknown kind \"" << kind << "\"\n";
        return exit_code::usage;
    }
    json rows = json::array();
    for (const json& row : table[list])
    {
        if (name.empty() || row.value("name", std::string()) == name)
        {
            rows.push_back(row);
        }
    }
    show(options, rows, print_rows);
    return exit_code::ok;
}

exit_code
show_status(const command_options& options)
{
    return show_response(options, "/v1/status", print_status);
}

exit_code
show_moves(const command_options& options)
{
    return show_response(options, "/v1/moves", print_moves);
}

json
parse_fields(const std::vector<std::string>& fields)
{
    json out = json::object();
    for (const std::string& field : fields)
    {
        const std::size_t equals = field.find('=');
        const std::string name = field.substr(0, equals);
        const std::string text =
            equals == std::string::npos ? "" : field.substr(equals + 1);
        const json value = json::parse(text, nullptr, false);
        out[name] = value.is_discarded() ? json(text) : value;
    }
    return out;
}

exit_code
edit_rows(const command_options& options, const json& changes)
{
    const std::string id =
        options.edit_id.empty() ? new_edit_id() : options.edit_id;
    const json edit{{"id", id}, {"author", options.author},
        {"base_version", options.base_version}, {"changes", changes}};
    const std::string path =
        options.dry_run ? "/v1/edits?dry_run=true" : "/v1/edits";
    admin_reply reply;
    if (!call_daemon(options, "POST", path, edit.dump(), reply))
    {
        if (!reply.sent || options.dry_run)
        {
            return exit_code::no_response;
        }
        std::cerr << "bramleymux: the outcome is unknown; look it up with: "
                     "bramleymux outcome "
                  << id << "\n";
        return exit_code::unknown;
    }
    show(options, reply.body, options.dry_run ? print_dry_run : print_edit);
    const exit_code code = exit_code_of(reply.body, reply.status);
    if (code != exit_code::ok || options.dry_run || options.wait_seconds <= 0)
    {
        return code;
    }
    return wait_in_force(options, reply.body["version"], options.wait_seconds);
}

exit_code
show_edit_outcome(const command_options& options, const std::string& id)
{
    admin_reply reply;
    if (!call_daemon(options, "GET", "/v1/edits/" + encode_path(id), {}, reply))
    {
        return exit_code::no_response;
    }
    show(options, reply.body, print_edit);
    return exit_code_of(reply.body, reply.status);
}

exit_code
wait_in_force(
    const command_options& options, std::uint64_t version, double seconds)
{
    const auto until =
        monotonic_clock::now() +
        std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    const std::string path =
        version == 0 ? std::string("/v1/in_force")
                     : "/v1/in_force?version=" + std::to_string(version);
    json report;
    do
    {
        if (!get(options, path, report))
        {
            return exit_code::no_response;
        }
        if (report["everywhere"].get<bool>())
        {
            show(options, report, print_in_force);
            return exit_code::ok;
        }
        std::this_thread::sleep_for(poll_period);
    } while (monotonic_clock::now() < until);
    show(options, report, print_in_force);
    return exit_code::timed_out;
}

exit_code
watch_move(
    const command_options& options, const std::string& name, double seconds)
{
    const auto until =
        monotonic_clock::now() +
        std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    std::string last;
    do
    {
        json moves;
        if (!get(options, "/v1/moves", moves))
        {
            return exit_code::no_response;
        }
        const json* move = find_move(moves, name);
        if (move != nullptr)
        {
            const json now = json::array({*move});
            const std::string state = (*move)["state"];
            const std::string summary =
                state + (*move)["share"].dump() + (*move)["at_risk"].dump();
            if (summary != last)
            {
                last = summary;
                show(options, now, print_moves);
            }
            if (state == "done")
            {
                return exit_code::ok;
            }
            if (state == "withdrawn")
            {
                return exit_code::withdrawn;
            }
        }
        std::this_thread::sleep_for(poll_period);
    } while (monotonic_clock::now() < until);
    return exit_code::timed_out;
}

} // namespace bramleymux::tools
