#include "config.hpp"
#include "entry_fixture.hpp"
#include "process_pause.hpp"
#include "rollout_controller.hpp"
#include "store_objects.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

constexpr rollout_limits limits{0.1, 50.0};

rollout_progress
progress(double part, const rollout_counts& counts)
{
    const auto limit = std::chrono::duration_cast<duration>(20s);
    return {std::chrono::duration_cast<duration>(limit * part), limit, counts};
}

const rollout_counts healthy{{40, 1}, {800, 16}};
const rollout_counts failing{{60, 25}, {800, 16}};

/// An entry VM and a service with one target of each version.
struct two_versions
{
    two_versions()
        : former(vm.loop, "t-old",
              [](const parsed_request& r) { return good(r, "p-old", "x"); }),
          fresh(vm.loop, "t-new",
              [](const parsed_request& r) { return good(r, "p-new", "x"); })
    {
        target_record old_record = former.record("s", "north");
        old_record.version = "v1";
        target_record new_record = fresh.record("s", "north");
        new_record.version = "v2";
        vm.pool.put(old_record);
        vm.pool.put(new_record);
    }

    rollout_order
    order(rollout_state state, bool acknowledged) const
    {
        return {"s", "v2", 20s, {0, 7}, 3, state, acknowledged};
    }

    /// Returns how often each target was chosen for `n` first sends, by id.
    std::map<std::string, int>
    choices(int n)
    {
        std::map<std::string, int> out;
        for (int i = 0; i < n; ++i)
        {
            const target_state* t = vm.pool.choose("s", {});
            ++out[t == nullptr ? "none" : t->record.id];
        }
        return out;
    }

    entry_vm vm;
    stand_in_target former;
    stand_in_target fresh;
};

/// A controller that records its writes.
struct recorded_controller
{
    recorded_controller(two_versions& parts, const std::string& id)
        : controller(parts.vm.context, id, limits,
              {[this](const rollout_order& o, rollout_state s, bool again)
                  {
                      states.emplace_back(o.revision.number, s);
                      repeated = again;
                  },
                  [this](const rollout_report& r) { reports.push_back(r); },
                  [this](bool follow) { follows = follow; },
                  [this] { return evidence_current; }})
    {
    }

    std::vector<std::pair<std::uint64_t, rollout_state>> states;
    std::vector<rollout_report> reports;
    bool follows = false;
    bool repeated = false; ///< the last write
    bool evidence_current = true;
    rollout_controller controller;
};

} // namespace

// Guards against a bad version that receives more requests than its bound, and
// a good one that does not receive all requests in time.
TEST_CASE("the share of a rollout depends on time and evidence", "[entry]")
{
    CHECK(share_at(progress(0.0, {}), limits) <= 0.05);
    CHECK(share_at(progress(0.3, healthy), limits) <= 0.05);
    CHECK(share_at(progress(0.5, healthy), limits) > 0.05);
    CHECK(share_at(progress(0.7, healthy), limits) == 1.0);
    CHECK(share_at(progress(0.1, failing), limits) == 0.0);
    CHECK(verdict_of(progress(0.5, healthy), limits) == rollout_state::running);
    CHECK(
        verdict_of(progress(0.8, healthy), limits) == rollout_state::completed);
    CHECK(
        verdict_of(progress(0.1, failing), limits) == rollout_state::withdrawn);
    // A suspected version keeps a small share and is withdrawn at the end.
    const rollout_counts doubtful{{60, 12}, {800, 16}};
    CHECK(!is_bad(doubtful));
    CHECK(share_at(progress(0.7, doubtful), limits) <= 0.05);
    CHECK(verdict_of(progress(0.95, doubtful), limits) ==
          rollout_state::withdrawn);
    // Without any traffic the rollout still completes in time.
    CHECK(verdict_of(progress(0.8, {}), limits) == rollout_state::completed);
}

// Guards against withdrawing a good version because both versions fail, for
// instance under overload.
TEST_CASE("failures of both versions do not withdraw the new one", "[entry]")
{
    const rollout_counts overload{{60, 25}, {800, 330}};
    CHECK(!is_bad(overload));
    CHECK(
        verdict_of(progress(0.3, overload), limits) == rollout_state::running);
}

// Guards against detecting a bad version only after its bound, at the rates
// that the platform's rules give.
TEST_CASE(
    "a version that fails a third is found within 50 bad replies", "[entry]")
{
    for (int bad = 1; bad <= 50; ++bad)
    {
        const rollout_counts counts{{bad * 3.0, static_cast<double>(bad)},
            {bad * 57.0, bad * 57.0 * 0.02}};
        if (is_bad(counts))
        {
            CHECK(bad <= 25);
            return;
        }
    }
    FAIL("not found");
}

// Guards against first sends that deviate from the share of a version, and
// hedges that go to the version under test.
TEST_CASE("a pool applies the share of a version", "[entry]")
{
    two_versions t;
    t.vm.pool.set_version_share("s", rollout_share{"v2", 1, 0.1});
    CHECK(t.choices(100)["t-new"] == 10);
    const target_state* old = t.vm.pool.choose("s", {});
    REQUIRE(old->record.id == "t-old");
    CHECK(t.vm.pool.choose("s", {old}) == nullptr);
    t.vm.pool.set_version_share("s", rollout_share{"v2", 1, 0.0});
    CHECK(t.choices(50)["t-new"] == 0);
    t.vm.pool.set_version_share("s", rollout_share{"v2", 1, 1.0});
    CHECK(t.choices(50)["t-new"] == 50);
    t.vm.pool.set_version_share("s", std::nullopt);
    CHECK(t.choices(1).count("none") == 0);
}

// Guards against a withdrawal that leaves a service without any target.
TEST_CASE("a version that is alone receives all requests", "[entry]")
{
    two_versions t;
    t.vm.pool.remove("t-old");
    target_record other = t.former.record("s", "north");
    other.version = "v2";
    t.vm.pool.put(other);
    t.vm.pool.set_version_share("s", rollout_share{"v2", 1, 0.0});
    CHECK(t.choices(10).count("none") == 0);
}

// Guards against replies that are attributed to the wrong version.
TEST_CASE("replies are counted by version", "[entry]")
{
    two_versions t;
    t.fresh.set_script(
        [](const parsed_request& r) -> scripted_reply
        {
            return {http_text(500,
                "X-Request-Id: " + header_value(r, "X-Request-Id") +
                    "\r\nX-Response-Stamp: p\r\n",
                "")};
        });
    t.vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    t.vm.pool.set_version_share("s", rollout_share{"v2", 1, 0.5});
    test_caller caller(t.vm.loop, t.vm.caller_address());
    for (int i = 0; i < 10; ++i)
    {
        caller.send(get("/q/1", "r" + std::to_string(i)));
        CHECK(caller.reply().status == 200);
    }
    const rollout_counts counts = t.vm.pool.version_counts("s");
    CHECK(counts.fresh.replies == 5);
    CHECK(counts.fresh.bad == 5);
    CHECK(counts.former.replies == 10);
    CHECK(counts.former.bad == 0);
    t.vm.pool.set_version_share("s", rollout_share{"v2", 2, 0.5});
    CHECK(t.vm.pool.version_counts("s").fresh.replies == 0);
}

// Guards against a verdict that is reached only if a single VM sees all of the
// evidence.
TEST_CASE("evidence of other VMs withdraws a version", "[entry]")
{
    two_versions t;
    recorded_controller c(t, "vm-1");
    c.controller.set_vms({"vm-1", "vm-2"});
    c.controller.put(t.order(rollout_state::running, false));
    c.controller.tick();
    CHECK(c.follows);
    REQUIRE(c.states.size() == 1);
    CHECK(c.states[0].second == rollout_state::running);
    CHECK(c.states[0].first == 7);
    CHECK(t.choices(100)["t-new"] == 5);

    c.controller.put(t.order(rollout_state::running, true));
    c.controller.take_report("vm-2", {{{"s", "v2", 3, failing}}});
    // A report on another order is not evidence for this one.
    c.controller.take_report("vm-3", {{{"s", "v2", 2, {{900, 0}, {0, 0}}}}});
    c.controller.tick();
    CHECK(t.choices(50)["t-new"] == 0);
}

// Guards against a withdrawal that is reversed by a VM that started later or
// saw no failures itself.
TEST_CASE("the state in the store ends a rollout on every VM", "[entry]")
{
    two_versions t;
    recorded_controller c(t, "vm-1");
    c.controller.put(t.order(rollout_state::withdrawn, true));
    c.controller.tick();
    CHECK(c.states.empty());
    CHECK(!c.follows);
    CHECK(t.choices(50)["t-new"] == 0);
    c.controller.put(t.order(rollout_state::completed, true));
    CHECK(t.choices(50)["t-new"] == 50);
    c.controller.remove("s");
    CHECK(t.choices(50).count("none") == 0);
}

// Guards against a VM that completes the rollout of a bad version on what it
// knew before a pause of its process or a cut.
TEST_CASE(
    "a rollout is not completed on evidence that is not current", "[entry]")
{
    for (const double part : {0.3, 0.5, 0.8, 0.95, 1.5})
    {
        INFO(part);
        rollout_progress p = progress(part, healthy);
        p.evidence_current = false;
        CHECK(verdict_of(p, limits) == rollout_state::running);
        CHECK(
            share_at(p, limits) == config::rollout_canary_part * limits.share);
        p.counts = failing;
        CHECK(verdict_of(p, limits) == rollout_state::withdrawn);
        CHECK(share_at(p, limits) == 0.0);
    }
}

// Guards against a verdict from before a pause that is written after it.
TEST_CASE("a verdict that is not written yet is reviewed", "[entry]")
{
    two_versions t;
    recorded_controller c(t, "vm-5");
    // The ranks delay the write of this VM.
    c.controller.set_vms({"vm-1", "vm-2", "vm-5"});
    rollout_order order = t.order(rollout_state::running, true);
    order.time_limit = 1ms;
    c.controller.put(order);
    test_caller runner(t.vm.loop, t.vm.caller_address());
    const auto wait = [&]
    {
        const auto end = monotonic_clock::now() + 20ms;
        runner.run_until([&] { return monotonic_clock::now() > end; });
    };
    wait();
    c.controller.tick();
    CHECK(t.choices(20)["t-new"] == 20);
    c.evidence_current = false;
    c.controller.tick();
    CHECK(t.choices(100)["t-new"] == 5);
    c.evidence_current = true;
    c.controller.take_report("vm-2", {{{"s", "v2", 3, failing}}});
    c.controller.tick();
    CHECK(t.choices(50)["t-new"] == 0);
    CHECK(c.states.empty());
}

// Guards against a verdict that a restore of the store undoes: targets of the
// former version may have stopped, or the version is known to be bad.
TEST_CASE(
    "a verdict that the restored store lacks is written again", "[entry][era]")
{
    const auto [verdict, share] =
        GENERATE(std::make_pair(rollout_state::completed, 50),
            std::make_pair(rollout_state::withdrawn, 0));
    two_versions t;
    recorded_controller c(t, "vm-1");
    c.controller.set_vms({"vm-1"});
    c.controller.put(t.order(verdict, true));
    c.evidence_current = false;
    CHECK(c.states.empty());
    rollout_order copy = t.order(rollout_state::running, true);
    copy.revision = {1, 5};
    c.controller.put(copy);
    CHECK(t.choices(50)["t-new"] == share);
    c.controller.tick();
    REQUIRE(c.states.size() == 1);
    CHECK(c.states[0] == std::make_pair(std::uint64_t{5}, verdict));
    CHECK(c.repeated);
    // The store shows it again.
    copy.revision = {1, 6};
    copy.state = verdict;
    c.controller.put(copy);
    c.controller.tick();
    CHECK(c.states.size() == 1);
    // The copy of a second restore lacks the order itself.
    c.controller.hold("s");
    c.controller.tick();
    CHECK(c.states.size() == 1);
    CHECK(t.choices(50)["t-new"] == share);
    // An order of another creation is a new one.
    copy = t.order(rollout_state::running, false);
    copy.created = 4;
    copy.revision = {2, 4};
    c.controller.put(copy);
    CHECK(t.choices(100)["t-new"] == 5);
}

// Guards against all VMs writing the same verdict at once.
TEST_CASE("VMs stagger the writes of a verdict", "[entry]")
{
    two_versions t;
    recorded_controller last(t, "vm-9");
    last.controller.set_vms({"vm-1", "vm-5", "vm-9"});
    last.controller.put(t.order(rollout_state::running, false));
    last.controller.tick();
    CHECK(last.states.empty());
}

// Guards against a pause that goes unnoticed, and against a slow event loop
// that passes for one.
TEST_CASE("a pause of the process is noticed", "[entry]")
{
    pause_watch watch{10s};
    CHECK(!has_paused(watch, 10s + 900ms));
    CHECK(has_paused(watch, 11s));
    note_running(watch, 11s);
    CHECK(!has_paused(watch, 11s + 50ms));
    CHECK(boot_time() >= monotonic_clock::now().time_since_epoch() - 1s);
}

// Guards against misreading an order, and against applying the state of an
// earlier order to this one.
TEST_CASE("rollout orders are read from the store's objects", "[platform]")
{
    const auto page = platform::decode_object_page("rollouts",
        R"({"items":[{"meta":{"name":"s","revision":9,"createdRev":4},)"
        R"("spec":{"service":"s","targetVersion":"v2","durationS":12},)"
        R"("status":{"state":"rolled_back","targetVersion":"v1"}}],"at":9})");
    REQUIRE(page);
    auto order = platform::decode_rollout(page->objects.at(0));
    REQUIRE(order);
    CHECK(order->version == "v2");
    CHECK(order->time_limit == 12s);
    CHECK(order->revision == store_revision{0, 9});
    CHECK(order->created == 4);
    CHECK(!order->acknowledged);
    CHECK(
        platform::encode_rollout_state(*order, rollout_state::withdrawn) ==
        R"({"meta":{"name":"s","revision":9},"status":{"state":"rolled_back","targetVersion":"v2"}})");
    store_change unreadable = page->objects.at(0);
    unreadable.payload = R"({"spec":{"service":"s","durationS":"x"}})";
    CHECK(!platform::decode_rollout(unreadable));

    const rollout_report report{{{"s", "v2", 4, failing}}};
    const auto object =
        nlohmann::json::parse(platform::encode_rollout_report("vm-1", report));
    const auto back = platform::decode_rollout_report(object.at("spec").dump());
    REQUIRE(back);
    CHECK(back->entries.at(0).counts.fresh.bad == 25);
    CHECK(back->entries.at(0).created == 4);
    CHECK(!platform::decode_rollout_report("{}"));
}
