#include "bramleymux_bench/report.hpp"
#include "bramleymux_bench/scenario.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace
{

using namespace bramleymux;
using namespace bramleymux::tools;

struct arguments
{
    std::string directory;
    std::string shape = "wide";
    std::string policy = "adaptive";
    std::string scenario;
    std::string out;
    double seconds = 10;
    double warm_up = 0;
    std::uint64_t seed = 1;
    std::size_t edits = 100;
    bool check = false;
};

/// Returns scenario_kind::count if no scenario has the name.
scenario_kind
find_scenario(const std::string& name)
{
    const auto it =
        std::find(scenario_names.begin(), scenario_names.end(), name);
    return static_cast<scenario_kind>(it - scenario_names.begin());
}

int
run(const arguments& args)
{
    scenario_options options;
    options.kind = find_scenario(args.scenario);
    if (options.kind == scenario_kind::count)
    {
        std::cerr << "unknown scenario: " << args.scenario << '\n';
        return 2;
    }
    options.shape = make_shape(args.shape);
    options.directory = args.directory;
    options.seconds = args.seconds;
    options.warm_up_seconds = args.warm_up;
    options.seed = args.seed;
    options.edits = args.edits;
    nlohmann::json result = run_scenario(options);
    result["scenario"] = args.scenario;
    result["policy"] = args.policy;
    result["shape"] = args.shape;
    result["seed"] = args.seed;
    std::ofstream(args.out) << result.dump(1) << '\n';
    return 0;
}

int
report(const arguments& args)
{
    const nlohmann::json value = make_report(args.directory);
    std::ofstream(args.out) << value.dump(1) << '\n';
    write_cdfs(value, args.directory);
    print_markdown(value, std::cout);
    return args.check && !all_passed(value) ? 1 : 0;
}

} // namespace

/// Configures fleets, which scripts/bench.sh starts, runs scenarios of load and
/// faults on them, and reports on the results.
int
main(int argc, char** argv)
{
    CLI::App app("Load generator and fault experiments for a bramleymux fleet");
    app.require_subcommand(1);
    arguments args;
    CLI::App* config = app.add_subcommand(
        "config", "write the configuration files of a fleet");
    CLI::App* load =
        app.add_subcommand("run", "run one scenario on a running fleet");
    CLI::App* summary =
        app.add_subcommand("report", "report on all results in a directory");
    for (CLI::App* command : {config, load, summary})
    {
        command->add_option("--directory", args.directory)->required();
    }
    for (CLI::App* command : {config, load})
    {
        command->add_option("--shape", args.shape, "wide, narrow or moves");
        command->add_option("--policy", args.policy, "baseline or adaptive");
    }
    load->add_option("--scenario", args.scenario)->required();
    load->add_option(
        "--seconds", args.seconds, "length of the load, in seconds");
    load->add_option(
        "--warm-up", args.warm_up, "seconds of unmeasured load before the run");
    load->add_option("--seed", args.seed, "seed of the arrival times");
    load->add_option(
        "--edits", args.edits, "number of edits in the scenario edits");
    for (CLI::App* command : {load, summary})
    {
        command->add_option("--out", args.out, "result file")->required();
    }
    summary->add_flag(
        "--check", args.check, "exit with status 1 if a check fails");
    CLI11_PARSE(app, argc, argv);
    try
    {
        if (config->parsed())
        {
            write_fleet(make_shape(args.shape), args.policy, args.directory);
            return 0;
        }
        return load->parsed() ? run(args) : report(args);
    }
    catch (const std::exception& e)
    {
        std::cerr << "bramleymux_bench: " << e.what() << '\n';
        return 3;
    }
}
