#include "entry_fixture.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

/// Returns a 200 reply with one more header line.
scripted_reply
good_with(const parsed_request& request, const std::string& header)
{
    return {http_text(200,
        "X-Request-Id: " + header_value(request, "X-Request-Id") +
            "\r\nX-Response-Stamp: p\r\n" + header + "\r\n",
        "x")};
}

/// Returns the most requests that a rate limit allows in `elapsed`, with room
/// for half as many again and 5 requests in each 4 s.
std::size_t
allowed_requests(double rate_limit, duration elapsed)
{
    constexpr auto window = 4s;
    const auto windows = static_cast<double>(elapsed / window + 1);
    return static_cast<std::size_t>(windows * (6.0 * rate_limit + 5.0));
}

} // namespace

// Guards against a target that gets more requests than the limit that it names.
TEST_CASE("a target gets no more requests than its rate limit", "[entry]")
{
    constexpr double rate_limit = 5.0;
    entry_vm vm;
    stand_in_target limited(vm.loop, "ta",
        [](const parsed_request& r)
        { return good_with(r, "Server-Limit: 5.0"); });
    stand_in_target other(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "x"); });
    vm.pool.put(limited.record("s", "north"));
    vm.pool.put(other.record("s", "far"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    const monotonic_time begin = monotonic_clock::now();
    for (int i = 0; i < 200; ++i)
    {
        caller.send(get("/q/1", "r" + std::to_string(i)));
        CHECK(caller.reply().status == 200);
    }
    const duration elapsed = monotonic_clock::now() - begin;
    CHECK(limited.received.size() <= allowed_requests(rate_limit, elapsed));
    CHECK(!limited.received.empty());
}

// Guards against trust in the registration alone, which may come late or not.
TEST_CASE("a target that says it leaves gets no more requests", "[entry]")
{
    entry_vm vm;
    stand_in_target leaving(vm.loop, "ta",
        [](const parsed_request& r)
        { return good_with(r, "Server-Leaving: 1"); });
    stand_in_target other(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "pb", "x"); });
    vm.pool.put(leaving.record("s", "north"));
    vm.pool.put(other.record("s", "far"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    const auto ask = [&]
    {
        caller.send(get("/q/1", "r1"));
        CHECK(caller.reply().status == 200);
    };
    ask();
    ask();
    // The store still lists the target as it was.
    vm.pool.put(leaving.record("s", "north"));
    ask();
    CHECK(leaving.received.size() == 1);
    // Its registration lapses while the store is away, and comes back.
    vm.pool.remove("ta");
    caller.run_until([&] { return vm.pool.size() == 1; });
    vm.pool.put(leaving.record("s", "north"));
    ask();
    CHECK(leaving.received.size() == 1);
    // A new process under the same id takes requests.
    target_record restarted = leaving.record("s", "north");
    restarted.started_ms = 1;
    vm.pool.put(restarted);
    ask();
    CHECK(leaving.received.size() == 2);
}

// Guards against requests that a target has asked not to get, and false waits.
TEST_CASE("a target gets no requests in the time of its Retry-After", "[entry]")
{
    entry_vm vm;
    std::vector<monotonic_time> received_at;
    stand_in_target target(vm.loop, "ta",
        [&](const parsed_request& r) -> scripted_reply
        {
            received_at.push_back(monotonic_clock::now());
            return received_at.size() == 1
                       ? scripted_reply{http_text(503,
                             "X-Not-Executed: 1\r\nRetry-After: 2.5\r\n", "")}
                       : good(r, "p", "x");
        });
    vm.pool.put(target.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    const auto ask = [&]
    {
        caller.send(get("/q/1", "r1"));
        return caller.reply();
    };
    for (int i = 0; i < 2; ++i)
    {
        const http_reply refusal = ask();
        CHECK(refusal.status == 503);
        const std::string* after = find_field(refusal.fields, "Retry-After");
        REQUIRE(after != nullptr);
        CHECK(std::stod(*after) > 2.0);
    }
    CHECK(received_at.size() == 1);
    // A request that can wait for the end of that time is served then.
    while (ask().status != 200)
    {
    }
    REQUIRE(received_at.size() == 2);
    CHECK(received_at[1] - received_at[0] >= 2500ms);
}

// Guards against callers that wait although another replica is free.
TEST_CASE("what a target asks of the VMs does not reach callers", "[entry]")
{
    entry_vm vm;
    stand_in_target target(vm.loop, "ta",
        [](const parsed_request& r) -> scripted_reply
        {
            const std::string status = header_value(r, "X-Status");
            return {http_text(std::stoi(status),
                "X-Response-Stamp: p\r\nServer-Limit: 1000\r\n"
                "Server-Leaving: 0\r\nRetry-After: 9\r\nX-Other: 1\r\n",
                "x")};
        });
    vm.pool.put(target.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, false)});
    test_caller caller(vm.loop, vm.caller_address());
    for (const std::string status : {"200", "500", "504", "429", "503"})
    {
        CAPTURE(status);
        caller.send(get("/q/1", "r1", "X-Status: " + status + "\r\n"));
        const http_reply reply = caller.reply();
        // The target has run the request, which 429 and 503 would deny.
        const bool passed_on = status != "429" && status != "503";
        CHECK(reply.status == (passed_on ? std::stoi(status) : 502));
        CHECK(find_field(reply.fields, "Server-Limit") == nullptr);
        CHECK(find_field(reply.fields, "Server-Leaving") == nullptr);
        CHECK((find_field(reply.fields, "X-Other") != nullptr) == passed_on);
        CHECK(
            (find_field(reply.fields, "Retry-After") != nullptr) == passed_on);
    }
}
