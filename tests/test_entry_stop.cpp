#include "entry_fixture.hpp"

#include <thread>

using namespace bramleymux;
using namespace bramleymux::fixture;

// Guards against a stop that drops a running request or leaves a connection
// open.
TEST_CASE("a stop answers running requests and then ends", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r)
        {
            scripted_reply out = good(r, "p", "done");
            out.wait = 100ms;
            return out;
        });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller busy(vm.loop, vm.caller_address());
    test_caller idle(vm.loop, vm.caller_address());
    busy.send(get("/q/1", "r1"));
    busy.run_until([&] { return a.received.size() == 1; });
    bool ended = false;
    vm.server.stop([&] { ended = true; });
    test_caller prober(vm.loop, vm.server.addresses().at(1));
    prober.send("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(prober.reply().status == 503);
    const http_reply reply = busy.reply();
    CHECK(reply.body == "done");
    CHECK(!reply.keep_alive);
    idle.run_until([&] { return idle.closed; });
    prober.close();
    idle.run_until([&] { return ended; });
}

// Guards against requests that a stop cuts off although they were accepted
// before or while it began: half read, queued behind another one, or on a new
// connection.
TEST_CASE("requests accepted around a stop are answered", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r)
        {
            scripted_reply out = good(r, "p", "done");
            out.wait = 20ms;
            return out;
        });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller half(vm.loop, vm.caller_address());
    const std::string request = get("/w/1", "r1");
    half.send(request.substr(0, request.size() / 2));
    test_caller queued(vm.loop, vm.caller_address());
    queued.send(get("/w/1", "r2") + get("/w/1", "r3"));
    queued.run_until([&] { return a.received.size() == 1; });
    bool stopped = false;
    vm.server.stop([&] { stopped = true; });
    test_caller late(vm.loop, vm.caller_address());
    late.send(get("/w/1", "r4"));
    half.send(request.substr(request.size() / 2));
    CHECK(queued.reply().status == 200);
    CHECK(queued.reply().status == 200);
    CHECK(half.reply().status == 200);
    CHECK(late.reply().status == 200);
    late.run_until([&] { return stopped; });
}

TEST_CASE("a request in the listen backlog is not reset by the end of a stop",
    "[entry]")
{
    entry_vm vm({50ms, 30s});
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "p", "done"); });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    bool stopped = false;
    vm.server.stop([&] { stopped = true; });
    std::this_thread::sleep_for(100ms);
    test_caller late(vm.loop, vm.caller_address());
    late.send(get("/q/1", "r1"));
    vm.server.tick();
    CHECK(!stopped);
    CHECK(late.reply().body == "done");
    late.run_until([&] { return stopped; });
}

TEST_CASE(
    "a request that runs until the process exits gets an answer", "[entry]")
{
    entry_vm vm({50ms, 100ms});
    stand_in_target a(vm.loop, "ta", unresponsive);
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/w/1", "r1"));
    caller.run_until([&] { return a.received.size() == 1; });
    bool stopped = false;
    std::uint64_t answered_at_exit = 0;
    vm.server.stop(
        [&]
        {
            stopped = true;
            answered_at_exit = vm.counters.read()[counter::failed_unknown];
        });
    caller.run_until([&] { return stopped; });
    CHECK(answered_at_exit == 1);
    const http_reply reply = caller.reply();
    CHECK(reply.status == 504);
    CHECK(reply.body.find("\"unknown\"") != std::string::npos);
}

TEST_CASE("a request that arrives as the process exits is refused as not run",
    "[entry]")
{
    entry_vm vm({50ms, 100ms});
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "p", "done"); });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller kept(vm.loop, vm.caller_address());
    vm.loop.poll();
    bool stopped = false;
    vm.server.stop([&] { stopped = true; });
    std::this_thread::sleep_for(150ms);
    kept.send(get("/w/1", "r1"));
    test_caller late(vm.loop, vm.caller_address());
    late.send(get("/w/1", "r2"));
    vm.server.tick();
    CHECK(stopped);
    CHECK(kept.reply().status == 503);
    CHECK(late.reply().status == 503);
    CHECK(a.received.empty());
}

// Guards against an unknown outcome that a refusal on arrival would have
// spared.
TEST_CASE(
    "a request that may not finish before the exit is not sent", "[entry]")
{
    entry_vm vm({50ms, 500ms});
    duration wait{};
    stand_in_target a(vm.loop, "ta",
        [&](const parsed_request& r)
        {
            scripted_reply out = good(r, "p", "done");
            out.wait = wait;
            return out;
        });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    // One reply in ten takes more than half of the time that a stop has.
    for (int i = 0; i < 40; ++i)
    {
        wait = i % 10 == 9 ? 300ms : duration::zero();
        caller.send(post("/w/1", "r1", "x"));
        REQUIRE(caller.reply().status == 200);
    }
    const std::size_t sent_before = a.received.size();
    wait = 10s;
    bool stopped = false;
    vm.server.stop([&] { stopped = true; });
    caller.send(post("/w/1", "r2", "x"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 503);
    CHECK(reply.body.find("\"not_run\"") != std::string::npos);
    CHECK(a.received.size() == sent_before);
    caller.run_until([&] { return stopped; });
}

// Guards against an unknown outcome of a request that had not run so far.
TEST_CASE(
    "a rejected request is not sent again shortly before the exit", "[entry]")
{
    entry_vm vm({50ms, 2400ms});
    bool first = true;
    const auto script = [&](const parsed_request& r) -> scripted_reply
    {
        const bool reject = std::exchange(first, false);
        scripted_reply out =
            reject ? scripted_reply{http_text(503, "X-Not-Executed: 1\r\n", "")}
                   : good(r, "p", "done");
        out.wait = reject ? duration(500ms) : duration(10s);
        return out;
    };
    stand_in_target a(vm.loop, "ta", script);
    stand_in_target b(vm.loop, "tb", script);
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "north"));
    // Without latency samples, a quarter of this is the expected latency.
    route_rule route = entry_vm::make_route("w", {"s"}, false, false);
    route.target_latency = 8s;
    route.timeout = 20s;
    vm.adopt(1, {route});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(post("/w/1", "r1", "x"));
    caller.run_until(
        [&] { return a.received.size() + b.received.size() == 1; });
    bool stopped = false;
    vm.server.stop([&] { stopped = true; });
    CHECK(caller.reply().status == 503);
    CHECK(a.received.size() + b.received.size() == 1);
    caller.run_until([&] { return stopped; });
}
