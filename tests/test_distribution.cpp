#include "config.hpp"
#include "property.hpp"
#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleymux;
using namespace bramleymux::test;
using nlohmann::json;

namespace
{

table_value
table(std::uint64_t version)
{
    return std::make_shared<const json>(json{{"rows", version}});
}

known_vm
vm(const std::string& id, const std::string& zone, std::uint64_t version,
    vm_presence presence = vm_presence::live)
{
    known_vm out;
    out.identity = {id, zone, id + ":1", 1};
    out.presence = presence;
    out.digest.table_version = version;
    return out;
}

std::vector<std::string>
watchers(const std::vector<known_vm>& known)
{
    std::vector<std::string> out;
    for (const known_vm& each : known)
    {
        if (watches_table(each.identity.id, known))
        {
            out.push_back(each.identity.id);
        }
    }
    return out;
}

} // namespace

// Guards against a VM that goes back to an earlier table.
TEST_CASE("only a higher table version is adopted", "[distribution]")
{
    distribution_state state = make_distribution({"a", "z", "a:1", 1}, 1);
    const std::vector<known_vm> known{vm("a", "z", 0), vm("b", "z", 0)};
    const monotonic_time now{};
    CHECK(on_platform_table(state, 5, table(5), known, now).adopted);
    CHECK_FALSE(on_platform_table(state, 5, table(6), known, now).adopted);
    CHECK_FALSE(on_platform_table(state, 4, table(4), known, now).adopted);
    const auto transfer = [&](std::uint64_t version)
    {
        return on_table_message(state,
            {peer_message_type::table, "b", 1,
                {{"op", "transfer"}, {"version", version},
                    {"value", *table(version)}}},
            known, now)
            .adopted;
    };
    CHECK_FALSE(transfer(4));
    CHECK(transfer(6));
    CHECK(state.version == 6);
    CHECK(*state.value == *table(6));
}

// Guards against a crash or an adopted table from a malformed message.
TEST_CASE("malformed table messages are ignored", "[distribution]")
{
    distribution_state state = make_distribution({"a", "z", "a:1", 1}, 1);
    for (const json& body : {json::object(), json{{"op", 1}, {"version", 1}},
             json{{"op", "transfer"}, {"version", -1}, {"value", {{"a", 1}}}},
             json{{"op", "transfer"}, {"version", 2}},
             json{{"op", "transfer"}, {"version", 2}, {"value", 3}},
             json{{"op", "nonsense"}, {"version", 2}},
             json{{"op", "offer"}, {"version", "2"}, {"relay", 3}}})
    {
        CHECK_FALSE(on_table_message(state,
            {peer_message_type::table, "b", 1, body}, {}, monotonic_time{})
                        .adopted);
    }
    CHECK(state.version == 0);
}

// Guards against VMs that an edit does not reach, and against several transfers
// of the table to one VM when several VMs read it from the platform.
TEST_CASE("a table reaches every VM with one transfer each", "[distribution]")
{
    virtual_fleet fleet({32, 4, 1});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.run(2min); // opens the links
    fleet.publish(0, 1);
    fleet.run(10s);
    REQUIRE(fleet.all_have(1));
    fleet.transfers = 0;
    fleet.publish(0, 2);
    fleet.publish(4, 2);
    fleet.publish(1, 2);
    fleet.run(10s);
    CHECK(fleet.all_have(2));
    CHECK(fleet.transfers == 29);
    CHECK(in_force(2, known_vms(fleet.node(7).membership)).everywhere());
}

// Guards against a new VM that stays without a table while the platform is
// down.
TEST_CASE("a new VM takes the table from its peers", "[distribution]")
{
    virtual_fleet fleet({8, 4, 2});
    fleet.run(10s);
    fleet.publish(0, 9);
    fleet.run(5s);
    fleet.start(3, fleet.first_incarnation + 1);
    CHECK(fleet.run_until(
        20s, [&] { return fleet.node(3).distribution.version == 9; }));
}

// Guards against a zone that keeps an old table after a network partition, and
// against a report of an edit as in force where it is not.
TEST_CASE("a zone adopts the newest table after a partition", "[distribution]")
{
    virtual_fleet fleet({16, 4, 3});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.is_cut = [](const vm_identity& a, const vm_identity& b)
    { return (a.zone == "zone-2") != (b.zone == "zone-2"); };
    fleet.publish(0, 1);
    fleet.run(1min);
    fleet.publish(0, 2);
    fleet.run(1min);
    const in_force_report cut =
        in_force(2, known_vms(fleet.node(0).membership));
    CHECK(cut.applied.size() == 12);
    CHECK(cut.cut_off.size() == 4);
    CHECK_FALSE(cut.everywhere());
    CHECK_FALSE(fleet.all_have(1));
    fleet.is_cut = nullptr;
    CHECK(fleet.run_until(1min,
        [&] {
            return in_force(2, known_vms(fleet.node(0).membership))
                .everywhere();
        }));
    CHECK(fleet.all_have(2));
}

// Guards against a zone without a working watcher, and against every VM
// watching during an outage of the platform.
TEST_CASE("watchers are replaced by rank", "[distribution]")
{
    std::vector<known_vm> known;
    for (int i = 10; i < 40; ++i)
    {
        known.push_back(vm(std::to_string(i), i < 20 ? "a" : "b", 1));
    }
    const std::vector<std::string> before = watchers(known);
    REQUIRE(before.size() == 4);
    const auto find = [&](const std::string& id)
    {
        return std::find_if(known.begin(), known.end(),
            [&](const known_vm& each) { return each.identity.id == id; });
    };
    find(before[0])->digest.platform_reachable = false;
    const std::vector<std::string> more = watchers(known);
    CHECK(more.size() == 5); // the first one keeps trying the platform
    CHECK(
        std::includes(more.begin(), more.end(), before.begin(), before.end()));
    find(before[1])->presence = vm_presence::cut_off;
    CHECK(watchers(known).size() == 5);
    CHECK_FALSE(watches_table("nobody", known));
    for (known_vm& each : known)
    {
        each.presence = vm_presence::live;
        each.digest.platform_reachable = false;
    }
    CHECK(watchers(known).size() == 2 * config::max_watchers_per_zone);
}

// Guards against an edit that is reported as in force while a VM that may
// serve does not have it.
TEST_CASE("the in-force report names every VM that may serve", "[distribution]")
{
    const in_force_report report =
        in_force(5, {vm("a", "z", 5), vm("b", "z", 6), vm("c", "z", 4),
                        vm("d", "z", 5, vm_presence::cut_off),
                        vm("e", "z", 0, vm_presence::unconfirmed),
                        vm("f", "z", 4, vm_presence::gone)});
    CHECK(report.applied == std::vector<std::string>{"a", "b"});
    CHECK(report.pending == std::vector<std::string>{"c"});
    CHECK(report.cut_off == std::vector<std::string>{"d"});
    CHECK(report.unconfirmed == std::vector<std::string>{"e"});
    CHECK_FALSE(report.everywhere());
    CHECK(in_force(5, {vm("a", "z", 5), vm("f", "z", 4, vm_presence::gone)})
              .everywhere());
}

// Guards against versions that decrease and VMs that miss the newest one, when
// VMs read from the platform in any order and messages are lost and duplicated.
TEST_CASE("every VM reaches the newest table", "[distribution]")
{
    CHECK(holds(31, 60,
        []
        {
            const auto vms = *rc::gen::inRange<std::size_t>(2, 20);
            virtual_fleet fleet({vms, 4, *rc::gen::arbitrary<std::uint64_t>(),
                0.3, 0.2, 1ms, 400ms});
            std::uint64_t newest = 0;
            const auto publishes = *rc::gen::inRange(1, 12);
            for (int i = 0; i < publishes; ++i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, vms);
                const auto version = *rc::gen::inRange<std::uint64_t>(1, 20);
                newest = std::max(newest, version);
                fleet.publish(at, version);
                fleet.run(
                    std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
            }
            RC_ASSERT(
                fleet.run_until(1min, [&] { return fleet.all_have(newest); }));
            for (const auto& [id, node] : fleet.nodes)
            {
                RC_ASSERT(!node->version_decreased);
                RC_ASSERT(*node->distribution.value == *table(newest));
            }
        }));
}
