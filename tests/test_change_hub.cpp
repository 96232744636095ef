#include "change_hub.hpp"
#include "config.hpp"
#include "entry_fixture.hpp"
#include "property.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

const monotonic_time start{std::chrono::hours(1)};

store_change
object(const std::string& name, std::uint64_t revision, bool deleted = false,
    std::uint64_t era = 0)
{
    return {"servers", name, {era, revision}, deleted,
        deleted ? "" : name + "@" + std::to_string(revision)};
}

/// Returns the names and revisions of the objects that are not deleted.
std::map<std::string, std::uint64_t>
live_objects(const change_view& view)
{
    std::map<std::string, std::uint64_t> out;
    for (const auto& [key, item] : view.items)
    {
        if (!item.object.deleted)
        {
            out[key.second] = item.object.revision.number;
        }
    }
    return out;
}

} // namespace

// Guards against an older change from one relay that overwrites a newer one
// from another.
TEST_CASE("older and repeated changes are ignored", "[entry]")
{
    change_view view;
    CHECK(apply(view, object("a", 5), start));
    CHECK(!apply(view, object("a", 5), start));
    CHECK(!apply(view, object("a", 4), start));
    CHECK(!apply(view, object("a", 4, true), start));
    CHECK(apply(view, object("a", 5, true), start));
    CHECK(!apply(view, object("a", 5), start));
    CHECK(apply(view, object("a", 6), start));
    CHECK(live_objects(view) == std::map<std::string, std::uint64_t>{{"a", 6}});
}

// Guards against a deletion that is lost when it shows only as an object
// missing from a list, and against deleting an object newer than the list.
TEST_CASE("a list deletes missing objects unless they are newer", "[entry]")
{
    change_view view;
    apply(view, object("a", 5), start);
    apply(view, object("late", 12), start);
    const auto changes =
        replace_kind(view, "servers", {object("b", 7)}, {0, 10}, start);
    CHECK(changes.size() == 2);
    CHECK(live_objects(view) ==
          std::map<std::string, std::uint64_t>{{"b", 7}, {"late", 12}});
}

namespace
{

/// A store that can be restored to an older copy of itself, after which it
/// gives out its revisions again.
struct restorable_store
{
    struct copy
    {
        std::map<std::string, std::uint64_t> objects; ///< revisions by name
        std::uint64_t revision = 0;
    };

    void
    put(const std::string& name)
    {
        now.objects[name] = ++now.revision;
        history.push_back(object(name, now.revision, false, era));
    }

    void
    remove(const std::string& name)
    {
        const auto found = now.objects.find(name);
        if (found != now.objects.end())
        {
            history.push_back(object(name, found->second, true, era));
            now.objects.erase(found);
            ++now.revision;
        }
    }

    /// Returns to the copy, or to the empty store if there is none.
    void
    restore()
    {
        now = saved;
        ++era;
        history.clear();
    }

    std::vector<store_change>
    list() const
    {
        std::vector<store_change> out;
        for (const auto& [name, revision] : now.objects)
        {
            out.push_back(object(name, revision, false, era));
        }
        return out;
    }

    copy now;
    copy saved;
    std::uint64_t era = 0;
    std::vector<store_change> history; ///< changes of this era
};

/// A relay of `restorable_store`: lists at its start and in each new era, and
/// reads the changes since.
struct store_reader
{
    void
    catch_up(const restorable_store& store, monotonic_time now)
    {
        if (!listed || era != store.era)
        {
            list(store, now);
        }
        for (; read < store.history.size(); ++read)
        {
            apply(view, store.history[read], now);
        }
        raise_revision(view, "servers", {store.era, store.now.revision});
    }

    void
    list(const restorable_store& store, monotonic_time now)
    {
        replace_kind(view, "servers", store.list(),
            {store.era, store.now.revision}, now);
        listed = true;
        era = store.era;
        read = store.history.size();
    }

    void
    restart(std::uint64_t epoch)
    {
        *this = {};
        view.epoch = epoch;
    }

    change_view view;
    bool listed = false;
    std::uint64_t era = 0;
    std::size_t read = 0;
};

} // namespace

// Guards against a follower that ends up with other objects than the store
// after any sequence of changes, lists, deltas, pruned deletions, restarts and
// restores of the store, and against knowledge of an older era that replaces
// what a view knows of a newer one.
TEST_CASE(
    "a follower of two relays converges to the store's objects", "[entry]")
{
    const auto property = [](const std::vector<std::uint8_t>& steps)
    {
        restorable_store store;
        std::array<store_reader, 2> relays;
        std::array<std::pair<std::uint64_t, std::uint64_t>, 2> cursors{};
        std::uint64_t epochs = 0;
        for (store_reader& relay : relays)
        {
            relay.restart(++epochs);
        }
        change_view follower;
        std::uint64_t follower_era = 0;
        monotonic_time now = start;
        const auto check_era = [&]
        {
            const std::uint64_t known = known_revision(follower, "servers").era;
            RC_ASSERT(known >= follower_era);
            follower_era = known;
            for (const auto& [key, item] : follower.items)
            {
                RC_ASSERT(item.object.deleted ||
                          item.object.revision.era >= follower_era);
            }
        };
        const auto follow = [&](std::size_t r)
        {
            const auto encoded = encode_delta(delta_since(
                relays[r].view, cursors[r].first, cursors[r].second));
            const auto delta = decode_delta(encoded);
            RC_ASSERT(delta.has_value());
            merge_delta(follower, *delta, now);
            cursors[r] = {delta->epoch, delta->sequence};
            check_era();
        };
        for (const std::uint8_t step : steps)
        {
            now += 5s;
            const std::string name(1, static_cast<char>('a' + step % 5));
            const std::size_t r = step / 8 % 2;
            switch (step / 16)
            {
            case 0:
            case 1:
            case 2:
            case 3:
            case 4:
                store.put(name);
                break;
            case 5:
            case 6:
                store.remove(name);
                break;
            case 7:
            case 8:
                relays[r].catch_up(store, now);
                break;
            case 9:
            case 10:
                follow(r);
                break;
            case 11:
                prune_deletions(relays[r].view, now);
                break;
            case 12:
                relays[r].list(store, now);
                break;
            case 13:
                relays[r].restart(++epochs);
                relays[r].catch_up(store, now);
                break;
            case 14:
                store.saved = store.now;
                break;
            default:
                store.restore();
                break;
            }
        }
        for (std::size_t r = 0; r < relays.size(); ++r)
        {
            relays[r].catch_up(store, now);
            follow(r);
            RC_ASSERT(live_objects(relays[r].view) == store.now.objects);
        }
        RC_ASSERT(live_objects(follower) == store.now.objects);
        RC_ASSERT(known_revision(follower, "servers").era == store.era);
    };
    CHECK(test::holds(21, 2000, property));
}

// Guards against revisions that are given out again: with a smaller number, the
// object of the newer era is still the newer one, and the older era's change
// and list are refused.
TEST_CASE("a newer era wins over any number of an older one", "[entry]")
{
    change_view view;
    replace_kind(view, "servers", {object("a", 90), object("lost", 80)},
        {0, 100}, start);
    const auto changes = replace_kind(
        view, "servers", {object("a", 20, false, 1)}, {1, 50}, start);
    CHECK(changes.size() == 2);
    const std::map<std::string, std::uint64_t> expected{{"a", 20}};
    CHECK(live_objects(view) == expected);
    CHECK(!apply(view, object("a", 95), start));
    CHECK(!apply(view, object("lost", 95), start));
    CHECK(!apply(view, object("a", 90, true), start));
    // A source that is behind in the new era does not bring the object back.
    CHECK(!apply(view, object("lost", 40, false, 1), start));
    replace_kind(view, "servers", {object("lost", 99)}, {0, 120}, start);
    CHECK(live_objects(view) == expected);
    CHECK(known_revision(view, "servers") == store_revision{1, 50});
    CHECK(apply(view, object("lost", 51, false, 1), start));
}

// Guards against an object that only this VM knew before a restore and that a
// relay's delta, which is not full, does not name as deleted.
TEST_CASE("the first delta of a new era replaces the kind", "[entry]")
{
    change_view relay;
    relay.epoch = 1;
    replace_kind(relay, "servers", {object("a", 5)}, {0, 10}, start);
    change_view follower;
    const change_delta first = delta_since(relay, 0, 0);
    merge_delta(follower, first, start);
    apply(follower, object("other", 30), start);
    replace_kind(relay, "servers", {object("a", 5, false, 1)}, {1, 8}, start);
    const change_delta next = delta_since(relay, first.epoch, first.sequence);
    CHECK(!next.full);
    merge_delta(follower, next, start);
    CHECK(live_objects(follower) ==
          std::map<std::string, std::uint64_t>{{"a", 5}});
}

// Guards against other bytes between VMs while the store states no era, and
// against an era that is lost on the way.
TEST_CASE("a delta carries eras only after a restore", "[entry]")
{
    change_view view;
    view.epoch = 3;
    replace_kind(view, "servers", {object("a", 5)}, {0, 10}, start);
    const auto json_of = [&] {
        return nlohmann::json::from_cbor(encode_delta(delta_since(view, 0, 0)));
    };
    CHECK(
        json_of() ==
        nlohmann::json::parse(
            R"({"epoch":3,"sequence":1,"full":true,"revisions":{"servers":10},)"
            R"("changes":[{"kind":"servers","name":"a","revision":5,)"
            R"("payload":"a@5"}]})"));
    replace_kind(view, "servers", {object("a", 5, false, 2)}, {2, 7}, start);
    const auto delta = decode_delta(encode_delta(delta_since(view, 0, 0)));
    REQUIRE(delta);
    CHECK(delta->revisions.at("servers") == store_revision{2, 7});
    CHECK(delta->changes.at(0).revision == store_revision{2, 5});
}

// Guards against a target that has left and is used again because one relay,
// cut off from the store, still lists it.
TEST_CASE("a source that is behind adds no deleted object", "[entry]")
{
    // The object was registered at revision 12 and deleted at revision 21.
    change_view behind;
    behind.epoch = 1;
    replace_kind(behind, "servers", {object("gone", 12), object("a", 5)},
        {0, 13}, start);
    change_view current;
    current.epoch = 2;
    replace_kind(current, "servers", {object("a", 5)}, {0, 13}, start);
    apply(current, object("gone", 12), start);
    apply(current, object("gone", 12, true), start);
    raise_revision(current, "servers", {0, 21});
    prune_deletions(current, start + 2min);
    const std::map<std::string, std::uint64_t> expected{{"a", 5}};

    change_view behind_first;
    merge_delta(behind_first, delta_since(behind, 0, 0), start);
    merge_delta(behind_first, delta_since(current, 0, 0), start);
    CHECK(live_objects(behind_first) == expected);

    change_view behind_last;
    merge_delta(behind_last, delta_since(current, 0, 0), start);
    merge_delta(behind_last, delta_since(behind, 0, 0), start);
    CHECK(live_objects(behind_last) == expected);

    // A change that the source behind passes on later has no effect either.
    merge_delta(behind_last,
        {1, 3, false, {{"servers", {0, 13}}}, {object("gone", 12)}}, start);
    CHECK(live_objects(behind_last) == expected);
}

// Guards against an object that stays unknown after a watch missed it: a list
// that is as new as the view adds it.
TEST_CASE("a current list adds an object that the view missed", "[entry]")
{
    change_view view;
    replace_kind(view, "servers", {object("a", 5)}, {0, 10}, start);
    CHECK(!apply(view, object("missed", 8), start));
    replace_kind(
        view, "servers", {object("a", 5), object("missed", 8)}, {0, 10}, start);
    CHECK(live_objects(view) ==
          std::map<std::string, std::uint64_t>{{"a", 5}, {"missed", 8}});
    // A stale list neither adds nor deletes.
    replace_kind(view, "servers", {object("old", 3)}, {0, 4}, start);
    CHECK(live_objects(view) ==
          std::map<std::string, std::uint64_t>{{"a", 5}, {"missed", 8}});
}

// Guards against a malformed delta of a peer that crashes the process.
TEST_CASE("malformed deltas are refused", "[entry]")
{
    CHECK(!decode_delta("").has_value());
    CHECK(!decode_delta("\xff\xff").has_value());
    CHECK(!decode_delta("\xa1\x61x\x01").has_value());
    const auto property = [](const std::string& bytes)
    { static_cast<void>(decode_delta(bytes)); };
    CHECK(test::holds(22, 300, property));
}

// Guards against VMs of one zone that choose different relays or too few, which
// raises the calls to the store or leaves followers without a spare relay.
TEST_CASE("VMs of a zone agree on their relays", "[entry]")
{
    std::vector<registered_vm> vms;
    for (int i = 0; i < 20; ++i)
    {
        const std::string id = "vm-" + std::to_string(i);
        vms.push_back({id, i % 2 == 0 ? "north" : "south", id + ":1"});
    }
    std::set<std::vector<std::string>> lists;
    int relays = 0;
    for (const registered_vm& vm : vms)
    {
        if (vm.zone == "north")
        {
            const relay_plan plan = plan_relays(vms, vm.id, vm.zone);
            relays += plan.is_relay ? 1 : 0;
            if (!plan.is_relay)
            {
                lists.insert(plan.relays);
            }
        }
    }
    CHECK(relays == 3);
    CHECK(lists.size() == 1);
    CHECK(lists.begin()->size() == 3);
    CHECK(plan_relays({}, "vm-0", "north").is_relay);
}

// Guards against a small fleet in which every VM follows the store, and against
// a follower that polls only the one relay of its zone.
TEST_CASE("VMs of a small zone also poll relays of other zones", "[entry]")
{
    std::vector<registered_vm> vms;
    for (const char* zone : {"north", "south", "east", "west"})
    {
        for (const char* number : {"1", "2"})
        {
            const std::string id = std::string(zone) + number;
            vms.push_back({id, zone, "10.0.0.1:" + std::to_string(vms.size())});
        }
    }
    std::set<std::string> relays;
    for (const registered_vm& vm : vms)
    {
        if (plan_relays(vms, vm.id, vm.zone).is_relay)
        {
            relays.insert(vm.peer_address);
        }
    }
    CHECK(relays.size() == 4);
    for (const registered_vm& vm : vms)
    {
        const relay_plan plan = plan_relays(vms, vm.id, vm.zone);
        for (const std::string& address : plan.relays)
        {
            CHECK(relays.count(address) == 1);
        }
        CHECK(plan.relays.size() == (plan.is_relay ? 0 : 3));
    }
    // With two VMs in all, a follower would have one relay, which is too few.
    vms.resize(2);
    CHECK(plan_relays(vms, vms[0].id, "north").is_relay);
    CHECK(plan_relays(vms, vms[1].id, "north").is_relay);
}

namespace
{

/// A hub that records the revisions of its changes, with a server for its
/// followers.
struct hub_vm
{
    hub_vm(boost::asio::io_context& loop, entry_vm& parts, std::string id)
        : server(parts.context, {200ms, 400ms}),
          hub(loop, parts.counters, parts.log, std::move(id), "north",
              {"servers"},
              {[this](const store_change& c)
                  { revisions[c.name] = c.deleted ? 0 : c.revision.number; },
                  [this](bool follow) { follows = follow; }})
    {
        REQUIRE(server.listen("127.0.0.1:0", "", "", "127.0.0.1:0"));
        server.set_peer_handler(
            [this](const std::string& path, change_hub::poll_reply reply)
            { hub.serve_poll(path, std::move(reply)); });
    }

    registered_vm
    registration(const std::string& id) const
    {
        return {id, "north", server.addresses().back()};
    }

    std::map<std::string, std::uint64_t> revisions;
    bool follows = false;
    entry_server server;
    change_hub hub;
};

/// Returns an id that ranks behind the relays `vms`.
std::string
follower_id(const std::vector<registered_vm>& vms)
{
    for (int i = 0;; ++i)
    {
        std::string candidate = "f" + std::to_string(i);
        std::vector<registered_vm> all = vms;
        all.push_back({candidate, "north", "127.0.0.1:1"});
        if (!plan_relays(all, candidate, "north").is_relay)
        {
            return candidate;
        }
    }
}

} // namespace

// Guards against a VM that misses changes because one relay is cut off from the
// store, and against one that follows nothing after its relays fail.
TEST_CASE("a follower uses healthy relays, else the store", "[entry]")
{
    entry_vm parts;
    std::vector<std::unique_ptr<hub_vm>> relays;
    std::vector<registered_vm> vms;
    for (int i = 0; i < 3; ++i)
    {
        relays.push_back(std::make_unique<hub_vm>(
            parts.loop, parts, "r" + std::to_string(i)));
        vms.push_back(relays.back()->registration("r" + std::to_string(i)));
    }
    const std::string id = follower_id(vms);
    hub_vm follower(parts.loop, parts, id);
    vms.push_back(follower.registration(id));
    for (const auto& relay : relays)
    {
        relay->hub.set_vms(vms);
        REQUIRE(relay->follows);
        relay->hub.record_store_result(true);
        relay->hub.apply_list("servers", {object("a", 1)}, {0, 1});
    }
    follower.hub.set_vms(vms);
    CHECK(!follower.follows);
    const auto run_until = [&](const std::function<bool()>& done)
    {
        test_caller runner(parts.loop, parts.caller_address());
        runner.run_until(
            [&]
            {
                for (const auto& relay : relays)
                {
                    relay->hub.tick();
                }
                follower.hub.tick();
                return done();
            });
    };
    run_until([&] { return follower.hub.is_synced(); });
    CHECK(follower.revisions["a"] == 1);

    // One relay loses the store; the others pass the change on.
    relays[0]->hub.record_store_result(false);
    relays[1]->hub.apply_changes("servers", {object("b", 2)}, {0, 2});
    relays[2]->hub.apply_changes("servers", {object("b", 2)}, {0, 2});
    run_until([&] { return follower.revisions["b"] == 2; });
    CHECK(!follower.follows);

    relays[1]->hub.record_store_result(false);
    relays[2]->hub.stop();
    run_until([&] { return follower.follows; });
}

namespace
{

/// Three relays that have listed the same object, and a VM that polls them.
struct relayed_fleet
{
    relayed_fleet()
    {
        for (int i = 0; i < 3; ++i)
        {
            const std::string id = "r" + std::to_string(i);
            relays.push_back(std::make_unique<hub_vm>(parts.loop, parts, id));
            vms.push_back(relays.back()->registration(id));
        }
        const std::string id = follower_id(vms);
        follower = std::make_unique<hub_vm>(parts.loop, parts, id);
        vms.push_back(follower->registration(id));
        for (const auto& relay : relays)
        {
            relay->hub.set_vms(vms);
            relay->hub.record_store_result(true);
            relay->hub.apply_list("servers", {object("a", 1)}, {0, 1});
        }
    }

    void
    run_until(const std::function<bool()>& done)
    {
        test_caller runner(parts.loop, parts.caller_address());
        runner.run_until(
            [&]
            {
                for (const auto& relay : relays)
                {
                    relay->hub.tick();
                }
                follower->hub.tick();
                return done();
            });
    }

    /// Returns the status of the reply to a poll, 0 while there is none.
    static std::shared_ptr<int>
    poll(hub_vm& relay)
    {
        const auto status = std::make_shared<int>(0);
        relay.hub.serve_poll("/v1/changes?epoch=0&after=0",
            [status](http_reply&& reply) { *status = reply.status; });
        return status;
    }

    entry_vm parts;
    std::vector<std::unique_ptr<hub_vm>> relays;
    std::vector<registered_vm> vms;
    std::unique_ptr<hub_vm> follower;
};

} // namespace

// Guards against a VM that starts with the targets of a single relay, which may
// be cut off from the store.
TEST_CASE("a starting VM hears more than one relay", "[entry]")
{
    relayed_fleet fleet;
    fleet.relays[1]->hub.record_store_result(false);
    fleet.relays[2]->hub.record_store_result(false);
    fleet.follower->hub.set_vms(fleet.vms);
    fleet.run_until([&] { return fleet.follower->revisions["a"] == 1; });
    CHECK(!fleet.follower->hub.is_synced());
    fleet.relays[1]->hub.record_store_result(true);
    fleet.run_until([&] { return fleet.follower->hub.is_synced(); });
}

// Guards against followers of relays that are cut off from the store and go on
// answering "no changes" until a call fails.
TEST_CASE(
    "a relay that the store leaves without replies refuses polls", "[entry]")
{
    relayed_fleet fleet;
    hub_vm& relay = *fleet.relays[0];
    relay.hub.set_data_max_age(100ms);
    const auto current = fleet.poll(relay);
    fleet.run_until([&] { return *current == 200; });
    const auto end = monotonic_clock::now() + 120ms;
    fleet.run_until([&] { return monotonic_clock::now() > end; });
    CHECK(*fleet.poll(relay) == 503);
    relay.hub.record_store_reply();
    CHECK(*fleet.poll(relay) == 200);
}

// Guards against a VM that goes on with what refusing relays told it before,
// instead of reading the store itself.
TEST_CASE("a VM whose relays refuse turns to the store soon", "[entry]")
{
    relayed_fleet fleet;
    fleet.follower->hub.set_vms(fleet.vms);
    fleet.run_until([&] { return fleet.follower->hub.is_synced(); });
    CHECK(!fleet.follower->follows);
    const auto refused_at = monotonic_clock::now();
    fleet.relays[0]->hub.record_store_result(false);
    fleet.relays[1]->hub.record_store_result(false);
    fleet.run_until([&] { return fleet.follower->follows; });
    // Three refusals in a row would take two retry delays at the least.
    CHECK(monotonic_clock::now() - refused_at < 2 * config::relay_retry_delay);
}

// Guards against a relay that passes on, after a pause of its process, what it
// knew before.
TEST_CASE(
    "a relay refuses polls after a refresh until it has listed", "[entry]")
{
    relayed_fleet fleet;
    hub_vm& relay = *fleet.relays[0];
    CHECK(*fleet.poll(relay) == 200);
    relay.follows = false;
    relay.hub.refresh();
    CHECK(relay.follows); // the feeds were started anew
    CHECK(!relay.hub.is_confirmed());
    CHECK(*fleet.poll(relay) == 503);
    relay.hub.record_store_result(true);
    CHECK(*fleet.poll(relay) == 503);
    relay.hub.apply_list("servers", {object("a", 1)}, {0, 3});
    CHECK(relay.hub.is_confirmed());
    CHECK(*fleet.poll(relay) == 200);
}

// Guards against a follower that takes the reply to a poll from before a pause
// for current.
TEST_CASE("a follower is confirmed by a poll sent after a refresh", "[entry]")
{
    relayed_fleet fleet;
    fleet.follower->hub.set_vms(fleet.vms);
    fleet.run_until([&] { return fleet.follower->hub.is_synced(); });
    CHECK(fleet.follower->hub.is_confirmed());
    fleet.follower->hub.refresh();
    CHECK(!fleet.follower->hub.is_confirmed());
    for (const auto& relay : fleet.relays)
    {
        relay->hub.apply_changes("servers", {object("b", 2)}, {0, 2});
    }
    fleet.run_until([&] { return fleet.follower->hub.is_confirmed(); });
    CHECK(fleet.follower->revisions["b"] == 2);
}

TEST_CASE("a relay that is dropped while its poll is due is not used again",
    "[entry]")
{
    entry_vm parts;
    std::size_t polls = 0;
    stand_in_target relay_server(parts.loop, "r0",
        [&](const parsed_request&)
        {
            ++polls;
            change_view view;
            view.epoch = 7;
            apply(view, {"servers", "a", {0, polls}, false, "x"},
                monotonic_clock::now());
            return scripted_reply{
                http_text(200, "", encode_delta(delta_since(view, 0, 0)))};
        });
    std::vector<registered_vm> vms;
    for (int i = 0; i < 3; ++i)
    {
        // Only the first one answers.
        vms.push_back({"r" + std::to_string(i), "north",
            i == 0 ? relay_server.address()
                   : "127.0.0.1:" + std::to_string(i + 1)});
    }
    std::string id;
    for (int i = 0; id.empty(); ++i)
    {
        const std::string candidate = "f" + std::to_string(i);
        std::vector<registered_vm> all = vms;
        all.push_back({candidate, "north", "127.0.0.1:9"});
        if (!plan_relays(all, candidate, "north").is_relay)
        {
            id = candidate;
        }
    }
    vms.push_back({id, "north", "127.0.0.1:9"});
    boost::asio::steady_timer registry(parts.loop);
    bool dropped = false;
    change_hub* hub_pointer = nullptr;
    change_hub hub(parts.loop, parts.counters, parts.log, id, "north",
        {"servers"},
        {[&](const store_change&)
            {
                // Stands for a list of the registered VMs that arrives together
                // with the relay's reply.
                registry.expires_after(duration::zero());
                registry.async_wait(
                    [&](boost::system::error_code)
                    {
                        hub_pointer->set_vms({});
                        dropped = true;
                    });
            },
            [](bool) {}});
    hub_pointer = &hub;
    hub.set_vms(vms);
    test_caller runner(parts.loop, parts.caller_address());
    runner.run_until([&] { return dropped; });
    const std::size_t polls_before = polls;
    const auto end = monotonic_clock::now() + 200ms;
    runner.run_until([&] { return monotonic_clock::now() > end; });
    CHECK(polls == polls_before);
}

// Guards against a follower that turns to the store for one closed relay.
TEST_CASE(
    "a poll that crosses the close of its connection is sent again", "[entry]")
{
    entry_vm parts;
    change_view view;
    view.epoch = 1;
    const std::string delta = encode_delta(delta_since(view, 0, 0));
    std::vector<std::unique_ptr<stand_in_target>> relays;
    std::vector<registered_vm> vms;
    for (int i = 0; i < 3; ++i)
    {
        const auto polls = std::make_shared<std::size_t>(0);
        const std::string id = "r" + std::to_string(i);
        relays.push_back(std::make_unique<stand_in_target>(parts.loop, id,
            [polls, &delta](const parsed_request&) -> scripted_reply
            {
                return ++*polls % 2 == 0
                           ? scripted_reply{"", true}
                           : scripted_reply{http_text(200, "", delta)};
            }));
        vms.push_back({id, "north", relays.back()->address()});
    }
    const std::string id = follower_id(vms);
    hub_vm follower(parts.loop, parts, id);
    vms.push_back(follower.registration(id));
    follower.hub.set_vms(vms);
    test_caller runner(parts.loop, parts.caller_address());
    runner.run_until(
        [&]
        {
            return std::all_of(relays.begin(), relays.end(),
                [](const auto& r) { return r->received.size() >= 6; });
        });
    CHECK(!follower.follows);
}
