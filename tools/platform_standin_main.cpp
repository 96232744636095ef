#include "platform_standin/platform_service.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

/// Simulated platform with an object API, watches, a VM list and scripted
/// faults.
int
main(int argc, char** argv)
{
    using namespace bramleymux::tools;
    CLI::App app("Simulated platform for tests of bramleymux");
    std::vector<std::string> listen{"127.0.0.1:7400"};
    std::string config;
    std::size_t threads = 64;
    std::uint64_t seed = 1;
    app.add_option("--listen", listen, "IP:port to listen on; may be repeated");
    app.add_option(
           "--config", config, "JSON file with the initial control document")
        ->check(CLI::ExistingFile);
    app.add_option("--threads", threads, "concurrent connections per address");
    app.add_option(
        "--seed", seed, "seed for the random choice of lost replies");
    CLI11_PARSE(app, argc, argv);

    block_stop_signals();
    try
    {
        platform_service service(seed);
        if (!config.empty())
        {
            std::ifstream file(config);
            service.configure(nlohmann::json::parse(file));
        }
        std::vector<std::unique_ptr<http_server>> servers;
        for (const std::string& address : listen)
        {
            server_options options;
            options.address = address;
            options.threads = threads;
            options.handle = [&service, address](const server_request& r)
            { return service.handle(r, address); };
            servers.push_back(std::make_unique<http_server>(options));
        }
        std::cout << "platform_standin ready" << std::endl;
        wait_for_stop_signal();
        service.stop();
    }
    catch (const std::exception& e)
    {
        std::cerr << "platform_standin: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
