#include "call_channel.hpp"
#include "manual_target.hpp"
#include "store_feed.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

/// Returns a reply with the body "body of ID" to the request with that id.
std::string
reply_to(const std::string& id, int status = 200, bool with_body = true)
{
    const std::string body = "body of " + id;
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + id +
           "\r\nX-Response-Stamp: p-" + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           (with_body ? body : "");
}

std::string
stamp_of(const http_reply& reply)
{
    const std::string* stamp = find_field(reply.fields, "X-Response-Stamp");
    return stamp == nullptr ? std::string() : *stamp;
}

/// Returns a request with a body and an hour to be answered.
std::string
request(const std::string& id)
{
    return "POST /q/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 3600000\r\nContent-Length: 1\r\n\r\nx";
}

/// An entry VM with one target and a caller, whose request "r1" was answered
/// over a connection that is kept.
struct kept_connection
{
    explicit kept_connection(bool idempotent) : target(vm.loop)
    {
        vm.pool.put(target.record("ta", "s"));
        route_rule route = entry_vm::make_route("q", {"s"}, false, idempotent);
        route.timeout = 1h;
        vm.adopt(1, {route});
        caller.send(request("r1"));
        target.write(next_request(), reply_to("r1"));
        CHECK(caller.reply().body == "body of r1");
    }

    /// Returns the connection on which the next request arrives.
    std::size_t
    next_request()
    {
        caller.run_until([this] { return target.has_input(); });
        return target.read();
    }

    entry_vm vm;
    manual_target target;
    test_caller caller{vm.loop, vm.caller_address()};
};

/// What arrives on a kept connection before the reply to its next request.
struct late_bytes
{
    std::string name;
    std::string method; ///< of the first request
    std::string first;  ///< reply to the first request, "r1"
    std::string late;   ///< precedes the reply to the second request, "r2"
};

} // namespace

// Guards against a 502 for a request sent after the end of its connection.
TEST_CASE(
    "a request is not sent on a connection that the target closed", "[entry]")
{
    const bool reset = GENERATE(false, true);
    CAPTURE(reset);
    kept_connection kept(false);
    // Both arrive before the event loop runs again, the request first.
    kept.caller.send(request("r2"));
    reset ? kept.target.reset(0) : kept.target.close(0);
    const std::size_t next = kept.next_request();
    CHECK(next == 1);
    kept.target.write(next, reply_to("r2"));
    const http_reply reply = kept.caller.reply();
    CHECK(reply.status == 200);
    CHECK(reply.body == "body of r2");
}

// Guards against bytes that arrived earlier, taken as the next reply.
TEST_CASE("a request is not sent on a connection with unread bytes", "[entry]")
{
    kept_connection kept(false);
    kept.caller.send(request("r2"));
    kept.target.write(0, "HTTP/1.1 200 X\r\nX-Response-Stamp: p\r\n"
                         "Content-Length: 5\r\n\r\nextra");
    const std::size_t next = kept.next_request();
    CHECK(next == 1);
    kept.target.write(next, reply_to("r2"));
    CHECK(kept.caller.reply().body == "body of r2");
}

// Guards against a failure, a second run or a false "not run".
TEST_CASE("a request that crosses the close of a kept connection", "[entry]")
{
    const bool idempotent = GENERATE(false, true);
    CAPTURE(idempotent);
    kept_connection kept(idempotent);
    stand_in_target other(kept.vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "other"); });
    kept.vm.pool.put(other.record("s", "far"));
    kept.caller.send(request("r2"));
    kept.target.close(kept.next_request());
    const http_reply reply = kept.caller.reply();
    CHECK(reply.status == (idempotent ? 200 : 502));
    CHECK(other.received.size() == (idempotent ? 1 : 0));
    CHECK(kept.target.connections() == 1);
}

// Guards against a late copy or stray bytes, passed to the next caller.
TEST_CASE("late bytes on a connection in use reach no caller", "[entry]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string copy = reply_to("r1");
    const std::string head = reply_to("r1", 200, false);
    const std::string no_content =
        "HTTP/1.1 204 X\r\nX-Request-Id: r1\r\nX-Response-Stamp: p-r1\r\n\r\n";
    const std::string unchanged = reply_to("r1", 304, false);
    const std::string unnamed = "HTTP/1.1 200 X\r\nX-Response-Stamp: p\r\n"
                                "Content-Length: 5\r\n\r\nextra";
    const std::vector<late_bytes> cases{
        {"copy", "GET", copy, copy},
        {"two copies", "GET", copy, copy + copy},
        {"copy after an interim reply", "GET", interim + copy, interim + copy},
        {"interim reply after the copy", "GET", copy, copy + interim},
        {"copy without an id", "GET", copy, unnamed},
        {"204", "GET", no_content, no_content},
        {"204, stray body", "GET", no_content, "stray"},
        {"204, stray chunk", "GET", no_content, "5\r\nstray\r\n0\r\n\r\n"},
        {"204, copy with a body", "GET", no_content, copy},
        {"304", "GET", unchanged, unchanged},
        {"304, body after all", "GET", unchanged, "body of r1"},
        {"HEAD", "HEAD", head, head},
        {"HEAD, body after all", "HEAD", head, "body of r1"},
        {"HEAD, copy with a body", "HEAD", head, copy},
    };
    for (const late_bytes& c : cases)
    {
        CAPTURE(c.name);
        entry_vm vm;
        stand_in_target a(vm.loop, "ta",
            [&](const parsed_request& r) -> scripted_reply
            {
                const std::string id = header_value(r, "X-Request-Id");
                return {id == "r1"   ? c.first
                        : id == "r2" ? c.late + reply_to(id)
                                     : reply_to(id)};
            });
        // Serves a retry after bytes that cannot be parsed.
        stand_in_target b(vm.loop, "tb",
            [](const parsed_request& r) -> scripted_reply
            { return {reply_to(header_value(r, "X-Request-Id"))}; });
        vm.pool.put(a.record("s", "north"));
        vm.pool.put(b.record("s", "far"));
        vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
        test_caller caller(vm.loop, vm.caller_address());
        std::string first = get("/q/1", "r1");
        first.replace(0, 3, c.method);
        caller.send(first);
        CHECK(stamp_of(caller.reply(c.method == "HEAD")) == "p-r1");
        for (const std::string id : {"r2", "r3"})
        {
            caller.send(get("/q/1", id));
            const http_reply reply = caller.reply();
            CHECK(reply.status == 200);
            CHECK(stamp_of(reply) == "p-" + id);
            CHECK(reply.body == "body of " + id);
        }
        CHECK(a.received.size() >= 2);
    }
}

// Guards against a second run: the copy carries no request id.
TEST_CASE("a late copy of a probe's rejection rejects no request", "[entry]")
{
    kept_connection kept(false);
    const std::string rejection = http_text(503, "X-Not-Executed: 1\r\n", "");
    kept.caller.send(request("r2"));
    const std::size_t silent = kept.next_request();
    // The VM probes a target that has been silent for too long.
    const std::size_t probe = kept.next_request();
    REQUIRE(kept.target.input.find("X-Request-Id") == std::string::npos);
    kept.target.write(silent, reply_to("r2"));
    CHECK(kept.caller.reply().body == "body of r2");
    kept.target.write(probe, rejection);
    kept.caller.run_until([&] { return kept.vm.pool.is_served("s", {}); });
    stand_in_target other(kept.vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "second run"); });
    kept.caller.send(request("r3"));
    const std::size_t next = kept.next_request();
    kept.vm.pool.put(other.record("s", "far"));
    kept.target.write(next, (next == probe ? rejection : "") + reply_to("r3"));
    CHECK(kept.caller.reply().body == "body of r3");
    CHECK(other.received.empty());
}

// Guards against a second run of a request that a late copy of an earlier
// rejection, without an id, makes appear as not run.
TEST_CASE("a late rejection without an id rejects no request", "[entry]")
{
    kept_connection kept(false);
    stand_in_target other(kept.vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "second run"); });
    kept.vm.pool.put(other.record("s", "far"));
    kept.caller.send(request("r2"));
    kept.target.write(kept.next_request(),
        http_text(503, "X-Not-Executed: 1\r\n", "") + reply_to("r2"));
    // The request may have run, which neither 503 nor a second run allows.
    CHECK(kept.caller.reply().status == 502);
    CHECK(other.received.empty());
}

// Guards against the reply to a hedged send, passed to the next caller.
TEST_CASE("the late reply of an abandoned send reaches no caller", "[entry]")
{
    kept_connection kept(true);
    stand_in_target other(kept.vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "hedge"); });
    kept.vm.pool.put(other.record("s", "far"));
    kept.caller.send(request("r2"));
    const std::size_t slow = kept.next_request();
    CHECK(kept.caller.reply().body == "hedge");
    kept.target.write(slow, reply_to("r2"));
    kept.vm.pool.remove("tb");
    const target_state* state = nullptr;
    kept.caller.run_until(
        [&]
        {
            state = kept.vm.pool.choose("s", {});
            return state != nullptr && state->record.id == "ta" &&
                   state->running.empty();
        });
    kept.caller.send(request("r3"));
    const std::size_t next = kept.next_request();
    kept.target.write(next, reply_to("r2") + reply_to("r3"));
    const http_reply reply = kept.caller.reply();
    CHECK(reply.status == 200);
    CHECK(reply.body == "body of r3");
    CHECK(stamp_of(reply) == "p-r3");
}

// Guards against a reply that ends early and is passed on as complete.
TEST_CASE("a reply that is cut anywhere is not a success", "[entry]")
{
    const std::string head = "HTTP/1.1 200 X\r\nX-Request-Id: r\r\n"
                             "X-Response-Stamp: p\r\n";
    struct framing
    {
        std::string reply;
        bool ends_with_connection; ///< only a reset shows the cut of its body
    };
    const std::vector<framing> framings{
        {head + "Content-Length: 10\r\n\r\n0123456789", false},
        {head + "Transfer-Encoding: chunked\r\n\r\n"
                "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
            false},
        {head + "Transfer-Encoding: chunked\r\n\r\n"
                "a\r\n0123456789\r\n0\r\nX-Late: 1\r\n\r\n",
            false},
        {head + "\r\n0123456789", true},
    };
    entry_vm vm;
    scripted_reply script;
    stand_in_target a(
        vm.loop, "ta", [&](const parsed_request&) { return script; });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    for (const framing& f : framings)
    {
        for (const bool reset : {false, true})
        {
            // The end of the connection completes a body without a length.
            const std::size_t first_whole = !f.ends_with_connection
                                                ? f.reply.size()
                                            : reset ? f.reply.size() + 1
                                                    : head.size() + 2;
            for (std::size_t length = 0; length < first_whole; ++length)
            {
                CAPTURE(f.reply, reset, length);
                script = {f.reply.substr(0, length), !reset, reset};
                caller.send(get("/q/1", "r"));
                REQUIRE(caller.reply().status == 502);
            }
        }
        script = {f.reply, f.ends_with_connection};
        caller.send(get("/q/1", "r"));
        REQUIRE(caller.reply().body == "0123456789");
    }
}

namespace
{

/// A call channel to a server, whose first call was answered over a connection
/// that is kept.
struct kept_channel
{
    kept_channel() : server(parts.loop), channel(parts.loop, server.address())
    {
        call(false);
        serve();
        wait();
        CHECK(reply.status == 200);
    }

    void
    call(bool repeatable)
    {
        done = false;
        call_request request{"GET", "/x", {}, {}};
        request.repeatable = repeatable;
        channel.call(request, 1h,
            [this](call_reply&& r)
            {
                reply = std::move(r);
                done = true;
            });
    }

    /// Replies to the next request. Returns its connection.
    std::size_t
    serve()
    {
        runner.run_until([this] { return server.has_input() || done; });
        REQUIRE(!done);
        const std::size_t at = server.read();
        server.write(at, http_text(200, "", "ok"));
        return at;
    }

    void
    wait()
    {
        runner.run_until([this] { return done; });
    }

    entry_vm parts;
    manual_target server;
    call_channel channel;
    test_caller runner{parts.loop, parts.caller_address()};
    call_reply reply;
    bool done = false;
};

} // namespace

// Guards against a call sent after the end of its connection arrived.
TEST_CASE("a call is not sent on a connection that was closed", "[entry]")
{
    kept_channel kept;
    kept.server.close(0);
    kept.call(false);
    CHECK(kept.serve() == 1);
    kept.wait();
    CHECK(kept.reply.status == 200);
}

// Guards against a needless failure, and against a write that runs twice.
TEST_CASE("a call that crosses the close of its connection", "[entry]")
{
    const bool repeatable = GENERATE(false, true);
    CAPTURE(repeatable);
    kept_channel kept;
    kept.call(repeatable);
    kept.runner.run_until([&] { return kept.server.has_input(); });
    kept.server.close(kept.server.read());
    if (repeatable)
    {
        CHECK(kept.serve() == 1);
    }
    kept.wait();
    CHECK(kept.reply.status == (repeatable ? 200 : 0));
    CHECK(!kept.reply.unsent);
    CHECK(kept.server.requests == (repeatable ? 3 : 2));
}

// Guards against endless repeats, and against a sent call called unsent.
TEST_CASE("a call is repeated once at most", "[entry]")
{
    kept_channel kept;
    kept.call(true);
    for (std::size_t i = 0; i < 2; ++i)
    {
        kept.runner.run_until(
            [&] { return kept.server.has_input() || kept.done; });
        REQUIRE(!kept.done);
        CHECK(kept.server.read() == i);
        kept.server.close(i);
    }
    kept.wait();
    CHECK(kept.reply.status == 0);
    CHECK(!kept.reply.unsent);
    CHECK(kept.server.requests == 3);
}

// Guards against a back-off, and refused polls of followers, for one close.
TEST_CASE(
    "a poll that crosses the close of the store's connection is no outage",
    "[platform]")
{
    entry_vm parts;
    std::size_t calls = 0;
    stand_in_target store(parts.loop, "store",
        [&](const parsed_request&) -> scripted_reply
        {
            ++calls;
            return calls % 3 == 0
                       ? scripted_reply{"", true}
                       : scripted_reply{http_text(200, "",
                             R"({"items":[],"hasMore":false,"at":5})")};
        });
    change_hub hub(parts.loop, parts.counters, parts.log, "vm-1", "north",
        {"rollouts"}, {[](const store_change&) {}, [](bool) {}});
    platform::store_feed feed(parts.loop, store.address(), parts.counters,
        parts.log, {"rollouts", {}, 1ms}, hub);
    feed.start();
    test_caller runner(parts.loop, parts.caller_address());
    runner.run_until([&] { return calls >= 10; });
    feed.stop();
    CHECK(parts.counters.read()[counter::platform_failures] == 0);
}
