#include "common/row_model.hpp"
#include "platform_client.hpp"
#include "platform_standin/platform_service.hpp"
#include "target_client.hpp"
#include "target_standin/fleet.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <thread>

using namespace bramleymux;
using namespace bramleymux::tools;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto test_timeout = 60s;

/// Platform stand-in with a client connected to it.
struct platform_fixture
{
    platform_service service{1};
    http_server server{{"127.0.0.1:0", 16, 2U << 20U,
        [this](const server_request& r) { return service.handle(r, "a"); },
        {}}};
    platform_client client{{"127.0.0.1", server.port(), {}}};

    ~platform_fixture()
    {
        service.stop();
    }
};

/// Simulated target on a fixed loopback address, with a client.
struct target_fixture
{
    fleet targets{json{
        {"services",
            {{{"name", "s"}, {"row_count", 50},
                {"snapshots", {{{"sequence", 1}, {"shard_count", 4}}}}}}},
        {"targets",
            {{{"name", "t"}, {"address", "127.0.91.1:7191"}, {"service", "s"},
                {"version", "v1"}, {"zone", "z"}, {"slots", 2}, {"queue", 1},
                {"latency", {{"median_us", 100}, {"sigma", 0}}}}}}}};
    target_client client;
    catalog_target target;

    target_fixture()
    {
        target.host = "127.0.91.1";
        target.port = 7191;
        target.connections = 16;
        targets.start();
    }

    sub_reply
    execute(const std::string& id = "w1", duration timeout = test_timeout,
        bool idempotent = true)
    {
        sub_request r;
        r.service = "s";
        r.route = "find";
        r.version = "v1";
        r.snapshot = 1;
        r.shards = {0, 1, 2, 3};
        r.idempotent = idempotent;
        r.idempotency_key = "k";
        return client.execute(r, target, monotonic_clock::now() + timeout, id);
    }

    void
    script(json command)
    {
        server_request r{"POST", "/control", "", command.dump(), {}};
        REQUIRE(targets.control(r).status == 200);
    }

    json
    stats()
    {
        const server_request r{"GET", "/control/stats", "keys=1", "", {}};
        return json::parse(targets.control(r).body).at("targets").at("t");
    }

    void
    wait_for(const char* field, int value)
    {
        while (stats().at(field) != value)
        {
            std::this_thread::yield();
        }
    }
};

} // namespace

// Guards against a row model that loses or duplicates keys when the number of
// shards changes; checks of query answers would report that as faults of the
// query tier.
TEST_CASE("a repartition keeps every key exactly once", "[standin]")
{
    for (const std::uint32_t shards : {1U, 7U, 16U})
    {
        std::set<std::uint32_t> keys;
        std::size_t rows = 0;
        for (const auto& shard : partition_keys(300, shards))
        {
            keys.insert(shard.begin(), shard.end());
            rows += shard.size();
        }
        CHECK(rows == 300);
        CHECK(keys.size() == 300);
    }
    placement p;
    p.of = 3;
    p.copies = 2;
    for (shard_id s = 0; s < 9; ++s)
    {
        int holders = 0;
        for (p.index = 0; p.index < p.of; ++p.index)
        {
            holders += holds_shard(p, 1, s) ? 1 : 0;
        }
        CHECK(holders == 2);
    }
}

// Guards against a client and a stand-in that implement the platform protocol
// differently, in particular conditional writes and keys encoded in paths.
TEST_CASE("platform writes are conditional on the object version", "[standin]")
{
    platform_fixture p;
    const std::string key = "idem/exam desk/?#%2F";
    const auto first = p.client.put(key, {{"a", 1}}, 0);
    REQUIRE(first);
    CHECK(p.client.put(key, 2, 0).error() == platform_errc::conflict);
    const auto second = p.client.put(key, 2, first.value());
    REQUIRE(second);
    CHECK(second.value() > first.value());
    CHECK(
        p.client.put(key, 3, first.value()).error() == platform_errc::conflict);
    CHECK(p.client.get(key).value().value == 2);
    CHECK(p.client.get("idem").error() == platform_errc::not_found);
    CHECK(p.client.list("idem/exam d").value().size() == 1);
    CHECK(p.client.list("idem/other").value().empty());
    CHECK(
        p.client.remove(key, first.value()).error() == platform_errc::conflict);
    CHECK(p.client.remove(key, second.value()));
    CHECK(p.client.get(key).error() == platform_errc::not_found);
    const auto third = p.client.put(key, 4, 0);
    REQUIRE(third);
    CHECK(third.value() > second.value());
}

// Guards against a watch that misses a change or keeps waiting in an outage.
TEST_CASE("a watch ends on a change, a timeout or an outage", "[standin]")
{
    platform_fixture p;
    const auto nothing = p.client.watch("k", 0, 10ms);
    REQUIRE(nothing);
    CHECK_FALSE(nothing.value());
    for (const bool outage : {false, true})
    {
        std::thread writer(
            [&]
            {
                while (
                    json::parse(
                        p.service
                            .handle({"GET", "/control/stats", "", "", {}}, "a")
                            .body)
                        .at("watching") == 0)
                {
                    std::this_thread::yield();
                }
                if (outage)
                {
                    p.service.configure({{"outage_listeners", {"a"}}});
                }
                else
                {
                    (void)p.client.put("k", "x", 0);
                }
            });
        const auto seen = p.client.watch("k", outage ? 1 : 0, test_timeout);
        writer.join();
        if (outage)
        {
            REQUIRE_FALSE(seen);
            CHECK(seen.error() == platform_errc::unavailable);
        }
        else
        {
            REQUIRE(seen);
            CHECK(seen.value()->value == "x");
        }
    }
}

// Guards against scripted platform faults without effect: lost replies, rate
// limits, outages and a delayed VM list.
TEST_CASE("the platform stand-in produces scripted faults", "[standin]")
{
    platform_fixture p;
    p.service.configure({{"lose_writes", 1}});
    CHECK(p.client.put("k", 1, 0).error() == platform_errc::reply_lost);
    CHECK(p.client.get("k").value().value == 1);
    p.service.configure({{"reads_per_second", 0.001}});
    CHECK(p.client.get("k").error() == platform_errc::rate_limited);
    p.service.configure({{"reads_per_second", 0}, {"outage", true}});
    CHECK(p.client.get("k").error() == platform_errc::unavailable);
    p.service.configure({{"outage", false},
        {"vms", {{{"id", "v"}, {"zone", "z"}, {"caller_address", "1:1"},
                    {"peer_address", "1:2"}, {"state", "leaving"}}}}});
    const auto vms = p.client.vms();
    REQUIRE(vms);
    REQUIRE(vms.value().size() == 1);
    CHECK(vms.value()[0].state == vm_list_state::leaving);
    p.service.handle(
        {"POST", "/control", "", R"({"vms":[],"vm_lag_ms":3600000})", {}}, "a");
    CHECK(p.client.vms().value().size() == 1);
}

// Guards against a client and a stand-in that implement the target protocol
// differently, and against scripted faults without effect.
TEST_CASE(
    "a simulated target produces scripted replies and faults", "[standin]")
{
    target_fixture f;
    std::set<int> keys;
    const auto whole = f.execute();
    REQUIRE(whole.error == miss_reason::none);
    for (const shard_rows& s : whole.shards)
    {
        for (const json& row : s.rows)
        {
            keys.insert(row.at("key").get<int>());
        }
    }
    CHECK(keys.size() == 50);
    REQUIRE(f.client.load(f.target));
    CHECK(f.client.load(f.target)->slots_limit == 2);

    const auto execute_with_faults = [&](const json& faults)
    {
        f.script({{"action", "heal"}, {"faults", faults}});
        const auto reply = f.execute("w2", test_timeout, false);
        CHECK((reply.error == miss_reason::none || reply.shards.empty()));
        return reply;
    };
    CHECK(execute_with_faults({{"shed", 1}}).run == run_state::not_run);
    CHECK(execute_with_faults({{"wrong_snapshot", 1}}).error ==
          miss_reason::snapshot);
    CHECK(execute_with_faults({{"wrong_shard", 1}}).error ==
          miss_reason::mismatched);
    CHECK(execute_with_faults({{"truncated", 1}}).error ==
          miss_reason::malformed);
    CHECK(execute_with_faults({{"lose_reply", 1}}).run == run_state::unknown);
    CHECK(execute_with_faults({{"fail", {{"probability", 1}}}}).error ==
          miss_reason::failed);
    CHECK(execute_with_faults({{"fail", {{"probability", 1}, {"route", "x"}}}})
              .error == miss_reason::none);
    CHECK(f.stats().at("duplicates").at("k") == 6);
    REQUIRE(f.execute("w3").error == miss_reason::none);
    f.script({{"faults", {{"crossed", 1}}}});
    CHECK(f.execute("w4").error == miss_reason::mismatched);
    f.script({{"action", "drain"}});
    CHECK(f.execute().error == miss_reason::draining);
    CHECK(f.client.status(f.target)->draining);
    f.script({{"faults", {{"false_status", {{"state", "active"}}}}}});
    CHECK_FALSE(f.client.status(f.target)->draining);
}

// Guards against a stand-in that does not report overload, and against requests
// that keep running after their cancellation or deadline.
TEST_CASE(
    "a simulated target queues, sheds, cancels and stops requests", "[standin]")
{
    target_fixture f;
    f.script({{"faults", {{"slow", {{"factor", 1e7}}}}}});
    std::vector<std::thread> threads;
    std::vector<sub_reply> replies(3);
    for (std::size_t i = 0; i < replies.size(); ++i)
    {
        threads.emplace_back(
            [&, i] { replies[i] = f.execute("w" + std::to_string(i)); });
        f.wait_for(
            i < 2 ? "running" : "queued", i < 2 ? static_cast<int>(i) + 1 : 1);
    }
    CHECK(f.execute("w9").error == miss_reason::shed);
    for (const char* id : {"w2", "w1", "w0"})
    {
        f.client.cancel(f.target, id);
    }
    for (std::thread& t : threads)
    {
        t.join();
    }
    CHECK(replies[0].run == run_state::unknown);
    CHECK(replies[2].run == run_state::not_run);
    CHECK(replies[2].error == miss_reason::cancelled);
    CHECK(f.execute("w5", 50ms).error == miss_reason::deadline);
    f.wait_for("running", 0);
    const json stats = f.stats();
    CHECK(stats.at("worst_running") == 2);
    CHECK(stats.at("worst_offered") == 4);
    CHECK(stats.at("executed") == 0);

    f.script({{"action", "restart"}});
    CHECK(f.stats().at("cold") == true);
    CHECK(f.client.status(f.target)->instance == "t#2");
    f.script({{"action", "stop"}});
    CHECK(f.execute("w6").run == run_state::not_run);
    f.script({{"action", "start"}});
    CHECK(f.client.status(f.target)->instance == "t#3");
}
