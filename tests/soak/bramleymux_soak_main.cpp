#include "soak_run.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

using namespace bramleymux::soak;

namespace
{

/// Returns the entry program of the same build.
std::string
program_beside(const char* self)
{
    return (std::filesystem::absolute(self).parent_path() / "bramleymux_entry")
        .string();
}

std::string
make_directory()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "bramleymux_soak.XXXXXX")
            .string();
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

} // namespace

int
main(int argc, char** argv)
{
    CLI::App app{"randomized soak of bramleymux_entry processes"};
    soak_options options;
    options.program = program_beside(argv[0]);
    app.add_option("--seed", options.seed, "of the schedule and the callers");
    app.add_option("--seconds", options.seconds, "length of the schedule");
    app.add_option("--callers", options.callers, "concurrent callers");
    app.add_option("--entry", options.program, "entry program")
        ->check(CLI::ExistingFile);
    app.add_flag("--vms-stop-first", options.vms_stop_first,
        "stop all VMs at the end while callers use them");
    app.add_flag("--restores-only", options.restores_only,
        "no faults but restores of the store, new states, reloads and pauses");
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    options.directory = make_directory();
    if (options.directory.empty())
    {
        std::cerr << "bramleymux_soak: cannot create a directory\n";
        return 1;
    }
    soak_run soak(options);
    const report& result = soak.run();
    result.print_summary(options.seed);
    const bool good = result.faults_found() == 0 && result.requests() > 0;
    if (good)
    {
        std::filesystem::remove_all(options.directory);
    }
    else
    {
        std::cout << "logs of the VMs: " << options.directory << "\n";
    }
    return good ? 0 : 1;
}
