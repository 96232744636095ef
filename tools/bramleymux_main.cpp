#include "bramleymux/commands.hpp"
#include "common/request_story.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>

using namespace bramleymux;
using namespace bramleymux::tools;
using nlohmann::json;

namespace
{

constexpr const char* footer = R"(Examples:
  bramleymux show target                        list rows of a kind
  bramleymux set target/exam-1 weight=0.5       change fields of a row
  bramleymux --wait 5 zone out north            take a zone out and wait
  bramleymux move start m1 exam-desk v1 v2 600  start a move, 600 s to deadline
  bramleymux move watch m1                      follow until it ends
  bramleymux wait 17                            wait for version 17
  bramleymux story 9c41d07be2a35f68 vm.log      log lines of one request

Exit codes: 0 success, 1 usage error, 2 findings, 3 conflict, 4 not accepted
(platform unavailable), 5 outcome unknown, 6 no response, 7 timed out,
8 move withdrawn.)";

constexpr double default_wait_seconds = 10;
constexpr double default_watch_seconds = 3600;

/// Arguments of all subcommands, filled in by the parser.
struct arguments
{
    std::string kind;
    std::string name;
    std::string row;
    std::vector<std::string> fields;
    std::string file;
    std::string service;
    std::string from;
    std::string to;
    std::string cause = "withdrawn by an operator";
    double seconds = 0;
    std::uint64_t version = 0;
};

using command = std::function<exit_code()>;

std::int64_t
unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Returns the JSON array of changes of an edit that has one change. Omits
/// "value" if it is null.
json
single_change(const char* op, const std::string& row, json value)
{
    json out{{"op", op}, {"row", row}};
    if (!value.is_null())
    {
        out["value"] = std::move(value);
    }
    return json::array({std::move(out)});
}

json
zone_change(const arguments& args, bool out)
{
    return single_change("patch", "zone/" + args.name, {{"out", out}});
}

json
move_change(const arguments& args)
{
    const std::int64_t start = unix_ms();
    return single_change("set", "move/" + args.name,
        {{"name", args.name}, {"service", args.service}, {"from", args.from},
            {"to", args.to}, {"start_ms", start},
            {"deadline_ms",
                start + static_cast<std::int64_t>(args.seconds * 1000)},
            {"state", "active"}});
}

json
withdrawal_change(const arguments& args)
{
    return single_change("patch", "move/" + args.name,
        {{"state", "withdrawn"}, {"cause", args.cause}});
}

/// Reads the changes of an edit from a JSON file, or from standard input if the
/// path is "-". The document is {"changes": [...]} or the array itself. Returns
/// false if there is no array.
bool
read_changes(const std::string& path, json& out)
{
    std::ifstream file(path);
    std::istream& in = path == "-" ? std::cin : file;
    const json value = json::parse(
        std::string(std::istreambuf_iterator<char>(in), {}), nullptr, false);
    out = value.is_object() ? value.value("changes", json()) : value;
    return out.is_array();
}

void
add_table_commands(
    CLI::App& app, command_options& options, arguments& args, command& selected)
{
    CLI::App* show =
        app.add_subcommand("show", "show rows of the table in force");
    show->add_option("kind", args.kind,
            "zone, service, route, searcher, version, target or move")
        ->required();
    show->add_option("name", args.name, "name of one row; all rows if omitted");
    show->callback(
        [&] {
            selected = [&] { return show_rows(options, args.kind, args.name); };
        });

    CLI::App* set = app.add_subcommand("set", "change fields of a row");
    set->add_option("row", args.row, "kind/name")->required();
    set->add_option("fields", args.fields, "field=value ...")->required();
    set->callback(
        [&]
        {
            selected = [&]
            {
                return edit_rows(options, single_change("patch", args.row,
                                              parse_fields(args.fields)));
            };
        });

    CLI::App* add = app.add_subcommand("add", "create or replace a row");
    add->add_option("row", args.row, "kind/name")->required();
    add->add_option("fields", args.fields, "field=value ...")->required();
    add->callback(
        [&]
        {
            selected = [&]
            {
                return edit_rows(options,
                    single_change("set", args.row, parse_fields(args.fields)));
            };
        });

    CLI::App* remove = app.add_subcommand("remove", "delete a row");
    remove->add_option("row", args.row, "kind/name")->required();
    remove->callback(
        [&]
        {
            selected = [&] {
                return edit_rows(
                    options, single_change("remove", args.row, {}));
            };
        });

    CLI::App* edit =
        app.add_subcommand("edit", "apply a file of changes as one edit");
    edit->add_option("file", args.file, "JSON file, or - for standard input")
        ->required();
    edit->callback(
        [&]
        {
            selected = [&]
            {
                json changes;
                if (!read_changes(args.file, changes))
                {
                    std::cerr << "bramleymux: " << args.file
                              << " is not a JSON array of changes\n";
                    return exit_code::usage;
                }
                return edit_rows(options, changes);
            };
        });

    CLI::App* outcome =
        app.add_subcommand("outcome", "show whether an edit took effect");
    outcome->add_option("id", args.name, "id of the edit")->required();
    outcome->callback([&]
        { selected = [&] { return show_edit_outcome(options, args.name); }; });
}

void
add_zone_commands(
    CLI::App& app, command_options& options, arguments& args, command& selected)
{
    CLI::App* zone = app.add_subcommand(
        "zone", "take an availability zone out or bring it back");
    zone->require_subcommand(1);
    CLI::App* out =
        zone->add_subcommand("out", "stop sending new work to the zone");
    CLI::App* in = zone->add_subcommand("in", "send work to the zone again");
    for (CLI::App* c : {out, in})
    {
        c->add_option("name", args.name, "name of the zone")->required();
        c->callback(
            [&, taken_out = c == out]
            {
                selected = [&, taken_out]
                { return edit_rows(options, zone_change(args, taken_out)); };
            });
    }
}

void
add_move_commands(
    CLI::App& app, command_options& options, arguments& args, command& selected)
{
    CLI::App* move = app.add_subcommand(
        "move", "manage moves of a service between versions");
    move->require_subcommand(1);
    CLI::App* start = move->add_subcommand("start", "start a version move");
    start->add_option("name", args.name, "name of the move")->required();
    start->add_option("service", args.service, "service")->required();
    start->add_option("from", args.from, "old version")->required();
    start->add_option("to", args.to, "new version")->required();
    start->add_option("seconds", args.seconds, "seconds until the deadline")
        ->required();
    start->callback([&]
        { selected = [&] { return edit_rows(options, move_change(args)); }; });

    CLI::App* withdraw =
        move->add_subcommand("withdraw", "withdraw a move permanently");
    withdraw->add_option("name", args.name, "name of the move")->required();
    withdraw->add_option("--cause", args.cause, "reason for the withdrawal");
    withdraw->callback(
        [&] {
            selected = [&]
            { return edit_rows(options, withdrawal_change(args)); };
        });

    CLI::App* watch = move->add_subcommand(
        "watch", "print the progress of a move until it ends");
    watch->add_option("name", args.name, "name of the move")->required();
    watch->add_option("--seconds", args.seconds, "longest wait in seconds");
    watch->callback(
        [&]
        {
            selected = [&]
            {
                return watch_move(options, args.name,
                    args.seconds > 0 ? args.seconds : default_watch_seconds);
            };
        });

    CLI::App* list = move->add_subcommand("list", "list all moves");
    list->callback([&] { selected = [&] { return show_moves(options); }; });
}

void
add_story_command(CLI::App& app, arguments& args, command& selected)
{
    CLI::App* story = app.add_subcommand(
        "story", "print the log lines of one request, ordered by time");
    story->add_option("request", args.name, "id of the request")->required();
    story
        ->add_option("file", args.file, "decision log, or - for standard input")
        ->default_val("-");
    story->callback(
        [&]
        {
            selected = [&]
            {
                std::ifstream file(args.file);
                std::istream& in = args.file == "-" ? std::cin : file;
                const std::size_t lines =
                    print_request_story(in, args.name, std::cout);
                return lines > 0 ? exit_code::ok : exit_code::unknown;
            };
        });
}

} // namespace

int
main(int argc, char** argv)
{
    CLI::App app{"Command line for operators of bramleymux"};
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    command_options options;
    arguments args;
    command selected;
    options.admin.address = "127.0.0.1:8082";
    const char* user = std::getenv("USER");
    options.author = user != nullptr ? user : "operator";

    app.add_option(
           "--admin", options.admin.address, "admin address of any VM, IP:port")
        ->envname("BRAMLEYMUX_ADMIN")
        ->capture_default_str();
    app.add_option("--token-file", options.admin.token_file,
           "file with the operator token")
        ->envname("BRAMLEYMUX_TOKEN_FILE");
    app.add_option("--certificate", options.admin.certificate,
        "PEM file to verify the server certificate with; enables TLS");
    app.add_flag("--json", options.json, "print JSON");
    app.add_option("--author", options.author, "author of the edit");
    app.add_option("--id", options.edit_id,
        "id of the edit; reuse it to repeat an edit safely");
    app.add_option("--base", options.base_version,
        "table version that the edit is based on");
    app.add_flag("--dry-run", options.dry_run,
        "print findings and changes without writing");
    app.add_option("--wait", options.wait_seconds,
        "seconds to wait until the edit is in force everywhere");

    add_table_commands(app, options, args, selected);
    add_zone_commands(app, options, args, selected);
    add_move_commands(app, options, args, selected);
    add_story_command(app, args, selected);
    CLI::App* status =
        app.add_subcommand("status", "show VMs, targets and moves");
    status->callback([&] { selected = [&] { return show_status(options); }; });
    CLI::App* wait =
        app.add_subcommand("wait", "wait until a version is in force");
    wait->add_option("version", args.version,
        "table version; the newest known "
        "to the VM if omitted");
    wait->add_option("--seconds", args.seconds, "longest wait in seconds");
    wait->callback(
        [&]
        {
            selected = [&]
            {
                return wait_in_force(options, args.version,
                    args.seconds > 0 ? args.seconds : default_wait_seconds);
            };
        });

    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& e)
    {
        return app.exit(e) == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(selected());
}
