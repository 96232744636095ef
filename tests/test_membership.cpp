#include "config.hpp"
#include "property.hpp"
#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace bramleymux;
using namespace bramleymux::test;
using nlohmann::json;

namespace
{

std::size_t
count_events(const fleet_node& node, member_event_kind kind)
{
    return static_cast<std::size_t>(
        std::count_if(node.events.begin(), node.events.end(),
            [&](const member_event& each) { return each.kind == kind; }));
}

std::size_t
count_removals(virtual_fleet& fleet)
{
    std::size_t sum = 0;
    for (const auto& [id, node] : fleet.nodes)
    {
        sum += count_events(*node, member_event_kind::removed);
    }
    return sum;
}

vm_presence
presence(virtual_fleet& fleet, std::size_t at, const std::string& id)
{
    for (const known_vm& vm : known_vms(fleet.node(at).membership))
    {
        if (vm.identity.id == id)
        {
            return vm.presence;
        }
    }
    return vm_presence::count;
}

/// Limit on the time until every VM has removed a dead one: a round of probes
/// in the zone, the suspicion timeout and the gossip. Also holds at 10% loss.
constexpr auto removal_bound = 15s;
/// Limit on the time until all VMs agree after the last fault has ended.
constexpr auto healing_bound = 60s;

} // namespace

// Guards against VMs that do not find each other through the platform's list.
TEST_CASE("a fleet forms from the platform's list", "[membership]")
{
    for (const std::size_t vms : {2, 8, 64})
    {
        virtual_fleet fleet({vms, 4, 3});
        CHECK(fleet.run_until(20s, [&] { return fleet.converged(); }));
        fleet.run(30s);
        CHECK(count_removals(fleet) == 0);
        CHECK(fleet.largest_gossip <= config::max_gossip_bytes);
    }
}

// Guards against a dead VM that stays a member, and against live ones that are
// removed with it.
TEST_CASE("a dead VM is removed within a bound", "[membership]")
{
    virtual_fleet fleet({32, 8, 4});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.run(10s);
    fleet.node(5).running = false;
    CHECK(fleet.run_until(removal_bound, [&] { return fleet.converged(); }));
    CHECK(count_removals(fleet) == 31);
    CHECK(presence(fleet, 0, fleet.name(5)) == vm_presence::cut_off);
    fleet.platform_list.erase(fleet.platform_list.begin() + 5);
    seed_members(fleet.node(0).membership, fleet.platform_list, fleet.now);
    CHECK(presence(fleet, 0, fleet.name(5)) == vm_presence::gone);
}

// Guards against the removal of a VM that answers but is absent from a lagging
// list of the platform.
TEST_CASE("a VM that is absent from the list stays a member", "[membership]")
{
    virtual_fleet fleet({8, 4, 5});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    std::vector<vm_list_entry> lagging = fleet.platform_list;
    lagging.resize(3);
    for (auto& [id, node] : fleet.nodes)
    {
        seed_members(node->membership, lagging, fleet.now);
    }
    fleet.run(10s);
    CHECK(fleet.converged());
}

// Guards against a graceful stop that takes effect only after suspicion
// timeouts.
TEST_CASE("a leave takes effect at once", "[membership]")
{
    virtual_fleet fleet({8, 4, 6});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet_node& leaver = fleet.node(2);
    const membership_messages leaves =
        leave_members(leaver.membership, fleet.now);
    REQUIRE(leaves.size() == 7);
    for (const membership_message& each : leaves)
    {
        fleet_node& to = *fleet.nodes.at(each.to.id);
        on_member_message(to.membership, each.message, fleet.now);
        CHECK(fleet.live_count(to) == 7);
    }
    leaver.running = false;
    // Gossip of its earlier state does not bring it back.
    fleet.run(10s);
    CHECK(fleet.converged());
    CHECK(count_removals(fleet) == 0);
}

// Guards against a replaced VM that is mistaken for its predecessor.
TEST_CASE("a replaced VM is a new member", "[membership]")
{
    virtual_fleet fleet({8, 4, 7});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.start(1, fleet.first_incarnation + 1);
    CHECK(fleet.run_until(healing_bound, [&] { return fleet.converged(); }));
    CHECK(count_events(fleet.node(0), member_event_kind::replaced) == 1);

    // Another id at the same address.
    membership_state state = make_membership({"a", "z", "10.0.0.1:1", 5}, 1);
    const auto receive_probe =
        [&](const std::string& id, std::uint64_t incarnation)
    {
        on_member_message(state,
            {peer_message_type::probe, id, incarnation,
                {{"n", 1}, {"v", 0}, {"h", 0}, {"i", {"z", "10.0.0.2:1"}}}},
            monotonic_time(1h));
    };
    receive_probe("old", 10);
    receive_probe("new", 11);
    const auto live = live_members(state, "z");
    REQUIRE(live.size() == 2);
    CHECK(live[1].id == "new");
    // A late message of an earlier run has no effect.
    receive_probe("new", 9);
    CHECK(live_members(state, "z")[1].incarnation == 11);
}

// Guards against a paused VM that removes the others when it resumes, and
// against others that never accept it again.
TEST_CASE("a paused VM rejoins", "[membership]")
{
    virtual_fleet fleet({8, 4, 8});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.node(3).paused_until = fleet.now + 20s;
    fleet.run(20s);
    CHECK(fleet.live_count(fleet.node(0)) == 7);
    CHECK(fleet.run_until(healing_bound, [&] { return fleet.converged(); }));
    CHECK(count_events(fleet.node(3), member_event_kind::removed) == 0);
}

// Guards against a membership that stays split after the network has healed,
// against zones that remove their own members while it heals, and against a
// cut-off VM that is not reported as such.
TEST_CASE("a long network partition heals", "[membership]")
{
    virtual_fleet fleet({16, 4, 9});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    const std::string isolated_zone = "zone-1";
    fleet.is_cut = [&](const vm_identity& a, const vm_identity& b)
    { return (a.zone == isolated_zone) != (b.zone == isolated_zone); };
    fleet.run(2min);
    CHECK(fleet.live_count(fleet.node(0)) == 12);
    CHECK(fleet.live_count(fleet.node(1)) == 4);
    CHECK(presence(fleet, 0, fleet.name(1)) == vm_presence::cut_off);
    fleet.run(20min);
    const std::size_t removals = count_removals(fleet);
    fleet.is_cut = nullptr;
    CHECK(fleet.run_until(healing_bound, [&] { return fleet.converged(); }));
    CHECK(count_removals(fleet) == removals);
}

// Guards against the removal of a VM that only one zone cannot reach.
TEST_CASE("indirect probes keep a VM that others reach", "[membership]")
{
    virtual_fleet fleet({8, 4, 10});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    fleet.is_cut = [](const vm_identity& a, const vm_identity& b)
    {
        return (a.zone == "zone-0" && b.zone == "zone-1") ||
               (a.zone == "zone-1" && b.zone == "zone-0");
    };
    fleet.run(2min);
    CHECK(fleet.converged());
}

// Guards against digests that arrive late or never, and against counters above
// the size limit.
TEST_CASE("digests reach every VM", "[membership]")
{
    virtual_fleet fleet({32, 8, 11});
    REQUIRE(fleet.run_until(20s, [&] { return fleet.converged(); }));
    member_digest digest;
    digest.table_version = 7;
    digest.state = serving_state::draining;
    digest.platform_reachable = false;
    digest.view_id = 0xFFFFFFFFFFFFFFFFU;
    digest.counters = json{{"sheds", 3}};
    set_local_digest(fleet.node(2).membership, digest);
    const auto seen_by = [&](fleet_node& node)
    { return node.membership.members.at(fleet.name(2)).digest; };
    CHECK(fleet.run_until(10s,
        [&]
        {
            return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                [&](const auto& each)
                {
                    return each.first == fleet.name(2) ||
                           (seen_by(*each.second).table_version == 7 &&
                               seen_by(*each.second).state ==
                                   serving_state::draining &&
                               !seen_by(*each.second).platform_reachable);
                });
        }));
    fleet.run(2s);
    CHECK(seen_by(fleet.node(10)).view_id == digest.view_id); // same zone
    CHECK(seen_by(fleet.node(10)).counters == digest.counters);
    digest.counters = std::string(2 * config::max_gossip_bytes, 'x');
    set_local_digest(fleet.node(2).membership, digest);
    CHECK(fleet.node(2).membership.digest.counters.is_null());
}

// Guards against a crash or a false member from a malformed message.
TEST_CASE("malformed membership messages are ignored", "[membership]")
{
    membership_state state = make_membership({"a", "z", "10.0.0.1:1", 5}, 1);
    const std::string text(1000, 'x');
    for (const json& body : {json::object(), json{{"n", "x"}, {"u", 3}},
             json{{"n", -1}, {"v", json::array()}, {"h", text}, {"i", 1}},
             json{{"i", {text, text}}},
             json{{"u", {1, {1, 2}, {"b", -1, 0, 0, 0}, {"b", 1, 0, 0, 0},
                            {"b", 1, 0, 0, 0, 1, 1},
                            {text, 1, 0, 0, 0, "z", "b"}}},
                 {"x", 3}, {"t", {"c"}}, {"q", 1}}})
    {
        for (const auto type : {peer_message_type::probe,
                 peer_message_type::ack, peer_message_type::probe_request,
                 peer_message_type::leave, peer_message_type::table})
        {
            on_member_message(state, {type, "b", 1, body}, monotonic_time(1h));
        }
    }
    CHECK(state.members.empty());
}

// Guards against live, reachable VMs that stay removed, dead VMs that stay
// members and versions that decrease, after any sequence of faults.
TEST_CASE("the fleet converges after random faults", "[membership]")
{
    CHECK(holds(21, 150,
        []
        {
            const auto vms = *rc::gen::inRange<std::size_t>(4, 24);
            virtual_fleet fleet({vms, 4, *rc::gen::arbitrary<std::uint64_t>(),
                0.1, 0.1, 1ms, 120ms});
            fleet.run(10s);
            std::uint64_t version = 0;
            const auto steps = *rc::gen::inRange(1, 12);
            for (int i = 0; i < steps; ++i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, vms);
                const auto zone = "zone-" + std::to_string(at % 4);
                switch (*rc::gen::inRange(0, 6))
                {
                case 0:
                    fleet.start(at, fleet.first_incarnation + 1 + i);
                    break;
                case 1:
                    fleet.node(at).running = at == 0;
                    break;
                case 2:
                    fleet.node(at).paused_until = fleet.now + 8s;
                    break;
                case 3:
                    fleet.is_cut = [zone](const auto& a, const auto& b)
                    { return (a.zone == zone) != (b.zone == zone); };
                    break;
                case 4:
                    fleet.is_cut = nullptr;
                    break;
                default:
                    fleet.publish(0, ++version);
                    break;
                }
                fleet.run(std::chrono::seconds(*rc::gen::inRange(0, 10)));
            }
            fleet.is_cut = nullptr;
            fleet.run(8s); // the last pause ends
            // Message loss can cause a short false suspicion at any time, but
            // no live VM stays removed.
            RC_ASSERT(fleet.run_until(healing_bound,
                [&] { return fleet.converged() && fleet.all_have(version); }));
            for (const auto& [id, node] : fleet.nodes)
            {
                RC_ASSERT(!node->version_decreased);
            }
            RC_ASSERT(fleet.largest_gossip <= config::max_gossip_bytes);
        }));
}

// Prints the table of docs/notes/membership.md.
TEST_CASE("traffic of the membership", "[.measure]")
{
    constexpr auto window = 20s;
    constexpr double seconds = 20;
    std::printf("vms  messages/s  bytes/s  bytes/s of the busiest  formed s\n");
    for (const std::size_t vms : {8, 16, 32, 64, 128, 410})
    {
        virtual_fleet fleet({vms, 8, 1});
        const monotonic_time begin = fleet.now;
        const bool formed =
            fleet.run_until(2min, [&] { return fleet.converged(); });
        const double forming =
            std::chrono::duration<double>(fleet.now - begin).count();
        fleet.publish(0, 1764);
        fleet.run(20s);
        for (auto& [id, node] : fleet.nodes)
        {
            member_digest digest = node->membership.digest;
            digest.view_id = 0x9E3779B97F4A7C15U;
            set_local_digest(node->membership, digest);
        }
        fleet.run(10s);
        fleet.reset_counters();
        fleet.run(window);
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t busiest = 0;
        for (const auto& [id, node] : fleet.nodes)
        {
            messages += node->sent_messages;
            bytes += node->sent_bytes;
            busiest = std::max(busiest, node->sent_bytes);
        }
        const double scale = seconds * static_cast<double>(vms);
        std::printf("%4zu %8.1f %8.0f %8.0f %8.2f%s\n", vms,
            static_cast<double>(messages) / scale,
            static_cast<double>(bytes) / scale,
            static_cast<double>(busiest) / seconds, forming,
            formed ? "" : " not formed");
        // Measures one edit: the traffic above that of the idle fleet, the time
        // until all VMs have the table, and until one VM knows that they do.
        const double quiet = static_cast<double>(bytes) / scale;
        fleet.reset_counters();
        const monotonic_time edit = fleet.now;
        fleet.publish(0, 2000);
        fleet.run_until(2min, [&] { return fleet.all_have(2000); });
        const double adopted =
            std::chrono::duration<double>(fleet.now - edit).count();
        fleet.run_until(2min,
            [&] {
                return in_force(2000, known_vms(fleet.node(0).membership))
                    .everywhere();
            });
        const double known =
            std::chrono::duration<double>(fleet.now - edit).count();
        fleet.run(edit + window - fleet.now);
        bytes = 0;
        for (const auto& [id, node] : fleet.nodes)
        {
            bytes += node->sent_bytes;
        }
        std::printf(
            "     edit: adopted %.2f s, known %.2f s, %.0f bytes a VM\n",
            adopted, known,
            static_cast<double>(bytes) / static_cast<double>(vms) -
                quiet * seconds);
        // Measures the failure of one VM in the same way.
        const monotonic_time failure = fleet.now;
        fleet.reset_counters();
        fleet.node(3).running = false;
        fleet.run_until(2min,
            [&]
            {
                return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                    [&](const auto& each) {
                        return !each.second->running ||
                               fleet.live_count(*each.second) == vms - 1;
                    });
            });
        const double removed =
            std::chrono::duration<double>(fleet.now - failure).count();
        fleet.run(failure + window - fleet.now);
        bytes = 0;
        for (const auto& [id, node] : fleet.nodes)
        {
            bytes += node->sent_bytes;
        }
        std::printf(
            "     failure: removed everywhere %.2f s, %.0f bytes a VM\n",
            removed,
            static_cast<double>(bytes) / static_cast<double>(vms) -
                quiet * seconds);
        std::fflush(stdout);
    }
}
