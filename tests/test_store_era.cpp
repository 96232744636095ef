#include "config.hpp"
#include "entry_fixture.hpp"
#include "evacuations.hpp"
#include "platform_config.hpp"
#include "platform_source.hpp"
#include "soak/store.hpp"
#include "vm_liveness.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;
using nlohmann::json;

namespace
{

json
config_spec(int version)
{
    json out = json::parse(
        R"({"routes":[{"host":"h.example","pathPrefix":"/q/",)"
        R"("timeoutMs":1500,"service":"s"}],"services":[{"name":"s"}]})");
    out["version"] = version;
    return out;
}

json
target_spec(const std::string& zone, const std::string& state = "ready")
{
    json out = json::parse(
        R"({"service":"s","address":"127.0.0.1:9","version":"v1","slots":4,)"
        R"("warmupLeftMs":0,"sequence":4,"born":1700000000000})");
    out["zone"] = zone;
    out["state"] = state;
    return out;
}

/// A VM that follows a store which can be restored from an older copy.
struct restored_vm
{
    restored_vm()
        : store(vm.loop, 1),
          source(vm.loop, store.address(0), {"vm-1", "north", "127.0.0.1:1"},
              rollout_limits{}, vm.context, vm.server),
          runner(vm.loop, vm.caller_address())
    {
        store.put("config", "main", config_spec(3));
        store.put("servers", "ta", target_spec("north"));
        source.start();
        run_until([&] { return version() == 3 && vm.pool.size() == 1; });
    }

    void
    run_until(const std::function<bool()>& done)
    {
        runner.run_until(
            [&]
            {
                source.tick();
                return done();
            });
    }

    std::uint64_t
    version() const
    {
        return vm.server.state() == nullptr ? 0 : vm.server.state()->version;
    }

    /// Returns the id of the target chosen next, empty if there is none.
    std::string
    choice()
    {
        const target_state* chosen = vm.pool.choose("s", {});
        return chosen == nullptr ? "" : chosen->record.id;
    }

    std::uint64_t
    era()
    {
        return vm.counters.read()[counter::store_era];
    }

    entry_vm vm;
    soak::stand_in_store store;
    platform::platform_source source;
    test_caller runner;
};

} // namespace

// Guards against an era that is read from something that is no number, which
// would let a faulty reply start the feeds anew.
TEST_CASE("the era is read from the fields of a reply", "[platform][era]")
{
    const auto era = [](const std::string& text) {
        return platform::read_store_era({{"store-era", text}});
    };
    CHECK(era("0") == 0);
    CHECK(era("12") == 12);
    for (const char* text :
        {"", "x", "1x", "-1", "1.5", "99999999999999999999"})
    {
        CHECK(!era(text));
    }
    CHECK(!platform::read_store_era({}));
}

// Guards against a relay that passes on, after a restore, what it knew before,
// and against a list of the older era that arrives late and passes for current.
TEST_CASE(
    "a relay answers no poll until it knows the newer era", "[entry][era]")
{
    entry_vm vm;
    int starts = 0;
    int restores = 0;
    change_hub hub(vm.loop, vm.counters, vm.log, "r0", "north", {"servers"},
        {[](const store_change&) {},
            [&](bool follow) { starts += follow ? 1 : 0; },
            [&] { ++restores; }});
    // Of the last poll; 0 while it waits.
    const auto status = std::make_shared<int>(0);
    const auto status_of = [&](const std::string& query)
    {
        *status = 0;
        hub.serve_poll("/v1/changes?epoch=0&after=0" + query,
            [status](http_reply&& reply) { *status = reply.status; });
        return *status;
    };
    const auto object = [](std::uint64_t era, std::uint64_t number)
    {
        return std::vector<store_change>{
            {"servers", "a", {era, number}, false, "x"}};
    };
    call_reply plain;
    plain.status = 200;
    hub.set_vms({});
    CHECK(hub.record_store_era(plain) == era_order::current);
    hub.record_store_result(true);
    hub.apply_list("servers", object(0, 5), {0, 8});
    CHECK(status_of("") == 200);
    CHECK(starts == 1);
    // The poll of a VM that knows of the restore already.
    CHECK(status_of("&era=1") == 0);
    CHECK(starts == 2);
    CHECK(restores == 1);
    hub.apply_list("servers", object(0, 9), {0, 9});
    hub.tick();
    CHECK(*status == 0);
    hub.record_store_result(false);
    CHECK(status_of("") == 503);
    hub.record_store_result(true);
    CHECK(hub.record_store_era(plain) == era_order::older);
    call_reply stated = plain;
    stated.store_era = 1;
    CHECK(hub.record_store_era(stated) == era_order::current);
    CHECK(status_of("&era=1") == 0);
    hub.apply_list("servers", object(1, 3), {1, 4});
    hub.tick();
    CHECK(*status == 200);
    stated.status = 503;
    stated.store_era = 2;
    CHECK(hub.record_store_era(stated) == era_order::newer);
    CHECK(restores == 2);
    CHECK(status_of("") == 0);
    hub.stop();
    CHECK(*status == 503);
}

// Guards against a follower that learns of a restore only from the store, and
// that takes a relay of the older era for current.
TEST_CASE("relays pass the era on", "[entry][era]")
{
    entry_vm vm;
    change_view view;
    view.epoch = 7;
    const auto list = [&](std::uint64_t era, const std::string& name)
    {
        replace_kind(view, "servers", {{"servers", name, {era, 5}, false, "x"}},
            {era, 9}, monotonic_clock::now());
    };
    list(0, "old");
    std::vector<std::unique_ptr<stand_in_target>> relays;
    std::vector<registered_vm> vms;
    std::string last_poll;
    for (int i = 0; i < 3; ++i)
    {
        const std::string id = "r" + std::to_string(i);
        relays.push_back(std::make_unique<stand_in_target>(vm.loop, id,
            [&](const parsed_request& request)
            {
                last_poll = request.path;
                scripted_reply out{
                    http_text(200, "", encode_delta(delta_since(view, 0, 0)))};
                out.wait = 5ms;
                return out;
            }));
        vms.push_back({id, "north", relays.back()->address()});
    }
    std::string id;
    for (int i = 0; id.empty(); ++i)
    {
        std::vector<registered_vm> all = vms;
        all.push_back({"f" + std::to_string(i), "north", "127.0.0.1:9"});
        if (!plan_relays(all, all.back().id, "north").is_relay)
        {
            id = all.back().id;
        }
    }
    vms.push_back({id, "north", "127.0.0.1:9"});
    std::set<std::string> names;
    int restores = 0;
    change_hub hub(vm.loop, vm.counters, vm.log, id, "north", {"servers"},
        {[&](const store_change& c)
            { c.deleted ? names.erase(c.name) : names.insert(c.name).second; },
            [](bool) {}, [&] { ++restores; }});
    hub.set_vms(vms);
    test_caller runner(vm.loop, vm.caller_address());
    runner.run_until([&] { return names.count("old") == 1; });
    CHECK(last_poll.find("era=") == std::string::npos);
    list(1, "new");
    runner.run_until([&] { return names == std::set<std::string>{"new"}; });
    CHECK(restores == 1);
    runner.run_until(
        [&] { return last_poll.find("&era=1") != std::string::npos; });
    // All relays fall back to what they knew before.
    view = {};
    view.epoch = 8;
    list(0, "old");
    hub.refresh();
    last_poll.clear();
    for (int i = 0; i < 5; ++i)
    {
        runner.run_until([&] { return !last_poll.empty(); });
        last_poll.clear();
    }
    CHECK(names == std::set<std::string>{"new"});
    CHECK(!hub.is_confirmed());
    CHECK(hub.store_era() == 1);
}

// Guards against a VM that follows nothing after its watches have got 410, that
// takes objects of the new era for old because of their numbers, and that goes
// back to an older desired state.
TEST_CASE("a VM follows a store that goes back", "[platform][era]")
{
    restored_vm t;
    t.store.save();
    for (int i = 0; i < 20; ++i)
    {
        t.store.put("servers", "tb", target_spec("north"));
    }
    t.store.put("config", "main", config_spec(4));
    t.run_until([&] { return t.version() == 4 && t.vm.pool.size() == 2; });
    const std::uint64_t former = t.store.revision();
    t.store.restore();
    t.run_until([&] { return t.era() == 1; });
    t.store.put("servers", "tc", target_spec("north"));
    t.run_until([&] { return t.vm.pool.size() == 3; });
    // The target that the copy lacks is treated as lapsed, then as gone.
    t.run_until([&] { return t.vm.pool.size() == 2; });
    CHECK(t.version() == 4);
    CHECK(t.vm.counters.read()[counter::desired_state_version] == 4);
    t.store.put("config", "main", config_spec(5));
    t.run_until([&] { return t.version() == 5; });
    CHECK(t.store.revision() < former);
}

// Guards against a restore that stays unknown while the store answers errors
// only, and against one that is taken for an end of the feeds.
TEST_CASE("an error reply that states a newer era", "[platform][era]")
{
    restored_vm t;
    t.store.save();
    t.store.put("servers", "tb", target_spec("north"));
    t.run_until([&] { return t.vm.pool.size() == 2; });
    t.store.set_refusing(true);
    t.store.restore();
    // The watches are answered with 410, so the next calls are refused.
    t.run_until([&] { return t.era() == 1; });
    t.store.put("config", "main", config_spec(6));
    t.store.set_refusing(false);
    t.run_until([&] { return t.version() == 6; });
    t.run_until([&] { return t.vm.pool.size() == 1; });
}

// Guards against requests to a target that leaves, and to an evacuated zone,
// because the restored copy is from before both.
TEST_CASE("targets keep leaving and zones stay out after a restore",
    "[platform][era]")
{
    restored_vm t;
    t.store.put("servers", "tb", target_spec("south"));
    t.store.put("servers", "tc", target_spec("east"));
    t.run_until([&] { return t.vm.pool.size() == 3; });
    t.store.save();
    t.store.put("servers", "ta", target_spec("north", "draining"));
    t.store.put("evacuations", "south", json::object());
    t.run_until(
        [&] {
            return t.choice() == "tc" && t.choice() == "tc" &&
                   t.choice() == "tc";
        });
    t.store.restore();
    t.store.put("config", "main", config_spec(7));
    t.run_until([&] { return t.era() == 1 && t.version() == 7; });
    // A later change of each kind shows that the copy's objects were read.
    t.store.put("servers", "td", target_spec("east", "draining"));
    t.store.put("evacuations", "west", json::object());
    t.run_until([&] { return t.vm.pool.size() == 4; });
    for (int i = 0; i < 50; ++i)
    {
        CHECK(t.choice() == "tc");
    }
}

// Guards against a VM that the others lose since its registration is gone.
TEST_CASE("a lost registration is written again", "[platform][era]")
{
    restored_vm t;
    REQUIRE(t.store.has("bramleymux-vms", "vm-1"));
    t.store.restore(); // to the empty copy
    CHECK(!t.store.has("bramleymux-vms", "vm-1"));
    t.run_until([&] { return t.store.has("bramleymux-vms", "vm-1"); });
    t.run_until(
        [&] {
            return t.vm.counters.read()[counter::store_objects_rewritten] == 1;
        });
    CHECK(t.version() == 3);
}

// Guards against an evacuation that a restore ends at once, one that never
// ends, and a hold that a second restore prolongs.
TEST_CASE("an evacuation that the store lacks is held", "[era]")
{
    using zones = std::vector<std::string>;
    evacuations state;
    put(state, "a");
    put(state, "b");
    hold(state, "a", 10s);
    hold(state, "a", 15s);
    hold(state, "b", 10s);
    hold(state, "unknown", 10s);
    put(state, "b");
    CHECK(!expire(state, 9s));
    CHECK(zones_out(state) == zones{"a", "b"});
    CHECK(expire(state, 10s));
    CHECK(zones_out(state) == zones{"b"});
    remove(state, "b");
    CHECK(zones_out(state).empty());
}

// Guards against VMs that count as gone because the restored copy lacks them,
// and against VMs that are gone and come back to life with it.
TEST_CASE("live VMs after a restore", "[era]")
{
    const auto vm =
        [](const std::string& id, std::uint64_t era, std::uint64_t number)
    {
        return platform::listed_vm{
            id, {era, number}, registered_vm{id, "z", "127.0.0.1:1"}};
    };
    const auto ids = [](const std::vector<registered_vm>& vms)
    {
        std::string out;
        for (const registered_vm& v : vms)
        {
            out += v.id;
        }
        return out;
    };
    platform::vm_liveness state;
    monotonic_time now{std::chrono::hours(1)};
    live_vms(state, {vm("a", 0, 5), vm("b", 0, 6), vm("gone", 0, 2)}, 0, now);
    now += platform::vm_heartbeat_timeout;
    CHECK(
        ids(live_vms(state, {vm("a", 0, 50), vm("b", 0, 60), vm("gone", 0, 2)},
            0, now)) == "ab");
    now += 5s;
    // The copy has "a" as it was, lacks "b", and has VMs that are gone.
    CHECK(ids(live_vms(state, {vm("a", 1, 30), vm("gone", 1, 2)}, 1, now)) ==
          "ab");
    now += platform::vm_restore_hold;
    CHECK(ids(live_vms(state, {vm("a", 1, 30), vm("gone", 1, 2)}, 1, now)) ==
          "a");
    CHECK(
        ids(live_vms(state, {vm("a", 1, 30), vm("b", 1, 32), vm("gone", 1, 33)},
            1, now)) == "abgone");
}
