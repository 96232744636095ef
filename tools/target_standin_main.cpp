#include "target_standin/fleet.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

/// Simulated targets with scripted faults. Each target has an address of its
/// own; one more address serves the control API.
int
main(int argc, char** argv)
{
    using namespace bramleymux::tools;
    CLI::App app("Simulated targets for tests of bramleymux");
    std::string config;
    std::string control = "127.0.0.1:7300";
    app.add_option("--config", config, "JSON file with services and targets")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--control", control, "IP:port of the control API");
    CLI11_PARSE(app, argc, argv);

    block_stop_signals();
    try
    {
        std::ifstream file(config);
        fleet targets(nlohmann::json::parse(file));
        targets.start();
        server_options options;
        options.address = control;
        options.handle = [&](const server_request& r)
        { return targets.control(r); };
        const http_server server(options);
        std::cout << "target_standin ready: " << targets.size() << " targets"
                  << std::endl;
        wait_for_stop_signal();
    }
    catch (const std::exception& e)
    {
        std::cerr << "target_standin: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
