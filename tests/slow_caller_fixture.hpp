#pragma once

#include "soak/store.hpp"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <poll.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

/// The entry program as a process of its own, with a stand-in store, stand-in
/// targets and callers that do not read what they ask for.
namespace bramleymux::fixture
{

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

inline constexpr std::size_t long_body_bytes = 3U << 20U;
inline constexpr std::size_t max_body_bytes = 2U << 20U;

/// Target that answers each request with the same reply, or never reads.
class plain_target
{
public:
    plain_target(boost::asio::io_context& loop, std::string reply, bool reads)
        : reply_(std::move(reply)), reads_(reads),
          acceptor_(
              loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    struct session : std::enable_shared_from_this<session>
    {
        session(plain_target& o, tcp::socket&& s)
            : owner(o), socket(std::move(s))
        {
        }

        void
        read()
        {
            socket.async_read_some(boost::asio::buffer(buffer),
                [self = shared_from_this()](
                    boost::system::error_code error, std::size_t n)
                {
                    if (error)
                    {
                        return;
                    }
                    self->input.append(self->buffer.data(), n);
                    if (self->reader.read(
                            self->input, {65536, 2 * max_body_bytes}) ==
                        read_result::complete)
                    {
                        self->write(self->reader.take());
                        return;
                    }
                    self->read();
                });
        }

        void
        write(const parsed_request& request)
        {
            const std::string* id = find_field(request.fields, "X-Request-Id");
            output = owner.reply_;
            const std::string mark = "@id@";
            const std::size_t at = output.find(mark);
            if (at != std::string::npos)
            {
                output.replace(at, mark.size(), id == nullptr ? "" : *id);
            }
            boost::asio::async_write(socket, boost::asio::buffer(output),
                [self = shared_from_this()](
                    boost::system::error_code error, std::size_t)
                {
                    if (!error)
                    {
                        self->read();
                    }
                });
        }

        plain_target& owner;
        tcp::socket socket;
        std::array<char, 16384> buffer{};
        std::string input;
        std::string output;
        request_reader reader;
    };

    void
    accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                const auto s =
                    std::make_shared<session>(*this, std::move(socket));
                if (reads_)
                {
                    s->read();
                }
                else
                {
                    unread_.push_back(s);
                }
                accept();
            });
    }

    std::string reply_;
    bool reads_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<session>> unread_;
};

/// Returns a reply that the target attests, with a body of `size` bytes. The
/// mark `@id@` stands for the request's id.
inline std::string
attested_reply(const std::string& status, std::size_t size)
{
    return "HTTP/1.1 " + status +
           " X\r\nX-Request-Id: @id@\r\nX-Response-Stamp: s\r\n"
           "Content-Length: " +
           std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
}

/// Store and targets of the process, on a thread of their own. The service
/// "faulty" has one target, whose replies have the given status; "mixed" has it
/// and a good one.
class process_surroundings
{
public:
    explicit process_surroundings(const std::string& faulty_status = "000")
        : store(loop_, 1),
          long_(loop_, attested_reply("200", long_body_bytes), true),
          small_(loop_, attested_reply("200", 2), true),
          unread_(loop_, {}, false),
          faulty_(loop_, attested_reply(faulty_status, 2), true)
    {
        register_target("long", "long-1", long_);
        register_target("small", "small-1", small_);
        register_target("unread", "unread-1", unread_);
        register_target("faulty", "faulty-1", faulty_);
        register_target("mixed", "mixed-1", faulty_);
        register_target("mixed", "mixed-2", small_);
        nlohmann::json routes = nlohmann::json::array();
        nlohmann::json rules = nlohmann::json::array();
        for (const std::string name :
            {"long", "small", "unread", "faulty", "mixed"})
        {
            routes.push_back({{"name", name}, {"host", "h.example"},
                {"pathPrefix", "/" + name}, {"routeType", "safe"},
                {"timeoutMs", 20000}, {"targetLatencyMs", 20000},
                {"service", name}, {"attempts", 2}, {"priority", 0}});
            rules.push_back({{"name", name}, {"healthPath", "/health"},
                {"maxConnections", 200}, {"warmupPerS", 1000}});
        }
        const nlohmann::json limits{{"maxHeaderBytes", 65536},
            {"maxBodyBytes", max_body_bytes}, {"headerTimeoutMs", 30000},
            {"idleTimeoutMs", 30000}};
        store.put("config", "main",
            {{"version", 1}, {"routes", routes}, {"services", rules},
                {"limits", limits}});
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~process_surroundings()
    {
        loop_.stop();
        thread_.join();
    }

private:
    void
    register_target(const std::string& service, const std::string& id,
        const plain_target& target)
    {
        store.put("servers", id,
            {{"service", service}, {"address", target.address()},
                {"zone", "north"}, {"version", "v1"}, {"slots", 64},
                {"state", "ready"}, {"warmupLeftMs", 0}, {"sequence", 1},
                {"born", 1700000000000}});
    }

    boost::asio::io_context loop_{1};

public:
    soak::stand_in_store store;

private:
    plain_target long_;
    plain_target small_;
    plain_target unread_;
    plain_target faulty_;
    std::thread thread_;
};

inline constexpr int slow_caller_port = 8080;

inline std::string
process_ip()
{
    const int id = ::getpid() % 60000;
    return "127.6." + std::to_string(id / 250) + "." +
           std::to_string(id % 250 + 1);
}

/// Waits for a condition. The limit fails a test that hangs.
inline bool
wait_for_condition(const std::function<bool()>& done)
{
    const auto limit = std::chrono::steady_clock::now() + 40s;
    while (!done() && std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(5ms);
    }
    return done();
}

/// The entry program with the limits of the test.
class limited_process
{
public:
    limited_process(const process_surroundings& around, rlim_t descriptors,
        const std::string& memory_settings)
        : path_((std::filesystem::temp_directory_path() /
                 ("slow-callers-" + std::to_string(::getpid()) + ".ini"))
                    .string())
    {
        const auto address = [](int port)
        { return process_ip() + ":" + std::to_string(port) + "\n"; };
        std::ofstream(path_, std::ios::trunc)
            << "[vm]\nid = vm-1\nzone = north\n[listen]\ncaller = "
            << address(slow_caller_port) << "readiness = " << address(8081)
            << "metrics = " << address(8082) << "peer = " << address(7000)
            << "[store]\naddress = " << around.store.address(0)
            << "\n[extra_load]\nslack = 1000\n[memory]\n"
            << memory_settings;
        start(descriptors);
    }

    ~limited_process()
    {
        if (!has_ended())
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove(path_);
    }

    bool
    has_ended()
    {
        ended_ = ended_ || ::waitpid(pid_, nullptr, WNOHANG) == pid_;
        return ended_;
    }

    /// Returns the largest resident size so far.
    std::size_t
    peak_mb() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
        const std::string name = "VmHWM:";
        std::string line;
        while (std::getline(in, line))
        {
            if (line.compare(0, name.size(), name) == 0)
            {
                return std::stoul(line.substr(name.size())) / 1024;
            }
        }
        return 0;
    }

    std::size_t
    open_descriptors() const
    {
        const std::filesystem::directory_iterator all(
            "/proc/" + std::to_string(pid_) + "/fd");
        return static_cast<std::size_t>(
            std::distance(begin(all), std::filesystem::directory_iterator()));
    }

private:
    void
    start(rlim_t descriptors)
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
        const rlimit limit{descriptors, descriptors};
        // The program must not inherit the sockets of the test.
        constexpr int first_own_descriptor = 3;
        constexpr int end_of_descriptors = 1024;
        for (int fd = first_own_descriptor; fd < end_of_descriptors; ++fd)
        {
            ::close(fd);
        }
        ::setrlimit(RLIMIT_NOFILE, &limit);
        static_cast<void>(std::freopen("/dev/null", "w", stdout));
        ::execl(program.c_str(), program.c_str(), "--settings", path_.c_str(),
            static_cast<char*>(nullptr));
        ::_exit(127);
    }

    std::string path_;
    pid_t pid_ = 0;
    bool ended_ = false;
};

/// Returns the bytes sent to the process's port for callers that it has not
/// read yet, in the buffers of both sides.
inline std::size_t
unread_bytes()
{
    const auto ip = boost::asio::ip::make_address_v4(process_ip());
    std::array<char, 16> end{};
    std::snprintf(end.data(), end.size(), "%08X:%04X", htonl(ip.to_uint()),
        static_cast<unsigned>(slow_caller_port));
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::size_t out = 0;
    while (std::getline(in, line))
    {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        const std::string established = "01";
        const std::size_t colon = queues.find(':');
        if (state != established || colon == std::string::npos)
        {
            continue;
        }
        if (local == end.data())
        {
            out += std::stoul(queues.substr(colon + 1), nullptr, 16);
        }
        else if (remote == end.data())
        {
            out += std::stoul(queues.substr(0, colon), nullptr, 16);
        }
    }
    return out;
}

/// Connection of a caller whose reads and writes a test makes step by step.
class raw_caller
{
public:
    raw_caller() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        REQUIRE(fd_ >= 0);
        // Small, so that little of an answer rests in the kernel.
        const int size = 4096;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        const tcp::endpoint to(boost::asio::ip::make_address(process_ip()),
            static_cast<std::uint16_t>(slow_caller_port));
        ::connect(fd_, to.data(), static_cast<socklen_t>(to.size()));
    }

    raw_caller(const raw_caller&) = delete;
    raw_caller&
    operator=(const raw_caller&) = delete;

    ~raw_caller()
    {
        ::close(fd_);
    }

    /// Waits up to `limit_ms` for an event of the socket.
    bool
    poll(short events, int limit_ms) const
    {
        pollfd p{fd_, events, 0};
        return ::poll(&p, 1, limit_ms) > 0;
    }

    /// Returns whether part of an answer, or the end, has arrived.
    bool
    has_input() const
    {
        return poll(POLLIN, 0);
    }

    /// Sends until all is sent or the process has taken nothing for a while.
    void
    send(const std::string& bytes, std::size_t piece)
    {
        constexpr int longest_wait_ms = 300;
        std::size_t sent = 0;
        while (sent < bytes.size() && poll(POLLOUT, longest_wait_ms))
        {
            const ssize_t n = ::send(fd_, bytes.data() + sent,
                std::min(piece, bytes.size() - sent), MSG_NOSIGNAL);
            if (n <= 0)
            {
                return;
            }
            sent += static_cast<std::size_t>(n);
        }
    }

    /// Reads at most `most` bytes of what has arrived.
    std::string
    receive(std::size_t most)
    {
        std::string out(most, '\0');
        const ssize_t n = ::recv(fd_, out.data(), most, 0);
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }

private:
    int fd_;
};

inline std::string
request_text(const std::string& path, std::size_t content_length = 0)
{
    return (content_length == 0 ? "GET " : "POST ") + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n" +
           (content_length == 0 ? std::string()
                                : "Content-Length: " +
                                      std::to_string(content_length) + "\r\n") +
           "\r\n";
}

/// Returns the status line of the answer to an ordinary caller, empty if none
/// comes soon.
inline std::string
ask_ordinary(const std::string& path = "/small", int longest_wait_ms = 500)
{
    raw_caller caller;
    caller.send(request_text(path), 4096);
    const std::string reply =
        caller.poll(POLLIN, longest_wait_ms) ? caller.receive(64) : "";
    return reply.substr(0, reply.find('\r'));
}

inline bool
serves_ordinary()
{
    return ask_ordinary() == "HTTP/1.1 200 OK";
}

} // namespace bramleymux::fixture
