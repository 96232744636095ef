#include "call_channel.hpp"
#include "entry_fixture.hpp"
#include "manual_target.hpp"
#include "slow_caller_fixture.hpp"

// Replies whose status is no final one: they are neither passed on nor waited
// out.

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

const std::string faulty_statuses[] = {
    "000", "099", "600", "999", "100", "101", "abc", "20", "-20"};

/// A target that attests a reply with the given status and a body.
stand_in_target::script
with_status(const std::string& status)
{
    return [status](const parsed_request& r)
    {
        const std::string good_bytes = good(r, "p", "body").bytes;
        return scripted_reply{
            "HTTP/1.1 " + status + good_bytes.substr(good_bytes.find(" X"))};
    };
}

std::uint64_t
count_of(const entry_vm& vm, counter c)
{
    return vm.counters.read()[c];
}

} // namespace

// Guards against a reply with status 000 that keeps the request waiting until
// its deadline (504), on the real program.
TEST_CASE("the program answers a reply with status 000 at once", "[faulty]")
{
    process_surroundings around("000");
    limited_process process(around, 512, "");
    REQUIRE(wait_for_condition(serves_ordinary));
    constexpr int longest_wait_ms = 40000;
    CHECK(
        ask_ordinary("/faulty", longest_wait_ms) == "HTTP/1.1 502 Bad Gateway");
    constexpr int requests = 8;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(ask_ordinary("/mixed", longest_wait_ms) == "HTTP/1.1 200 OK");
    }
    CHECK(!process.has_ended());
}

// Guards against a faulty status that is passed on, waited out until the
// deadline, or not counted against its target.
TEST_CASE("a faulty reply is a failure of its target", "[entry][faulty]")
{
    for (const std::string& status : faulty_statuses)
    {
        CAPTURE(status);
        entry_vm vm;
        stand_in_target bad(vm.loop, "bad", with_status(status));
        vm.pool.put(bad.record("s", "north"));
        vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(get("/q/1", "r1"));
        CHECK(caller.reply().status == 502);
        CHECK(count_of(vm, counter::replies_faulty) == 1);
        CHECK(vm.pool.targets_in("s", "north").at(0)->error_rate > 0.0);
    }
}

// Guards against a faulty reply after which no other target is asked.
TEST_CASE(
    "a request with a faulty reply goes to another target", "[entry][faulty]")
{
    for (const std::string& status : faulty_statuses)
    {
        CAPTURE(status);
        entry_vm vm;
        stand_in_target bad(vm.loop, "bad", with_status(status));
        stand_in_target other(vm.loop, "other",
            [](const parsed_request& r) { return good(r, "p", "other"); });
        vm.pool.put(bad.record("s", "north"));
        vm.pool.put(other.record("s", "south"));
        // A hedge would come after the test's limit.
        route_rule route = entry_vm::make_route("q", {"s"}, false, true);
        route.target_latency = 1h;
        route.timeout = 2h;
        vm.adopt(1, {route});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(get("/q/1", "r1"));
        CHECK(caller.reply().body == "other");
        CHECK(bad.received.size() == 1);
    }
}

// Guards against an interim reply that is taken for a faulty final one.
TEST_CASE("a final reply after an interim one is passed on", "[entry][faulty]")
{
    const std::string interim = GENERATE("HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    entry_vm vm;
    stand_in_target target(vm.loop, "t",
        [&](const parsed_request& r)
        { return scripted_reply{interim + good(r, "p", "body").bytes}; });
    vm.pool.put(target.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    CHECK(caller.reply().body == "body");
    CHECK(count_of(vm, counter::replies_faulty) == 0);
}

// Guards against a probe that takes a faulty reply for a sign of health, or
// waits for its timeout without counting it.
TEST_CASE("a faulty reply to a probe does not end a target's block",
    "[entry][faulty]")
{
    entry_vm vm;
    std::vector<std::unique_ptr<stand_in_target>> targets;
    std::vector<std::unique_ptr<test_caller>> callers;
    std::vector<route_rule> routes;
    std::vector<std::string> services;
    for (std::size_t i = 0; i < std::size(faulty_statuses); ++i)
    {
        services.push_back("s" + std::to_string(i));
        targets.push_back(std::make_unique<stand_in_target>(
            vm.loop, "t" + std::to_string(i), unresponsive));
        vm.pool.put(targets.back()->record(services.back(), "north"));
        routes.push_back(entry_vm::make_route(
            services.back(), {services.back()}, false, true));
    }
    vm.adopt(1, routes);
    for (const std::string& service : services)
    {
        callers.push_back(
            std::make_unique<test_caller>(vm.loop, vm.caller_address()));
        callers.back()->send(get("/" + service + "/1", service));
    }
    const auto is_served = [&](const std::string& service)
    { return vm.pool.is_served(service, {}); };
    callers.front()->run_until([&]
        { return std::none_of(services.begin(), services.end(), is_served); });
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        targets[i]->set_script(with_status(faulty_statuses[i]));
    }
    callers.front()->run_until(
        [&] {
            return count_of(vm, counter::replies_faulty) >= 2 * targets.size();
        });
    CHECK(std::none_of(services.begin(), services.end(), is_served));
}

// Guards against a call to the store or to another VM that takes a faulty
// reply for an answer, or waits for its timeout.
TEST_CASE("a call with a faulty reply has no answer", "[entry][faulty]")
{
    for (const std::string& status : faulty_statuses)
    {
        CAPTURE(status);
        entry_vm vm;
        stand_in_target server(vm.loop, "s", with_status(status));
        call_channel channel(vm.loop, server.address());
        std::optional<call_reply> reply;
        // The fixture's own limit is shorter than this timeout.
        channel.call({"GET", "/", {}, {}, false}, 1h,
            [&](call_reply&& r) { reply = std::move(r); });
        test_caller runner(vm.loop, vm.caller_address());
        runner.run_until([&] { return reply.has_value(); });
        CHECK(reply->status == 0);
        CHECK(!reply->unsent);
    }
}
