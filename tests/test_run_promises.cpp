#include "entry_fixture.hpp"

#include <map>

// Statuses that promise a caller that its request has not run and never will:
// it repeats such a request even if it must run at most once.

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

constexpr int promises[] = {408, 421, 429, 503};

bool
is_promise(int status)
{
    return std::find(std::begin(promises), std::end(promises), status) !=
           std::end(promises);
}

/// What a target does with a request.
enum class conduct
{
    rejects,         ///< states that it did not run the request
    rejects_address, ///< is another process than the one meant
    runs_says_503,
    runs_says_429,
    runs_says_408,
    runs_says_500,
    runs_and_resets,
    count
};

constexpr std::size_t conducts = static_cast<std::size_t>(conduct::count);

bool
runs(conduct c)
{
    return c != conduct::rejects && c != conduct::rejects_address;
}

/// Reply with the id of its request and a proof that the target made it.
scripted_reply
attested(const parsed_request& r, int status, const std::string& fields = "")
{
    return {http_text(status,
        "X-Request-Id: " + header_value(r, "X-Request-Id") +
            "\r\nX-Response-Stamp: p\r\n" + fields,
        "failed")};
}

scripted_reply
reply_of(conduct c, const parsed_request& r)
{
    switch (c)
    {
    case conduct::rejects:
        return attested(r, 503, "X-Not-Executed: 1\r\n");
    case conduct::rejects_address:
        return attested(r, 421, "X-Not-Executed: 1\r\n");
    case conduct::runs_says_503:
        return attested(r, 503, "Retry-After: 1\r\n");
    case conduct::runs_says_429:
        return attested(r, 429, "Retry-After: 1\r\n");
    case conduct::runs_says_408:
        return attested(r, 408);
    case conduct::runs_says_500:
        return attested(r, 500);
    default:
        return {"", false, true};
    }
}

/// Targets that behave as told, one for each service and zone.
class told_targets
{
public:
    explicit told_targets(entry_vm& vm) : vm_(vm) {}

    void
    add(const std::string& service, const std::string& zone, conduct c)
    {
        targets_.push_back(
            std::make_unique<stand_in_target>(vm_.loop, service + "-" + zone,
                [this, c](const parsed_request& r)
                {
                    runs_ += runs(c) ? 1 : 0;
                    return reply_of(c, r);
                }));
        vm_.pool.put(targets_.back()->record(service, zone));
    }

    std::size_t
    run_count() const
    {
        return runs_;
    }

private:
    entry_vm& vm_;
    std::vector<std::unique_ptr<stand_in_target>> targets_;
    std::size_t runs_ = 0;
};

/// Asks for /q/ and checks that the status promises that nothing ran exactly if
/// nothing ran, then and later.
http_reply
check_answer(entry_vm& vm, const told_targets& targets)
{
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(post("/q/1", "r1", "promotion"));
    http_reply reply = caller.reply();
    CHECK(is_promise(reply.status) == (targets.run_count() == 0));
    const std::size_t ran = targets.run_count();
    vm.loop.run_for(20ms);
    CHECK(targets.run_count() == ran);
    return reply;
}

const std::string*
stamp_of(const http_reply& reply)
{
    return find_field(reply.fields, "X-Response-Stamp");
}

} // namespace

// Guards against a second run: a caller repeats a request that may run once
// after a status that a target gave although it had run the request.
TEST_CASE("a target's status that denies a run is not passed on", "[entry]")
{
    const bool idempotent = GENERATE(false, true);
    const int status = GENERATE(408, 429, 503);
    CAPTURE(idempotent, status);
    entry_vm vm;
    stand_in_target target(vm.loop, "t",
        [&](const parsed_request& r)
        { return attested(r, status, "Retry-After: 1\r\n"); });
    vm.pool.put(target.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, idempotent)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(post("/q/1", "r1", "promotion"));
    const http_reply reply = caller.reply();
    CHECK(reply.status == 502);
    CHECK(stamp_of(reply) == nullptr);
    CHECK(find_field(reply.fields, "Retry-After") == nullptr);
    CHECK(reply.body.find("\"unknown\"") != std::string::npos);
    CHECK(target.received.size() == 1);
    CHECK(vm.counters.read()[counter::promises_withheld] == 1);
}

// Guards against a failure that promises nothing and no longer reaches the
// caller as the target gave it.
TEST_CASE("a target's failure that denies no run is passed on", "[entry]")
{
    for (const int status : {400, 404, 409, 500, 502, 504})
    {
        CAPTURE(status);
        entry_vm vm;
        stand_in_target target(vm.loop, "t",
            [&](const parsed_request& r) { return attested(r, status); });
        vm.pool.put(target.record("s", "north"));
        vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, false)});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(post("/q/1", "r1", "promotion"));
        const http_reply reply = caller.reply();
        CHECK(reply.status == status);
        REQUIRE(stamp_of(reply) != nullptr);
        CHECK(*stamp_of(reply) == "p");
        CHECK(reply.body == "failed");
        CHECK(vm.counters.read()[counter::promises_withheld] == 0);
    }
}

// Guards against a rejection by the second target, or a promise of the first,
// that hides a run at the other one.
TEST_CASE("after a retry a status denies a run only if no target ran the "
          "request",
    "[entry]")
{
    const bool idempotent = GENERATE(false, true);
    for (std::size_t i = 0; i < conducts * conducts; ++i)
    {
        const auto near = static_cast<conduct>(i / conducts);
        const auto far = static_cast<conduct>(i % conducts);
        CAPTURE(idempotent, static_cast<int>(near), static_cast<int>(far));
        entry_vm vm;
        told_targets targets(vm);
        targets.add("s", "north", near);
        targets.add("s", "far", far);
        vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, idempotent)});
        check_answer(vm, targets);
        CHECK(targets.run_count() <= (idempotent ? 2 : 1));
    }
}

// Guards against a hedge that is rejected and hides that the first send runs.
TEST_CASE("a rejected hedge does not deny the run that it hedged", "[entry]")
{
    for (std::size_t i = 0; i < conducts; ++i)
    {
        const auto hedge = static_cast<conduct>(i);
        CAPTURE(static_cast<int>(hedge));
        entry_vm vm;
        stand_in_target silent(vm.loop, "silent", unresponsive);
        vm.pool.put(silent.record("s", "north"));
        told_targets targets(vm);
        targets.add("s", "far", hedge);
        route_rule route = entry_vm::make_route("q", {"s"}, false, true);
        route.target_latency = 40ms;
        route.timeout = 300ms;
        vm.adopt(1, {route});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(post("/q/1", "r1", "promotion"));
        CHECK(!is_promise(caller.reply().status));
        CHECK(silent.received.size() == 1);
    }
}

// Guards against a gathered answer that fails with a promise although a shard
// ran.
TEST_CASE("a gathered request that ran at a shard is not denied", "[entry]")
{
    for (std::size_t i = 0; i < conducts * conducts; ++i)
    {
        const auto one = static_cast<conduct>(i / conducts);
        const auto two = static_cast<conduct>(i % conducts);
        CAPTURE(static_cast<int>(one), static_cast<int>(two));
        entry_vm vm;
        told_targets targets(vm);
        targets.add("s0", "north", one);
        targets.add("s1", "north", two);
        vm.adopt(1, {entry_vm::make_route("q", {"s0", "s1"}, true, true)});
        check_answer(vm, targets);
    }
}

// Guards against a promise at the end of a stop, for a request that a target
// runs or has failed.
TEST_CASE("a stop denies no run", "[entry]")
{
    for (std::size_t i = 0; i < conducts; ++i)
    {
        const auto c = static_cast<conduct>(i);
        CAPTURE(static_cast<int>(c));
        entry_vm vm;
        bool ran = false;
        stand_in_target target(vm.loop, "t",
            [&](const parsed_request& r)
            {
                ran = ran || runs(c);
                scripted_reply out = reply_of(c, r);
                out.wait = 100ms;
                return out;
            });
        vm.pool.put(target.record("s", "north"));
        vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, false)});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(post("/q/1", "r1", "promotion"));
        caller.run_until([&] { return target.received.size() == 1; });
        bool stopped = false;
        vm.server.stop([&] { stopped = true; });
        CHECK(is_promise(caller.reply().status) == !ran);
        caller.run_until([&] { return stopped; });
    }
}
