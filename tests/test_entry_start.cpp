#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// Starts the entry program as a process of its own under conditions in which
// it must neither refuse to start nor end by itself.

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

/// A loopback address of this test process, so that tests that run beside it
/// use other ports.
std::string
own_ip()
{
    const int id = ::getpid() % 60000;
    return "127.5." + std::to_string(id / 250) + "." +
           std::to_string(id % 250 + 1);
}

/// Below the range of ports that the kernel gives to outgoing connections.
constexpr int caller_port = 8080;
constexpr int readiness_port = 8081;
constexpr int metrics_port = 8082;
constexpr int peer_port = 7000;

std::string
settings_text()
{
    const std::string ip = own_ip();
    const auto address = [&](int port)
    { return ip + ":" + std::to_string(port) + "\n"; };
    return "[vm]\nid = vm-1\nzone = north\n[listen]\ncaller = " +
           address(caller_port) + "readiness = " + address(readiness_port) +
           "metrics = " + address(metrics_port) +
           "peer = " + address(peer_port) + "[store]\naddress = " + ip +
           ":9\n[stop]\ngrace_s = 2\n";
}

tcp::endpoint
endpoint(int port)
{
    return {boost::asio::ip::make_address(own_ip()),
        static_cast<std::uint16_t>(port)};
}

/// Holds a port as another process would.
struct held_port
{
    explicit held_port(int port) : acceptor(loop, endpoint(port), false) {}

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
};

/// The entry program with a settings file of its own.
class entry_process
{
public:
    explicit entry_process(const std::string& settings = settings_text())
        : path_((std::filesystem::temp_directory_path() /
                 ("entry-start-" + std::to_string(::getpid()) + ".ini"))
                    .string())
    {
        write_settings(settings);
    }

    ~entry_process()
    {
        if (pid_ > 0 && !has_ended())
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove(path_);
    }

    void
    write_settings(const std::string& text) const
    {
        std::ofstream(path_, std::ios::trunc) << text;
    }

    /// Starts the program with at most `descriptors` open files, if not 0.
    void
    start(rlim_t descriptors = 0)
    {
        const std::string program =
            (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
                "bramleymux_entry")
                .string();
        pid_ = ::fork();
        REQUIRE(pid_ >= 0);
        if (pid_ != 0)
        {
            return;
        }
        if (descriptors != 0)
        {
            const rlimit limit{descriptors, descriptors};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        // The program must not inherit the sockets of the test.
        constexpr int first_own_descriptor = 3;
        constexpr int end_of_descriptors = 256;
        for (int fd = first_own_descriptor; fd < end_of_descriptors; ++fd)
        {
            ::close(fd);
        }
        static_cast<void>(std::freopen("/dev/null", "w", stdout));
        ::execl(program.c_str(), program.c_str(), "--settings", path_.c_str(),
            static_cast<char*>(nullptr));
        ::_exit(127);
    }

    bool
    has_ended()
    {
        if (!ended_)
        {
            ended_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
        }
        return ended_;
    }

    void
    signal(int number) const
    {
        ::kill(pid_, number);
    }

    /// Returns a field of the process's status by its name.
    std::string
    status_field(const std::string& name) const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(in, line))
        {
            if (line.compare(0, name.size() + 1, name + ":") == 0)
            {
                return line.substr(name.size() + 1);
            }
        }
        return {};
    }

    /// Returns whether SIGHUP no longer has its default effect.
    bool
    handles_hang_up() const
    {
        constexpr unsigned long long bit = 1ULL << (SIGHUP - 1);
        const auto has = [&](const std::string& name)
        {
            const std::string mask = status_field(name);
            return !mask.empty() && (std::stoull(mask, nullptr, 16) & bit) != 0;
        };
        return has("SigIgn") || has("SigCgt");
    }

    /// Returns the processor time used so far.
    std::chrono::duration<double>
    processor_time() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
        std::string field;
        constexpr int user_time_field = 14;
        for (int i = 1; i < user_time_field; ++i)
        {
            in >> field;
        }
        double user = 0;
        double system = 0;
        in >> user >> system;
        return std::chrono::duration<double>(
            (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)));
    }

private:
    std::string path_;
    pid_t pid_ = 0;
    int status_ = 0;
    bool ended_ = false;
};

/// Waits for a condition. The limit fails a test that hangs.
bool
wait_for(const std::function<bool()>& done)
{
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (!done() && std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(5ms);
    }
    return done();
}

/// Returns the first line of the reply to a request, empty if none comes soon.
std::string
ask(int port, const std::string& path)
{
    boost::asio::io_context loop;
    tcp::socket socket(loop);
    boost::system::error_code error;
    socket.connect(endpoint(port), error);
    if (error)
    {
        return {};
    }
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    socket.send(boost::asio::buffer(request), 0, error);
    pollfd readable{socket.native_handle(), POLLIN, 0};
    constexpr int longest_wait_ms = 300;
    const bool replied = !error && ::poll(&readable, 1, longest_wait_ms) > 0;
    std::string line(64, '\0');
    line.resize(
        replied ? socket.receive(boost::asio::buffer(line), 0, error) : 0);
    return line.substr(0, line.find('\r'));
}

bool
is_serving()
{
    // Without a store the VM is not ready, but it answers.
    return ask(readiness_port, "/v1/ready").find("503") != std::string::npos &&
           !ask(caller_port, "/").empty();
}

} // namespace

// Guards against a start that fails because the process before it has not let
// go of a port yet.
TEST_CASE("a start waits for a port that is still in use", "[entry]")
{
    for (const int port : {caller_port, readiness_port, peer_port})
    {
        INFO(port);
        auto held = std::make_unique<held_port>(port);
        entry_process process;
        process.start();
        // A start that fails on the port ends well within this time.
        std::this_thread::sleep_for(400ms);
        CHECK(!process.has_ended());
        held.reset();
        CHECK(wait_for(is_serving));
        CHECK(!process.has_ended());
    }
}

// Guards against a VM that serves no callers for want of its metrics port.
TEST_CASE("a VM serves callers without its metrics port", "[entry]")
{
    auto held = std::make_unique<held_port>(metrics_port);
    entry_process process;
    process.start();
    CHECK(wait_for(is_serving));
    held.reset();
    CHECK(wait_for([] { return !ask(metrics_port, "/metrics").empty(); }));
    CHECK(!process.has_ended());
}

// Guards against a start that fails because the settings file is being written.
TEST_CASE("a start waits for settings that are being written", "[entry]")
{
    const std::string whole = settings_text();
    for (const std::size_t length : {std::size_t{0}, whole.size() / 2})
    {
        INFO(length);
        entry_process process(whole.substr(0, length));
        process.start();
        std::this_thread::sleep_for(200ms);
        CHECK(!process.has_ended());
        process.write_settings(whole);
        CHECK(wait_for(is_serving));
    }
}

// Guards against a reload that is asked for during the start and ends the
// process, since its handler is not installed yet.
TEST_CASE("SIGHUP during the start does not end the process", "[entry]")
{
    entry_process process;
    process.start();
    REQUIRE(wait_for([&] { return process.handles_hang_up(); }));
    CHECK(wait_for(
        [&]
        {
            process.signal(SIGHUP);
            return is_serving();
        }));
    CHECK(!process.has_ended());
}

// Guards against a process that takes the whole processor while no descriptor
// is left, and does not serve afterwards.
TEST_CASE("a process without free descriptors waits for them", "[entry]")
{
    entry_process process;
    constexpr rlim_t descriptors = 30;
    process.start(descriptors);
    REQUIRE(wait_for(is_serving));
    boost::asio::io_context loop;
    std::vector<tcp::socket> connections;
    for (rlim_t i = 0; i < 2 * descriptors; ++i)
    {
        connections.emplace_back(loop);
        connections.back().connect(endpoint(caller_port));
    }
    std::this_thread::sleep_for(200ms);
    const auto before = process.processor_time();
    std::this_thread::sleep_for(1s);
    // Repeating the accept without a pause takes nearly all of the second.
    CHECK(process.processor_time() - before < 500ms);
    connections.clear();
    CHECK(wait_for(is_serving));
    CHECK(!process.has_ended());
}
