#pragma once

#include "journal.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace bramleymux::soak
{

struct vm_place
{
    std::string id;
    std::string zone;
    std::string ip;

    std::string
    caller_address() const;
    std::string
    readiness_address() const;
};

/// One VM of the entry program as a child process that is started again after
/// each exit. Signals go to its process id only.
class vm_process
{
public:
    vm_process(vm_place place, std::string program, std::string directory,
        std::string store, journal& events);
    /// Kills a process that is left.
    ~vm_process();

    vm_process(const vm_process&) = delete;
    vm_process&
    operator=(const vm_process&) = delete;

    /// Starts the process. Returns false if it cannot be started.
    bool
    start();

    /// Rewrites the settings file with another value and sends SIGHUP.
    void
    reload();
    /// Sends SIGSTOP or SIGCONT.
    void
    set_stopped(bool stopped);
    void
    terminate();
    void
    kill();

    /// Notices an exit. Returns what is wrong with it, or with a process that
    /// has not exited within its grace time, which is killed.
    std::string
    check();

    bool
    is_running() const
    {
        return pid_ > 0;
    }

    bool
    is_stopped() const
    {
        return stopped_;
    }

    /// Running, and neither asked to end nor killed.
    bool
    is_in_service() const
    {
        return pid_ > 0 && !terminated_ && !killed_;
    }

    monotonic_time
    started_at() const
    {
        return started_at_;
    }

    monotonic_time
    exited_at() const
    {
        return exited_at_;
    }

    bool
    was_killed_within(const interval& span) const;
    std::vector<interval>
    stops() const;

    const vm_place place;

private:
    void
    write_settings();
    [[noreturn]] void
    run_program(pid_t parent) const;
    std::string
    on_exit(int status);

    std::string program_;
    std::string settings_path_;
    std::string log_path_;
    std::string store_;
    journal& journal_;
    pid_t pid_ = 0;
    int settings_written_ = 0;
    bool stopped_ = false;
    bool terminated_ = false;
    bool killed_ = false;
    monotonic_time started_at_{};
    monotonic_time terminated_at_{};
    monotonic_time exited_at_{};
    monotonic_time stopped_at_{};
    std::vector<interval> stops_;
    std::vector<monotonic_time> kills_;
};

} // namespace bramleymux::soak
