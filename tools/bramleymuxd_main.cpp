#include "daemon.hpp"
#include "log_events.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <iostream>

using namespace bramleymux;

namespace
{

constexpr int exit_invalid_settings = 2;
constexpr int exit_cannot_start = 3;

void
print_findings(const findings& found)
{
    for (const finding& f : found)
    {
        std::cerr << f.place << ": " << f.message << "\n";
    }
}

void
set_up_log(const settings& values)
{
    auto logger = values.log_file.empty()
                      ? spdlog::stderr_logger_mt("bramleymuxd")
                      : spdlog::basic_logger_mt("bramleymuxd", values.log_file);
    logger->set_level(spdlog::level::from_str(values.log_level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in the threads it
/// starts later, so that only sigwait() in the main thread receives them.
/// Ignores SIGPIPE.
sigset_t
block_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return set;
}

/// Runs the daemon until SIGTERM or SIGINT; SIGHUP reloads the settings.
/// Returns the exit code of the program.
int
serve(const settings& values)
{
    const sigset_t signals = block_signals();
    set_up_log(values);
    try
    {
        bramleymux::daemon vm(values);
        for (;;)
        {
            int received = 0;
            sigwait(&signals, &received);
            if (received != SIGHUP)
            {
                vm.stop();
                return 0;
            }
            vm.reload();
        }
    }
    catch (const std::exception& e)
    {
        std::cerr << "bramleymuxd: " << e.what() << "\n";
        return exit_cannot_start;
    }
}

} // namespace

int
main(int argc, char** argv)
{
    CLI::App app{"bramleymux daemon: a query tier over many shards"};
    std::string path;
    bool check = false;
    app.add_option(
           "--settings", path, "settings file (INI), see docs/settings.md")
        ->required();
    app.add_flag("--check", check, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);

    findings found;
    const settings values = load_settings(path, found);
    if (!found.empty())
    {
        print_findings(found);
        log_event(event::settings_invalid,
            "findings=" + std::to_string(found.size()));
        return exit_invalid_settings;
    }
    return check ? 0 : serve(values);
}
