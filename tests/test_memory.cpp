#include "config/memory.hpp"
#include "entry_fixture.hpp"
#include "memory/eviction.hpp"
#include "memory/memory_limits.hpp"
#include "property.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

memory_holder
holder(holder_stage stage, std::size_t held, std::size_t moved, duration age,
    const std::string& address = "a")
{
    return {address, stage, held, moved, age};
}

constexpr std::size_t large = config::mib;
constexpr std::size_t no_address_limit = 1000 * config::mib;

} // namespace

// Guards against an ordinary caller that is closed in place of one that holds
// as much and reads more slowly.
TEST_CASE("slow and large holders are evicted first", "[memory]")
{
    const std::vector<memory_holder> holders{
        holder(holder_stage::answering, large, 100 * large, 10s), // fast
        holder(holder_stage::answering, large, 10, 10s),          // slow
        holder(holder_stage::answering, 3 * large, 10, 10s),      // slowest
        holder(holder_stage::answering, 5 * large, 0, 1ms),       // new
        holder(holder_stage::busy, 5 * large, 0, 10s),
        holder(holder_stage::body, config::min_evicted_bytes - 1, 0, 10s)};
    using indices = std::vector<std::size_t>;
    CHECK(choose_evictions(holders, 0, no_address_limit).empty());
    CHECK(choose_evictions(holders, 1, no_address_limit) == indices{2});
    CHECK(choose_evictions(holders, 4 * large, no_address_limit) ==
          indices{2, 1});
    CHECK(choose_evictions(holders, 100 * large, no_address_limit) ==
          indices{2, 1, 0, 3});
}

// Guards against callers that suffer from those of an address that holds more
// than its share.
TEST_CASE("an address above its share is evicted first", "[memory]")
{
    const std::vector<memory_holder> holders{
        holder(holder_stage::answering, large, 10, 10s, "b"),
        holder(holder_stage::answering, 2 * large, large, 1s, "a"),
        holder(holder_stage::answering, 2 * large, large, 1s, "a")};
    CHECK(choose_evictions(holders, 1, 3 * large).front() != 0);
    CHECK(choose_evictions(holders, 1, 5 * large).front() == 0);
}

// Guards against an eviction that frees too little although more could be
// freed, or that closes more than is needed.
TEST_CASE("evictions free the excess and no more", "[memory]")
{
    const auto property = []
    {
        std::vector<memory_holder> holders;
        const auto count = *rc::gen::inRange<std::size_t>(0, 20);
        std::size_t evictable = 0;
        for (std::size_t i = 0; i < count; ++i)
        {
            const auto stage = static_cast<holder_stage>(
                *rc::gen::inRange(0, static_cast<int>(holder_stage::count)));
            const auto held = *rc::gen::inRange<std::size_t>(0, 4 * large);
            const auto moved = *rc::gen::inRange<std::size_t>(0, large);
            const auto age = *rc::gen::inRange(0, 20000);
            holders.push_back(
                holder(stage, held, moved, std::chrono::milliseconds(age)));
            const bool moves = stage == holder_stage::header ||
                               stage == holder_stage::body ||
                               stage == holder_stage::answering;
            evictable += moves && held >= config::min_evicted_bytes ? held : 0;
        }
        const auto excess = *rc::gen::inRange<std::size_t>(1, 20 * large);
        std::size_t freed = 0;
        std::size_t last = 0;
        for (const std::size_t i :
            choose_evictions(holders, excess, no_address_limit))
        {
            last = holders[i].held;
            freed += last;
        }
        RC_ASSERT(freed >= std::min(excess, evictable));
        RC_ASSERT(freed == 0 || freed - last < excess);
    };
    constexpr int runs = 500;
    CHECK(test::holds(1, runs, property));
}

// Guards against a new caller in whose favour a used connection is closed while
// another one has never sent anything.
TEST_CASE("connections without a request make room first", "[memory]")
{
    std::vector<memory_holder> holders{holder(holder_stage::busy, 0, 0, 60s),
        holder(holder_stage::header, 10, 10, 60s),
        holder(holder_stage::idle, 0, 0, 50s),
        holder(holder_stage::unused, 0, 0, 1s),
        holder(holder_stage::unused, 0, 0, 2s),
        holder(holder_stage::header, 10, 10, 1ms)};
    CHECK(choose_idle(holders) == std::optional<std::size_t>(4));
    holders.resize(3);
    CHECK(choose_idle(holders) == std::optional<std::size_t>(2));
    holders.resize(2);
    CHECK(choose_idle(holders) == std::optional<std::size_t>(1));
    holders.resize(1);
    CHECK(!choose_idle(holders));
}

// Guards against a byte now and then that keeps an answer for good, and against
// the end of a caller that reads at the least rate or has read all that it was
// given.
TEST_CASE("a caller must read at the least rate", "[memory]")
{
    const read_rate_limit limit{1000.0, 10s};
    const monotonic_time start{};
    const std::size_t left = 100000;
    read_progress progress = begin_span(start, 0, left);
    CHECK(!reads_too_slowly(progress, limit, start + 9s, 0, 500, left));
    CHECK(!reads_too_slowly(progress, limit, start + 10s, 10000, 500, 90000));
    CHECK(!reads_too_slowly(progress, limit, start + 19s, 10001, 500, 89999));
    CHECK(reads_too_slowly(progress, limit, start + 20s, 19999, 500, 80001));
    progress = begin_span(start, 0, left);
    CHECK(!reads_too_slowly(progress, limit, start + 60s, 10, 0, left));
    // Less than the rate requires is left.
    progress = begin_span(start, 0, 20);
    CHECK(!reads_too_slowly(progress, limit, start + 10s, 20, 10, 0));
}

// Guards against replies that are read without bound, and against several
// replies of which none is completed.
TEST_CASE("beyond their part one reply is read at a time", "[memory]")
{
    const auto account = std::make_shared<memory_account>();
    account->limit = 100;
    int first = 0;
    int second = 0;
    memory_charge charge(account, &memory_account::replies, 51);
    CHECK(may_read_reply(*account, &first));
    CHECK(!may_read_reply(*account, &second));
    CHECK(may_read_reply(*account, &first));
    end_reply_turn(*account, &second);
    CHECK(!may_read_reply(*account, &second));
    end_reply_turn(*account, &first);
    CHECK(may_read_reply(*account, &second));
    charge.set(50);
    CHECK(may_read_reply(*account, &first));
    CHECK(excess_bytes(*account) == 0);
    const memory_charge more(account, &memory_account::held, 60);
    CHECK(excess_bytes(*account) == 10);
}

// Guards against bytes that stay in the account after their holder has gone.
TEST_CASE("an idle VM holds no memory for callers", "[entry][memory]")
{
    entry_vm vm;
    memory_limits limits;
    limits.caller_bytes = config::min_caller_memory;
    vm.server.set_memory_limits(limits);
    stand_in_target target(vm.loop, "t",
        [](const parsed_request& r)
        { return good(r, "p", std::string(large, 'x')); });
    vm.pool.put(target.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    for (int i = 0; i < 3; ++i)
    {
        caller.send(get("/q/1", "r" + std::to_string(i)));
        CHECK(caller.reply().body.size() == large);
    }
    caller.send(post("/q/2", "p", std::string(100000, 'b')));
    caller.reply();
    caller.run_until(
        [&] { return vm.counters.read()[counter::memory_held_bytes] == 0; });
    CHECK(vm.counters.read()[counter::callers_evicted] == 0);
}

// Guards against limits that leave no room for one long answer, or nothing for
// targets and other VMs.
TEST_CASE("limits are derived from the machine", "[memory]")
{
    CHECK(caller_bytes_of(160) == 40 * config::mib);
    CHECK(caller_bytes_of(64) == config::min_caller_memory);
    CHECK(max_connections_of(1024) == 768);
    CHECK(max_connections_of(96) == 48);
    CHECK(max_connections_of(100000) == 100000 - 256);
}

// Guards against a used connection that is closed for a new one while a silent
// one is open.
TEST_CASE("a silent connection makes room for a new caller", "[entry][memory]")
{
    entry_vm vm;
    memory_limits limits;
    limits.max_connections = 2;
    vm.server.set_memory_limits(limits);
    test_caller used(vm.loop, vm.caller_address());
    used.send(get("/q/1", "r1"));
    CHECK(used.reply().status == 503);
    test_caller silent(vm.loop, vm.caller_address());
    test_caller fresh(vm.loop, vm.caller_address());
    fresh.send(get("/q/1", "r2"));
    CHECK(fresh.reply().status == 503);
    used.send(get("/q/1", "r3"));
    CHECK(used.reply().status == 503);
    fresh.run_until([&] { return silent.closed; });
    CHECK(!used.closed);
    CHECK(vm.counters.read()[counter::callers_evicted] == 1);
    CHECK(vm.counters.read()[counter::connections_refused] == 0);
}

// Guards against a refusal of ordinary requests while large ones fill the
// memory, and against a large one that is taken in addition.
TEST_CASE("a full VM refuses large requests only", "[entry][memory]")
{
    entry_vm vm;
    memory_limits limits;
    limits.caller_bytes = 4 * large;
    vm.server.set_memory_limits(limits);
    stand_in_target silent(vm.loop, "silent", unresponsive);
    stand_in_target good_one(vm.loop, "good",
        [](const parsed_request& r) { return good(r, "p", "body"); });
    vm.pool.put(silent.record("s", "north"));
    vm.pool.put(good_one.record("g", "north"));
    caller_limits callers_may;
    callers_may.max_body_bytes = 2 * large;
    vm.adopt(1,
        {entry_vm::make_route("s", {"s"}, false, false),
            entry_vm::make_route("g", {"g"}, false, false)},
        callers_may);
    std::vector<std::unique_ptr<test_caller>> holders;
    for (int i = 0; i < 4; ++i)
    {
        holders.push_back(
            std::make_unique<test_caller>(vm.loop, vm.caller_address()));
        holders.back()->send(
            post("/s/1", "r" + std::to_string(i), std::string(large, 'b')));
        holders.back()->run_until(
            [&] { return vm.counters.read()[counter::requests] == i + 1U; });
    }
    test_caller more(vm.loop, vm.caller_address());
    more.send(post("/g/1", "large", std::string(large, 'b')));
    const http_reply refused = more.reply();
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(find_field(refused.fields, "Retry-After") != nullptr);
    more.send(get("/g/1", "small"));
    CHECK(more.reply().body == "body");
    CHECK(good_one.received.size() == 1);
}
