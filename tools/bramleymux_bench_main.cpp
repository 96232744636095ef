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

scenario_kind
find_scenario(const std::string& name)
{
    const auto it =
        std::find(scenario_names.begin(), scenario_names.end(), name);
    return static_cast<scenario_kind>(it - scenario_names.begin());
}

int
run(const arguments& a)
{
    scenario_options options;
    options.kind = find_scenario(a.scenario);
    if (options.kind == scenario_kind::count)
    {
        std::cerr << "no such scenario: " << a.scenario << '\n';
        return 2;
    }
    options.shape = make_shape(a.shape);
    options.directory = a.directory;
    options.seconds = a.seconds;
    options.warm_up_seconds = a.warm_up;
    options.seed = a.seed;
    options.edits = a.edits;
    nlohmann::json result = run_scenario(options);
    result["scenario"] = a.scenario;
    result["policy"] = a.policy;
    result["shape"] = a.shape;
    result["seed"] = a.seed;
    std::ofstream(a.out) << result.dump(1) << '\n';
    return 0;
}

int
report(const arguments& a)
{
    const nlohmann::json value = make_report(a.directory);
    std::ofstream(a.out) << value.dump(1) << '\n';
    write_cdfs(value, a.directory);
    print_markdown(value, std::cout);
    return a.check && !all_passed(value) ? 1 : 0;
}

} // namespace

/// Loads a fleet and scripts faults into it; scripts/bench.sh starts fleets.
int
main(int argc, char** argv)
{
    CLI::App app("Load and experiments for bramleymux");
    app.require_subcommand(1);
    arguments a;
    CLI::App* config = app.add_subcommand("config", "write a fleet's files");
    CLI::App* load = app.add_subcommand("run", "run one scenario");
    CLI::App* summary =
        app.add_subcommand("report", "report on all results in a directory");
    for (CLI::App* command : {config, load, summary})
    {
        command->add_option("--directory", a.directory)->required();
    }
    for (CLI::App* command : {config, load})
    {
        command->add_option("--shape", a.shape, "wide or narrow");
        command->add_option("--policy", a.policy, "baseline or adaptive");
    }
    load->add_option("--scenario", a.scenario)->required();
    load->add_option("--seconds", a.seconds, "length of the load");
    load->add_option(
        "--warm-up", a.warm_up, "seconds of load before, not measured");
    load->add_option("--seed", a.seed, "seed of the arrivals");
    load->add_option("--edits", a.edits, "edits of the scenario edits");
    for (CLI::App* command : {load, summary})
    {
        command->add_option("--out", a.out, "result file")->required();
    }
    summary->add_flag(
        "--check", a.check, "exit with 1 when a stated target is missed");
    CLI11_PARSE(app, argc, argv);
    try
    {
        if (config->parsed())
        {
            write_fleet(make_shape(a.shape), a.policy, a.directory);
            return 0;
        }
        return load->parsed() ? run(a) : report(a);
    }
    catch (const std::exception& e)
    {
        std::cerr << "bramleymux_bench: " << e.what() << '\n';
        return 3;
    }
}
