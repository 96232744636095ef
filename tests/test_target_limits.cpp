#include "target_limits.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

const monotonic_time start{1h};

struct fixture
{
    owned_target_state state;
    std::mt19937_64 random{7};
    std::uint64_t key = 0;

    fixture()
    {
        catalog_target row;
        row.slots = 3;
        configure(state, row);
        state.instance = "i1";
    }

    queue_refusals
    add(double worth = 1.0, duration deadline = 1s)
    {
        return offer(state, {++key, worth, start + deadline}, start);
    }

    std::optional<queue_entry>
    next(std::uint32_t foreign = 0, monotonic_time now = start)
    {
        queue_refusals refused;
        return start_next(state, foreign, now, refused);
    }

    queue_refusals
    reply(duration time = 2ms, miss_reason error = miss_reason::none,
        const std::string& instance = "i1")
    {
        ++state.running;
        return on_reply(state, {error, instance, time}, start, random);
    }

    void
    warm()
    {
        while (current_limit(state) < state.slots)
        {
            reply();
        }
    }

    std::uint32_t
    start_all(std::uint32_t foreign)
    {
        std::uint32_t started = 0;
        while (next(foreign))
        {
            ++started;
        }
        return started;
    }
};

} // namespace

// Guards against exceeding the limit of the table, of the target or of the cold
// start, and against ignoring requests that a previous owner still has running.
TEST_CASE("the effective limit is the lowest of all", "[target_limits]")
{
    fixture f;
    for (int i = 0; i < 20; ++i)
    {
        f.add();
    }
    CHECK(f.start_all(0) == 1);
    f.state.running = 0;
    f.warm();
    CHECK(f.start_all(1) == 2);
    CHECK(f.start_all(0) == 1);
    f.state.running = 0;
    target_report report;
    report.reachable = true;
    report.instance = "i1";
    report.slots_limit = 2;
    on_status(f.state, report, start, f.random);
    CHECK(f.start_all(0) == 2);
    f.state.running = 0;
    f.state.policy = limit_policy::baseline;
    f.state.baseline_limit = 5;
    CHECK(f.start_all(0) == 5);
}

// Guards against sending to a target that started to leave after its previous
// owner failed: the new owner has only the last report of that owner.
TEST_CASE("a new owner polls a target before the first send", "[target_limits]")
{
    fixture f;
    target_report report;
    report.reachable = true;
    report.instance = "i1";
    report.proven_limit = 3;
    apply_owner_report(f.state, report);
    f.add();
    CHECK(f.start_all(0) == 0);
    on_status(f.state, report, start, f.random);
    CHECK(f.start_all(0) == 1);
}

// Guards against a queue that serves low worth first, drops high worth when
// full, or starves entries of low worth.
TEST_CASE("the queue is ordered by worth, then deadline", "[target_limits]")
{
    fixture f;
    f.add(1.0, 10s);
    f.add(5.0, 9s);
    f.add(5.0, 8s);
    CHECK(f.next()->key == 3);
    f.state.running = 0;
    CHECK(f.next()->key == 2);
    f.state.running = 0;
    while (f.state.queue.size() < config::max_queue_per_target)
    {
        f.add(5.0, 20s);
    }
    const auto refused = f.add(9.0, 20s);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].key == 1);
    CHECK(refused[0].reason == miss_reason::queue_full);
    f.add(0.1, 5s);
    CHECK(f.state.queue.size() == config::max_queue_per_target);
    remove_entry(f.state, f.state.queue.back().key);
    f.add(0.1, 5s);
    const auto low = f.key;
    std::uint32_t starts = 1;
    for (; f.next()->key != low; ++starts)
    {
        f.state.running = 0;
    }
    CHECK(starts <= config::fair_start_period);
}

// Guards against sending requests that cannot be answered in time.
TEST_CASE(
    "an entry that cannot meet its deadline is refused", "[target_limits]")
{
    fixture f;
    f.warm();
    const auto refused = f.add(1.0, 1ms);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == miss_reason::deadline);
    f.add(1.0, 100ms);
    queue_refusals late;
    CHECK_FALSE(start_next(f.state, 0, start + 99ms, late));
    REQUIRE(late.size() == 1);
    CHECK(late[0].reason == miss_reason::deadline);
    f.state.running = f.state.slots;
    std::size_t accepted = 0;
    while (f.add(1.0, 50ms).empty())
    {
        ++accepted;
    }
    // Three slots at 2 ms a request leave room for about 72 more within 50 ms.
    CHECK(accepted > 60);
    CHECK(accepted < 80);
}

// Guards against sending full load to a target that has become cold, for
// example after a restart.
TEST_CASE("a cold target is detected within 10 replies", "[target_limits]")
{
    fixture f;
    f.warm();
    std::size_t replies = 0;
    SECTION("by its instance")
    {
        f.reply(2ms, miss_reason::none, "i2");
        replies = 1;
    }
    SECTION("by sheds")
    {
        for (; current_limit(f.state) == 3; ++replies)
        {
            f.reply(2ms, miss_reason::shed);
        }
    }
    SECTION("by slow replies among fast ones")
    {
        for (; current_limit(f.state) == 3; ++replies)
        {
            f.reply(replies % 3 == 0 ? 2ms : 40ms);
        }
    }
    CHECK(replies <= 10);
    CHECK(current_limit(f.state) == 1);
    CHECK(proven_limit(f.state) == 0);
    for (std::uint32_t i = 0; i < config::successes_per_slot - 1; ++i)
    {
        f.reply();
        CHECK(current_limit(f.state) == 1);
    }
    f.reply();
    CHECK(current_limit(f.state) == 2);
    for (int i = 0; i < 3; ++i)
    {
        f.reply(40ms);
    }
    CHECK(current_limit(f.state) == 1);
    CHECK(f.state.successes_needed == 2 * config::successes_per_slot);
}

// Guards against mistaking stragglers for a cold start. Three of eight replies
// are stragglers with probability 0.01 x P(at least 2 of 7) = 2.0e-5 per reply.
TEST_CASE("independent stragglers rarely look cold", "[target_limits]")
{
    fixture f;
    f.warm();
    std::bernoulli_distribution straggles(0.01);
    std::lognormal_distribution<double> spread(0.0, 0.3);
    constexpr std::size_t replies = 1'000'000;
    const auto before = f.state.cold_falls;
    std::size_t reduced = 0;
    for (std::size_t i = 0; i < replies; ++i)
    {
        const double ms = 2.0 * spread(f.random);
        const double factor = straggles(f.random) ? 50.0 : 1.0;
        f.reply(std::chrono::microseconds(
            static_cast<std::int64_t>(1000.0 * ms * factor)));
        reduced += current_limit(f.state) < 3 ? 1 : 0;
    }
    const auto falls = f.state.cold_falls - before;
    WARN(falls << " falls and " << reduced << " replies at a reduced limit in "
               << replies);
    CHECK(falls < 40);
    CHECK(reduced < replies / 100);
}

// Guards against new work for a target that is draining or in a zone that is
// out of service, and against full load when it returns.
TEST_CASE("a drain refuses the queue and a return is cold", "[target_limits]")
{
    fixture f;
    f.warm();
    f.add();
    f.add();
    catalog_target row;
    row.slots = 3;
    target_report report;
    report.reachable = true;
    report.instance = "i1";
    queue_refusals refused;
    miss_reason reason = miss_reason::draining;
    SECTION("table")
    {
        row.draining = true;
        refused = configure(f.state, row);
    }
    SECTION("zone")
    {
        row.zone_out = true;
        refused = configure(f.state, row);
        reason = miss_reason::zone_out;
    }
    SECTION("report")
    {
        report.draining = true;
        refused = on_status(f.state, report, start, f.random);
    }
    SECTION("reply")
    {
        refused = f.reply(2ms, miss_reason::draining);
    }
    SECTION("VM list")
    {
        refused = set_leaving(f.state, true);
    }
    REQUIRE(refused.size() == 2);
    CHECK(refused[0].reason == reason);
    CHECK(f.add()[0].reason == reason);
    row.draining = row.zone_out = report.draining = false;
    const bool by_table = f.state.zone_out || f.state.table_draining;
    configure(f.state, row);
    on_status(f.state, report, start, f.random);
    set_leaving(f.state, false);
    CHECK(f.add().empty());
    CHECK(current_limit(f.state) == (by_table ? 1 : 3));
}

// Guards against probing an unreachable target at the full rate, and against
// synchronised probes.
TEST_CASE("probes of an unreachable target back off", "[target_limits]")
{
    fixture f;
    f.add();
    CHECK(f.reply(1ms, miss_reason::unreachable).empty());
    const auto refused = f.reply(1ms, miss_reason::unreachable);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == miss_reason::unreachable);
    std::set<duration> delays;
    auto now = start;
    for (int i = 0; i < 10; ++i)
    {
        now = f.state.next_probe;
        CHECK_FALSE(is_probe_due(f.state, now - 1ms));
        CHECK(is_probe_due(f.state, now));
        on_status(f.state, {}, now, f.random);
        delays.insert(f.state.next_probe - now);
    }
    CHECK(delays.size() == 10);
    CHECK(*delays.rbegin() <= config::max_target_probe_delay);
    CHECK(*delays.rbegin() >= config::max_target_probe_delay / 2);
    target_report report;
    report.reachable = true;
    on_status(f.state, report, now, f.random);
    CHECK(f.add().empty());
}

// Guards against a new owner that treats a warm target as cold, or a restarted
// one as warm.
TEST_CASE("a new owner continues from the report", "[target_limits]")
{
    fixture f;
    target_report report;
    report.reachable = true;
    report.instance = "i7";
    report.proven_limit = 3;
    apply_owner_report(f.state, report);
    CHECK(current_limit(f.state) == 3);
    f.reply(2ms, miss_reason::none, "i7");
    CHECK(current_limit(f.state) == 3);
    f.reply(2ms, miss_reason::none, "i8");
    CHECK(current_limit(f.state) == 1);
}
