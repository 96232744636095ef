#include "config.hpp"
#include "entry_fixture.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

/// Returns a record of 16 bytes, ordered by `key`.
std::string
record(char key)
{
    return std::string(15, '0') + key;
}

/// Returns a header of a reply; empty when absent.
std::string
value_of(const http_reply& reply, const std::string& name)
{
    const std::string* value = find_field(reply.fields, name);
    return value == nullptr ? std::string() : *value;
}

/// Refuses any request without running it.
scripted_reply
shed(const parsed_request&)
{
    return {http_text(503, "X-Not-Executed: 1\r\n", "")};
}

} // namespace

// Guards against a result that is delivered from within `send`: a query that
// had sent its answer then sent it again, which ended the process.
TEST_CASE("a send delivers its result asynchronously", "[entry]")
{
    entry_vm vm;
    stand_in_target target(vm.loop, "t1",
        [](const parsed_request& r) { return good(r, "p1", "x"); });
    vm.pool.put(target.record("s", "north"));
    test_caller runner(vm.loop, vm.caller_address());
    const auto order = [](int& delivered, const std::string& bytes)
    {
        send_order out;
        out.write = [bytes](const std::string&) { return bytes; };
        out.done = [&delivered](send_result&&) { ++delivered; };
        return out;
    };
    int first = 0;
    vm.pool.send(*vm.pool.choose("s", {}),
        order(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    CHECK(first == 0);
    runner.run_until([&] { return first == 1; });

    // The connection is idle now, so the request is written at once. An empty
    // request withdraws the send.
    int withdrawn = 0;
    vm.pool.send(*vm.pool.choose("s", {}), order(withdrawn, ""));
    CHECK(withdrawn == 0);
    runner.run_until([&] { return withdrawn == 1; });
}

// Guards against merged answers that lose, duplicate or misorder records.
TEST_CASE("an answer merges the greatest records of all shards", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r)
        { return good(r, "pa", record('1') + record('5') + "tail"); });
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r)
        { return good(r, "pb", record('5') + record('3')); });
    vm.pool.put(a.record("sa", "north"));
    vm.pool.put(b.record("sb", "south"));
    vm.adopt(1, {entry_vm::make_route("q", {"sa", "sb"}, true, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 200);
    CHECK(reply.body == record('5') + record('5') + record('3'));
    CHECK(value_of(reply, "X-Part-Stamps") == "pa, pb");
    CHECK(value_of(reply, "X-Missing-Parts").empty());
    CHECK(header_value(a.received.at(0), "X-Expect-Instance") == "ta");
    CHECK(std::stoi(header_value(a.received.at(0), "X-Deadline-Ms")) <= 4000);
}

// Guards against a partial answer that does not state how many shards are
// missing.
TEST_CASE("a shard without a target is counted as missing", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "pa", record('1')); });
    vm.pool.put(a.record("sa", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"sa", "sb"}, true, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 200);
    CHECK(value_of(reply, "X-Missing-Parts") == "1");
}

// Guards against an error reply of a target that is merged as a shard's part.
TEST_CASE("an error reply with a proof is not merged", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request&) -> scripted_reply
        { return {http_text(500, "X-Response-Stamp: bad\r\n", record('9'))}; });
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", record('3')); });
    vm.pool.put(a.record("sa", "north"));
    vm.pool.put(b.record("sb", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"sa", "sb"}, true, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 200);
    CHECK(value_of(reply, "X-Part-Stamps") == "pb");
    CHECK(reply.body == record('3'));
}

// Guards against a duplicate of the previous reply that is taken for the reply
// to the next request on the connection.
TEST_CASE("a reply to another request is skipped", "[entry]")
{
    entry_vm vm;
    std::string previous_reply;
    stand_in_target a(vm.loop, "ta",
        [&](const parsed_request& r)
        {
            scripted_reply out = good(r, "p-" + header_value(r, "X-Request-Id"),
                "body of " + header_value(r, "X-Request-Id"));
            out.bytes = previous_reply + out.bytes;
            previous_reply = out.bytes;
            return out;
        });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    CHECK(caller.reply().body == "body of r1");
    caller.send(get("/q/1", "r2"));
    const http_reply second = caller.reply();
    CHECK(second.body == "body of r2");
    CHECK(value_of(second, "X-Response-Stamp") == "p-r2");
}

// Guards against bytes after a complete reply that are read as the reply to the
// next request on the connection.
TEST_CASE(
    "a connection with extra bytes after a reply is not reused", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r)
        {
            scripted_reply out = good(r, "p", "whole");
            out.bytes += "HTTP/1.1 200 X\r\nContent-Length: 5\r\n"
                         "X-Response-Stamp: q\r\n\r\nextra";
            return out;
        });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    for (int i = 0; i < 3; ++i)
    {
        caller.send(get("/q/1", "r" + std::to_string(i)));
        CHECK(caller.reply().body == "whole");
    }
    CHECK(a.connections == 3);
}

// Guards against a truncated reply that is passed to the caller as complete.
TEST_CASE(
    "a truncated reply is retried at another target or reported", "[entry]")
{
    const auto truncated = [](const parsed_request&) -> scripted_reply
    {
        return {"HTTP/1.1 200 X\r\nX-Response-Stamp: p\r\n"
                "Content-Length: 100\r\n\r\nhalf",
            true};
    };
    entry_vm vm;
    stand_in_target a(vm.loop, "ta", truncated);
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "whole"); });
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "far"));
    vm.pool.put(a.record("lone", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    // "ta" moved to "lone" by its last registration, so only "tb" serves "s".
    caller.send(get("/q/1", "r1"));
    CHECK(caller.reply().body == "whole");

    vm.adopt(2, {entry_vm::make_route("q", {"lone"}, false, true)});
    caller.send(get("/q/1", "r2"));
    CHECK(caller.reply().status == 502);
}

// Guards against a second run of a non-idempotent request whose reply was lost,
// and against a reply that claims that the request did not run.
TEST_CASE(
    "a non-idempotent request is not resent after a lost reply", "[entry]")
{
    entry_vm vm;
    const auto lost = [](const parsed_request&) -> scripted_reply {
        return {"", false, true};
    };
    stand_in_target a(vm.loop, "ta", lost);
    stand_in_target b(vm.loop, "tb", lost);
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(post("/w/1", "r1", "promotion"));
    CHECK(caller.reply().status == 502);
    CHECK(a.received.size() + b.received.size() == 1);
}

// Guards against a request that fails although another target would run it.
TEST_CASE("a request that one target sheds is sent to another", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta", shed);
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", r.body); });
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "far"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(post("/w/1", "r1", "promotion"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 200);
    CHECK(reply.body == "promotion");
    CHECK(a.received.size() == 1);
}

// Guards against a 503 without a Retry-After field, and against a 502 where no
// target ran the request.
TEST_CASE("a request that ran nowhere is refused with a retry time", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta", shed);
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(post("/w/1", "r1", "promotion"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 503);
    CHECK(!value_of(reply, "Retry-After").empty());
}

// Guards against a shard that is missing because its first target never
// replies.
TEST_CASE("a shard whose target never replies is hedged at another", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta", unresponsive);
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", record('3')); });
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "far"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, true, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 200);
    CHECK(value_of(reply, "X-Part-Stamps") == "pb");
    // The connection of the abandoned send is closed, so that the target stops
    // its work.
    caller.run_until([&] { return a.closed_by_peer == 1; });
}

// Guards against work at a target that continues after its caller disconnected.
TEST_CASE("a caller that disconnects ends its work at the target", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta", unresponsive);
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    caller.run_until([&] { return a.received.size() == 1; });
    caller.close();
    caller.run_until([&] { return a.closed_by_peer == 1; });
    CHECK(vm.counters.read()[counter::requests_gave_up] == 1);
}

// Guards against further requests to an address that another process has taken
// over.
TEST_CASE(
    "a target with another instance id gets no further requests", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request&) -> scripted_reply
        { return {http_text(421, "X-Instance-Id: other\r\n", "")}; });
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "ok"); });
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "far"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    for (int i = 0; i < 3; ++i)
    {
        caller.send(post("/w/1", "r" + std::to_string(i), "x"));
        CHECK(caller.reply().status == 200);
    }
    CHECK(a.received.size() == 1);
}

// Guards against a 404 for a known path from a VM without a desired state.
TEST_CASE("a VM without a desired state refuses with 503", "[entry]")
{
    entry_vm vm;
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    CHECK(caller.reply().status == 503);
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    caller.send(get("/other/1", "r2"));
    CHECK(caller.reply().status == 404);
}

// Guards against a late older version that replaces the current one.
TEST_CASE("an older desired state is not adopted", "[entry]")
{
    entry_vm vm;
    vm.adopt(7, {entry_vm::make_route("q", {"s"}, false, true)});
    vm.adopt(4, {});
    CHECK(vm.server.state()->version == 7);
    CHECK(vm.server.state()->routes.size() == 1);
}

// Guards against request smuggling by conflicting or malformed body lengths.
TEST_CASE("ambiguous framing is refused and the connection closed", "[entry]")
{
    const std::string head = "POST /w/1 HTTP/1.1\r\nHost: h.example\r\n"
                             "X-Request-Id: r1\r\n";
    const std::string attack = "0\r\n\r\nGET /w/2 HTTP/1.1\r\n\r\n";
    for (const std::string framing :
        {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n",
            "Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
            "Transfer-Encoding: xchunked\r\n\r\n",
            "Transfer-Encoding: chunked, identity\r\n\r\n"})
    {
        INFO(framing);
        entry_vm vm;
        stand_in_target a(vm.loop, "ta",
            [](const parsed_request& r) { return good(r, "p", "x"); });
        vm.pool.put(a.record("s", "north"));
        vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(head + framing + attack);
        CHECK(caller.reply().status == 400);
        caller.run_until([&] { return caller.closed; });
        CHECK(a.received.empty());
    }
}

// Guards against a body that is altered or truncated in transit.
TEST_CASE("bodies pass unchanged in both directions", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "p", r.body); });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    std::string body;
    for (int i = 0; i < 200000; ++i)
    {
        body += static_cast<char>(i * 31);
    }
    caller.send(post("/w/1", "r1", body));
    CHECK(caller.reply().body == body);
    caller.send("POST /w/1?a=b HTTP/1.1\r\nHost: h.example\r\n"
                "X-Request-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n"
                "5\r\nhello\r\n0\r\n\r\n");
    CHECK(caller.reply().body == "hello");
    CHECK(a.received.at(1).path == "/w/1?a=b");
}

// Guards against sends that are wasted because too few shards have a target for
// an answer, and against a failure that does not report that nothing ran.
TEST_CASE("nothing is sent when too few shards have a target", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "pa", record('1')); });
    vm.pool.put(a.record("sa", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"sa", "sb", "sc"}, true, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 503);
    CHECK(!value_of(reply, "Retry-After").empty());
    CHECK(a.received.empty());
}

// Guards against a request that fails because its only target is briefly busy.
TEST_CASE("a request waits for a target with room", "[entry]")
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
    service_rule rule;
    rule.name = "s";
    rule.max_connections = 2;
    desired_state state;
    state.version = 1;
    state.services = {rule};
    state.routes = {entry_vm::make_route("w", {"s"}, false, false)};
    vm.server.adopt(std::make_shared<const desired_state>(state));
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int i = 0; i < 6; ++i)
    {
        callers.push_back(
            std::make_unique<test_caller>(vm.loop, vm.caller_address()));
        callers.back()->send(post("/w/1", "r" + std::to_string(i), "x"));
    }
    for (const auto& caller : callers)
    {
        CHECK(caller->reply().status == 200);
    }
    CHECK(a.connections == 2);
    CHECK(a.received.size() == 6);
}

// Guards against room that is offered only to requests that no longer need it,
// while one that does waits behind them.
TEST_CASE("room passes requests that no longer need it", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "p", "done"); });
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("w", {"s"}, false, true)});
    const monotonic_time later = monotonic_clock::now() + 1h;
    for (std::size_t i = 0; i <= config::max_offers_per_room; ++i)
    {
        REQUIRE(vm.pool.wait_for_room("s", later, 0, [] { return false; }));
    }
    bool served = false;
    REQUIRE(
        vm.pool.wait_for_room("s", later, 0, [&] { return served = true; }));
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/w/1", "r1"));
    CHECK(caller.reply().status == 200);
    caller.run_until([&] { return served; });
}

// Guards against a gathered query that fails at its target latency because one
// shard still waits for room, though its caller waits much longer.
TEST_CASE("a query waits for room past its target latency", "[entry]")
{
    entry_vm vm;
    stand_in_target shedding(vm.loop, "ta", shed);
    stand_in_target busy(vm.loop, "tb",
        [](const parsed_request& r)
        {
            scripted_reply out = good(r, "pb", record('1'));
            out.wait = 150ms;
            return out;
        });
    vm.pool.put(shedding.record("s", "north"));
    vm.pool.put(busy.record("s", "far"));
    service_rule rule;
    rule.name = "s";
    rule.max_connections = 1;
    desired_state state;
    state.version = 1;
    state.services = {rule};
    state.routes = {entry_vm::make_route("q", {"s"}, true, true)};
    state.routes[0].target_latency = 100ms;
    vm.server.adopt(std::make_shared<const desired_state>(state));
    test_caller first(vm.loop, vm.caller_address());
    first.send(get("/q/1", "r1"));
    first.run_until([&] { return busy.received.size() == 1; });
    test_caller second(vm.loop, vm.caller_address());
    second.send(get("/q/1", "r2"));
    CHECK(first.reply().status == 200);
    CHECK(second.reply().status == 200);
    CHECK(busy.received.size() == 2);
    CHECK(busy.connections == 1);
}

// Guards against shards that are not sent through another zone although the
// target of the own zone is known to shed.
TEST_CASE("a shedding target does not count as the own zone's", "[entry]")
{
    entry_vm vm;
    stand_in_target near(vm.loop, "ta", shed);
    stand_in_target far(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", record('1')); });
    vm.pool.put(near.record("s", "north"));
    CHECK(vm.pool.reach_of("s").own_zone);
    vm.pool.put(far.record("s", "far"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, true, true)});
    test_caller caller(vm.loop, vm.caller_address());
    for (int i = 0; i < 20; ++i)
    {
        caller.send(get("/q/1", "r" + std::to_string(i)));
        CHECK(caller.reply().status == 200);
    }
    const shard_reach reach = vm.pool.reach_of("s");
    CHECK(!reach.own_zone);
    CHECK(reach.zones == std::vector<std::string>{"far"});
}

// Guards against a VM that stays ready while its zone is cut off, though VMs of
// other zones could serve its callers, and against one that stays unready after
// the targets are reachable again.
TEST_CASE("a VM that is cut off from other zones is not ready", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta",
        [](const parsed_request& r) { return good(r, "p", "x"); });
    target_record record = a.record("s", "south");
    const std::string address = record.address;
    // No process listens on this port.
    record.address = "127.0.0.1:1";
    vm.pool.put(record);
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller prober(vm.loop, vm.server.addresses().at(1));
    const auto ready = [&]
    {
        prober.send("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        return prober.reply().status == 200;
    };
    CHECK(ready());
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    CHECK(caller.reply().status == 503);
    prober.run_until([&] { return !ready(); });
    record.address = address;
    vm.pool.put(record);
    prober.run_until(ready);
}

// Guards against waiting for a full-credit answer when the caller's earlier
// attempt has already used up that time. A small difference is not a repeat.
TEST_CASE("a repeated attempt counts the time of earlier attempts", "[entry]")
{
    route_stats stats;
    const monotonic_time now{1h};
    CHECK(spent_before(stats, 1500ms, now) == duration::zero());
    CHECK(spent_before(stats, 1490ms, now) == duration::zero());
    CHECK(spent_before(stats, 1400ms, now + 100ms) == 100ms);
}

// Guards against one caller with a very long deadline after which all requests
// of the route pass for late repeats, for good.
TEST_CASE("a long deadline of one caller is forgotten", "[entry]")
{
    route_stats stats;
    monotonic_time now{1h};
    spent_before(stats, 1h, now);
    CHECK(spent_before(stats, 1500ms, now) > 59min);
    // Requests in each span, and none for a while.
    const duration step =
        GENERATE(duration(1s), duration(3 * config::time_left_span));
    const monotonic_time end = now + 2 * config::time_left_span;
    while (now < end)
    {
        now += step;
        spent_before(stats, 1500ms, now);
    }
    CHECK(spent_before(stats, 1500ms, now) == duration::zero());
    CHECK(spent_before(stats, 1400ms, now + 100ms) == 100ms);
}

// Guards against requests to a target whose registration was removed without
// notice: it stayed a last resort for 1.8 s even when the bound on leaving
// targets was shorter.
TEST_CASE(
    "a removed target is a last resort only within the leave bound", "[entry]")
{
    entry_vm vm;
    stand_in_target target(vm.loop, "t1",
        [](const parsed_request& r) { return good(r, "p1", "x"); });
    vm.pool.put(target.record("s", "north"));
    vm.pool.remove("t1");
    vm.pool.tick();
    CHECK(vm.pool.choose("s", {}) != nullptr);
    vm.pool.set_options({"north", {0.2, 100.0, 10s}, 0ms});
    vm.pool.tick();
    CHECK(vm.pool.choose("s", {}) == nullptr);
}
