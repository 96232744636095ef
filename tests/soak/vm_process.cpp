#include "vm_process.hpp"

#include "oracle.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bramleymux::soak
{

namespace
{

// Below the range of ports that the kernel gives to outgoing connections.
constexpr const char* caller_port = ":8080";
constexpr const char* readiness_port = ":8081";
constexpr const char* peer_port = ":7000";
// Short enough that idle connections are closed before the load balancer has
// noticed that the VM is not ready.
constexpr int grace_s = 4;

} // namespace

std::string
vm_place::caller_address() const
{
    return ip + caller_port;
}

std::string
vm_place::readiness_address() const
{
    return ip + readiness_port;
}

vm_process::vm_process(vm_place p, std::string program, std::string directory,
    std::string store, journal& events)
    : place(std::move(p)), program_(std::move(program)),
      settings_path_(directory + "/" + place.id + ".ini"),
      log_path_(directory + "/" + place.id + ".log"), store_(std::move(store)),
      journal_(events)
{
}

vm_process::~vm_process()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void
vm_process::write_settings()
{
    std::ofstream out(settings_path_, std::ios::trunc);
    out << "[vm]\nid = " << place.id << "\nzone = " << place.zone
        << "\n[listen]\ncaller = " << place.caller_address()
        << "\nreadiness = " << place.readiness_address()
        << "\npeer = " << place.ip << peer_port
        << "\n[store]\naddress = " << store_
        << "\n[extra_load]\nratio = 0.2\nslack = " << 100 + settings_written_++
        << "\n[stop]\ngrace_s = " << grace_s
        << "\n[keys]\nstrict_revocation = true\nrevoke_ms = "
        << revocation_bound.count() << "\n";
}

bool
vm_process::start()
{
    write_settings();
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0)
    {
        run_program(parent);
    }
    if (child < 0)
    {
        return false;
    }
    pid_ = child;
    started_at_ = monotonic_clock::now();
    stopped_ = terminated_ = killed_ = false;
    journal_.note(place.id, "started, process " + std::to_string(pid_));
    return true;
}

/// Replaces the child by the program, which ends with this process.
void
vm_process::run_program(pid_t parent) const
{
    constexpr int cannot_run = 127;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (::getppid() != parent || log < 0 || ::dup2(log, STDOUT_FILENO) < 0 ||
        ::dup2(log, STDERR_FILENO) < 0)
    {
        ::_exit(cannot_run);
    }
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(program_.c_str(), program_.c_str(), "--settings",
        settings_path_.c_str(), static_cast<char*>(nullptr));
    ::_exit(cannot_run);
}

void
vm_process::reload()
{
    write_settings();
    journal_.note(place.id, "SIGHUP");
    ::kill(pid_, SIGHUP);
}

void
vm_process::set_stopped(bool stopped)
{
    if (pid_ <= 0 || stopped == stopped_)
    {
        return;
    }
    journal_.note(place.id, stopped ? "SIGSTOP" : "SIGCONT");
    if (stopped)
    {
        stopped_at_ = monotonic_clock::now();
    }
    ::kill(pid_, stopped ? SIGSTOP : SIGCONT);
    if (!stopped)
    {
        stops_.push_back({stopped_at_, monotonic_clock::now()});
    }
    stopped_ = stopped;
}

void
vm_process::terminate()
{
    journal_.note(place.id, "SIGTERM");
    terminated_ = true;
    terminated_at_ = monotonic_clock::now();
    ::kill(pid_, SIGTERM);
}

void
vm_process::kill()
{
    journal_.note(place.id, "SIGKILL");
    killed_ = true;
    kills_.push_back(monotonic_clock::now());
    ::kill(pid_, SIGKILL);
}

std::string
vm_process::check()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
    {
        return on_exit(status);
    }
    const monotonic_time now = monotonic_clock::now();
    if (pid_ <= 0 || !terminated_ || killed_ || stopped_ ||
        now - terminated_at_ - covered_time(stops_, {terminated_at_, now}) <=
            std::chrono::seconds(grace_s))
    {
        return {};
    }
    kill();
    return "has not exited within its grace time";
}

std::string
vm_process::on_exit(int status)
{
    const std::string how =
        WIFSIGNALED(status)
            ? "ended by signal " + std::to_string(WTERMSIG(status))
            : "exited with " + std::to_string(WEXITSTATUS(status));
    journal_.note(place.id, how);
    const bool expected = killed_ || (terminated_ && WIFEXITED(status) &&
                                         WEXITSTATUS(status) == 0);
    if (stopped_)
    {
        stops_.push_back({stopped_at_, monotonic_clock::now()});
        stopped_ = false;
    }
    pid_ = 0;
    exited_at_ = monotonic_clock::now();
    return expected ? std::string() : how;
}

bool
vm_process::was_killed_within(const interval& span) const
{
    return std::any_of(kills_.begin(), kills_.end(),
        [&](monotonic_time t) { return span.from <= t && t <= span.to; });
}

std::vector<interval>
vm_process::stops() const
{
    std::vector<interval> out = stops_;
    if (stopped_)
    {
        out.push_back({stopped_at_, monotonic_clock::now()});
    }
    return out;
}

} // namespace bramleymux::soak
