#pragma once

#include "caller_connection.hpp"
#include "entry_server.hpp"
#include "platform_wire.hpp"
#include "stand_in_target.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <deque>
#include <functional>
#include <map>

/// Fixture with an entry VM and stand-in targets on one event loop, connected
/// over loopback and without the platform's store. Tests wait for conditions
/// instead of fixed times.
namespace bramleymux
{

namespace fixture
{

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

/// Caller with one connection to an entry VM.
class test_caller
{
public:
    test_caller(boost::asio::io_context& loop, const std::string& address)
        : loop_(loop), socket_(loop)
    {
        const std::size_t colon = address.rfind(':');
        socket_.connect({boost::asio::ip::make_address(
                             address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
        read();
    }

    void
    send(const std::string& bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    /// Sends more than the kernel takes at once, while the loop runs.
    void
    send_async(std::string bytes)
    {
        const auto kept = std::make_shared<std::string>(std::move(bytes));
        boost::asio::async_write(socket_, boost::asio::buffer(*kept),
            [kept](boost::system::error_code, std::size_t) {});
    }

    void
    close()
    {
        socket_.close();
    }

    void
    close_sending()
    {
        socket_.shutdown(tcp::socket::shutdown_send);
    }

    /// Runs the loop until the next reply and returns it. Fails the test if
    /// there is none.
    http_reply
    reply(bool bodiless = false)
    {
        bodiless_ = bodiless;
        run_until([this] { return parse() || closed; });
        REQUIRE(!replies_.empty());
        http_reply out = std::move(replies_.front());
        replies_.pop_front();
        return out;
    }

    /// Runs the loop until the condition holds.
    void
    run_until(const std::function<bool()>& done)
    {
        // Fails a test that hangs; no expectation depends on the limit.
        const auto limit = monotonic_clock::now() + 30s;
        while (!done() && monotonic_clock::now() < limit)
        {
            loop_.run_one_for(5ms);
            loop_.restart();
        }
        REQUIRE(done());
    }

    bool closed = false;

private:
    bool
    parse()
    {
        while (!input_.empty() && reader_.read(input_, {65536, 1 << 25},
                                      bodiless_) == read_result::complete)
        {
            replies_.push_back(reader_.take());
        }
        return !replies_.empty();
    }

    void
    read()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
            [this](boost::system::error_code error, std::size_t n)
            {
                if (error)
                {
                    closed = true;
                    return;
                }
                input_.append(buffer_.data(), n);
                read();
            });
    }

    boost::asio::io_context& loop_;
    tcp::socket socket_;
    std::array<char, 4096> buffer_{};
    std::string input_;
    reply_reader reader_;
    bool bodiless_ = false;
    std::deque<http_reply> replies_;
};

/// Entry VM "vm-1" in zone "north", built of the production components.
struct entry_vm
{
    explicit entry_vm(stop_times times = {200ms, 400ms})
        : null_device(::open("/dev/null", O_WRONLY)), log("vm-1", null_device),
          random(1), pool(loop, platform::wire(), counters, log,
                         {"north", {0.2, 100.0, 10s}, 3s}),
          delegates(loop, counters, log, "vm-1", "north"), context{loop, pool,
                                                               delegates,
                                                               platform::wire(),
                                                               counters, log,
                                                               routes, random},
          server(context, times)
    {
        pool.set_vms({1, {}, 0.0});
        REQUIRE(server.listen("127.0.0.1:0", "127.0.0.1:0", "", "127.0.0.1:0"));
        tick();
    }

    ~entry_vm()
    {
        ::close(null_device);
    }

    void
    tick()
    {
        pool.tick();
        delegates.tick();
        server.tick();
        timer.expires_after(10ms);
        timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    tick();
                }
            });
    }

    /// Returns a route that gathers from all `services` as shards, or one to
    /// the first of them.
    static route_rule
    make_route(const std::string& name, std::vector<std::string> services,
        bool gather, bool idempotent)
    {
        route_rule out;
        out.name = name;
        out.host = "h.example";
        out.prefix = "/" + name + "/";
        out.idempotent = idempotent;
        out.timeout = 5s;
        out.target_latency = 1s;
        out.attempts = 2;
        out.result_limit = 3;
        out.min_coverage = 0.5;
        if (gather)
        {
            out.shards = std::move(services);
        }
        else
        {
            out.shares = {{services.front(), 1.0}};
        }
        return out;
    }

    /// Adopts a desired state and makes the VM ready.
    void
    adopt(std::uint64_t version, std::vector<route_rule> rules,
        const caller_limits& limits = {})
    {
        desired_state state;
        state.version = version;
        state.routes = std::move(rules);
        state.limits = limits;
        server.adopt(std::make_shared<const desired_state>(std::move(state)));
        server.set_synced(true);
    }

    std::string
    caller_address() const
    {
        return server.addresses().at(0);
    }

    boost::asio::io_context loop{1};
    int null_device;
    metrics counters;
    decision_log log;
    std::mt19937_64 random;
    std::unordered_map<std::string, route_stats> routes;
    target_pool pool;
    gather_delegates delegates;
    entry_context context;
    entry_server server;
    boost::asio::steady_timer timer{loop};
};

/// Returns a GET request with the request id `id`.
inline std::string
get(const std::string& path, const std::string& id,
    const std::string& more = "X-Deadline-Ms: 4000\r\n")
{
    return "GET " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n" +
           more + "\r\n";
}

/// Returns a POST request with the request id `id`.
inline std::string
post(const std::string& path, const std::string& id, const std::string& body)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 4000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace fixture

} // namespace bramleymux
