#include "caller_connection.hpp"
#include "entry_fixture.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

constexpr std::string_view request_text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A connection of the server side with one caller, over loopback. Replies with
/// `reply` at once, or holds the request if `hold`.
struct connection_fixture
{
    explicit connection_fixture(duration idle_timeout)
        : acceptor(loop, tcp::endpoint(tcp::v4(), 0)),
          caller(loop,
              "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
    {
        caller_limits limits;
        limits.idle_timeout = idle_timeout;
        connection = std::make_shared<caller_connection>(acceptor.accept(),
            limits,
            connection_handlers{[this](parsed_request&&,
                                    const std::shared_ptr<caller_connection>& c)
                {
                    ++requests;
                    before_reply();
                    if (!hold)
                    {
                        c->answer(http_reply(reply));
                    }
                },
                [](input_fault) {
                    return http_reply{400, {}, {}};
                },
                [this](const connection_end& end) { ends.push_back(end); }});
        connection->start();
    }

    void
    set_idle_timeout(duration idle_timeout)
    {
        caller_limits limits;
        limits.idle_timeout = idle_timeout;
        connection->set_limits(limits);
    }

    /// Applies the timeouts as if `later` had passed.
    void
    tick_after(duration later)
    {
        connection->tick(monotonic_clock::now() + later);
    }

    boost::asio::io_context loop{1};
    tcp::acceptor acceptor;
    test_caller caller;
    std::shared_ptr<caller_connection> connection;
    http_reply reply{200, {}, "done"};
    std::function<void()> before_reply = [] {};
    bool hold = false;
    std::size_t requests = 0;
    std::vector<connection_end> ends;
};

} // namespace

// Guards against a close that loses a request without a trace in the log.
TEST_CASE("a connection reports input that it dropped", "[entry]")
{
    connection_fixture f(10s);
    f.connection->disable_keep_alive();
    f.caller.send(std::string(request_text));
    CHECK(!f.caller.reply().keep_alive);
    f.caller.send(std::string(request_text));
    f.caller.close();
    f.caller.run_until([&] { return !f.ends.empty(); });
    CHECK(f.ends.front().cause == close_cause::keep_alive_ended);
    CHECK(f.ends.front().dropped_bytes == request_text.size());
    CHECK(f.requests == 1);
}

// Guards against an end with a request in progress that looks like an orderly
// one.
TEST_CASE("a connection reports an end with a request in progress", "[entry]")
{
    connection_fixture f(10s);
    f.hold = true;
    f.caller.send(std::string(request_text));
    f.caller.run_until([&] { return f.requests == 1; });
    f.caller.close();
    f.caller.run_until([&] { return !f.ends.empty(); });
    CHECK(f.ends.front().cause == close_cause::caller_closed);
    CHECK(f.ends.front().handling);
    CHECK(f.ends.front().dropped_bytes == 0);
}

TEST_CASE("a request in the receive buffer is answered, not dropped, by an "
          "idle close",
    "[entry]")
{
    connection_fixture f(1s);
    SECTION("at the idle timeout") {}
    SECTION("at a stop")
    {
        f.connection->close_when_idle(1s);
    }
    f.caller.send(std::string(request_text));
    f.tick_after(5s);
    CHECK(f.caller.reply().body == "done");
    CHECK(f.requests == 1);
}

TEST_CASE(
    "a queued request is answered, not dropped, by an idle close", "[entry]")
{
    connection_fixture f(10s);
    f.before_reply = [&]
    {
        // Runs after the first reply, before the queued request is parsed.
        boost::asio::post(f.loop,
            [&]
            {
                f.connection->close_when_idle(1s);
                f.tick_after(5s);
            });
    };
    f.caller.send(std::string(request_text) + std::string(request_text));
    CHECK(f.caller.reply().body == "done");
    CHECK(f.caller.reply().body == "done");
}

TEST_CASE("a new connection is not closed by a stop before its first request",
    "[entry]")
{
    connection_fixture f(10s);
    f.connection->close_when_idle(1s);
    f.tick_after(0s);
    f.caller.send(std::string(request_text));
    CHECK(f.caller.reply().body == "done");
    f.caller.run_until([&] { return f.caller.closed; });
}

TEST_CASE("a request in the receive buffer is answered after a reply that ends "
          "keep-alive",
    "[entry]")
{
    connection_fixture f(10s);
    f.hold = true;
    f.caller.send(std::string(request_text));
    f.caller.run_until([&] { return f.requests == 1; });
    f.connection->disable_keep_alive();
    f.hold = false;
    f.caller.send(std::string(request_text));
    f.connection->answer(http_reply(f.reply));
    CHECK(f.caller.reply().body == "done");
    CHECK(f.caller.reply().body == "done");
}

TEST_CASE(
    "a request that has arrived whole is not refused as too slow", "[entry]")
{
    connection_fixture f(10s);
    f.caller.send(std::string(request_text.substr(0, 10)));
    f.caller.run_until([&] { return f.connection->is_receiving(); });
    f.caller.send(std::string(request_text.substr(10)));
    f.tick_after(6s);
    CHECK(f.caller.reply().status == 200);
}

TEST_CASE("new limits do not end a request that is being received", "[entry]")
{
    connection_fixture f(10s);
    f.caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    f.caller.run_until([&] { return f.connection->is_receiving(); });
    f.set_idle_timeout(1s);
    f.tick_after(2s);
    f.caller.send("cd");
    CHECK(f.caller.reply().status == 200);
}

TEST_CASE("a request that crosses an idle close is not read", "[entry]")
{
    connection_fixture f(1s);
    f.tick_after(5s);
    f.caller.send(std::string(request_text));
    f.caller.run_until([&] { return f.caller.closed; });
    f.caller.run_until([&] { return !f.ends.empty(); });
    CHECK(f.ends.front().cause == close_cause::idle_timeout);
    CHECK(f.ends.front().dropped_bytes == 0);
}

TEST_CASE(
    "an answer announces less than the time until the idle close", "[entry]")
{
    connection_fixture f(15s);
    const auto announced = [&]
    {
        f.caller.send(std::string(request_text));
        const http_reply reply = f.caller.reply();
        const std::string* field = find_field(reply.fields, "Keep-Alive");
        return field == nullptr ? std::string() : *field;
    };
    CHECK(announced() == "timeout=12");
    f.tick_after(13s);
    CHECK(f.connection->is_open());
    f.set_idle_timeout(5s);
    CHECK(announced() == "timeout=4");
    f.set_idle_timeout(900ms);
    CHECK(announced().empty());
    f.connection->disable_keep_alive();
    CHECK(announced().empty());
}

TEST_CASE("a longer idle timeout applies to a connection that is open already",
    "[entry]")
{
    connection_fixture f(1s);
    f.set_idle_timeout(10s);
    f.tick_after(5s);
    f.caller.send(std::string(request_text));
    CHECK(f.caller.reply().body == "done");
    f.tick_after(5s);
    CHECK(f.connection->is_open());
}

TEST_CASE("a shorter idle timeout does not cut the idle period that it meets",
    "[entry]")
{
    connection_fixture f(10s);
    f.set_idle_timeout(1s);
    f.tick_after(5s);
    f.caller.send(std::string(request_text));
    CHECK(f.caller.reply().body == "done");
    f.tick_after(5s);
    CHECK(!f.connection->is_open());
}

TEST_CASE("a slow reader gets the rest of its answer past the idle timeout",
    "[entry]")
{
    connection_fixture f(1s);
    f.reply.body.assign(16 * config::mib, 'x');
    f.before_reply = [&]
    { boost::asio::post(f.loop, [&] { f.tick_after(5s); }); };
    f.caller.send(std::string(request_text));
    CHECK(f.caller.reply().body == f.reply.body);
}

TEST_CASE(
    "a caller that reads nothing does not hold its answer for good", "[entry]")
{
    connection_fixture f(1s);
    f.reply.body.assign(16 * config::mib, 'x');
    f.before_reply = [&]
    { boost::asio::post(f.loop, [&] { f.tick_after(11s); }); };
    f.caller.send(std::string(request_text));
    f.caller.run_until([&] { return !f.ends.empty(); });
    CHECK(f.ends.front().cause == close_cause::write_timeout);
    CHECK(f.ends.front().unsent_bytes > 0);
}

TEST_CASE("a caller that closed its sending side gets the rest of its answer",
    "[entry]")
{
    connection_fixture f(10s);
    f.reply.body.assign(16 * config::mib, 'x');
    f.before_reply = [&]
    { boost::asio::post(f.loop, [&] { f.caller.close_sending(); }); };
    f.caller.send(std::string(request_text));
    CHECK(f.caller.reply().body == f.reply.body);
    f.caller.run_until([&] { return !f.connection->is_open(); });
}

TEST_CASE("a desired state with a longer idle timeout keeps connections open",
    "[entry]")
{
    entry_vm vm;
    caller_limits limits;
    limits.idle_timeout = 50ms;
    vm.adopt(1, {}, limits);
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/unknown/1", "r1"));
    CHECK(caller.reply().keep_alive);
    limits.idle_timeout = 60s;
    vm.adopt(2, {}, limits);
    const auto end = monotonic_clock::now() + 200ms;
    caller.run_until([&] { return monotonic_clock::now() > end; });
    caller.send(get("/unknown/1", "r2"));
    CHECK(caller.reply().keep_alive);
}
