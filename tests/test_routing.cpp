#include "common/fanout_model.hpp"
#include "config.hpp"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>
#include <set>

using namespace bramleymux;
using bramleymux::tools::fanout_options;
using bramleymux::tools::make_fleet;
using bramleymux::tools::run_fanout;

namespace
{

constexpr service_handle service{0};
const monotonic_time start{};

target_handle
target(std::uint16_t index)
{
    return {index};
}

query_plan
plan(const tools::model_fleet& f, plan_request request,
    std::vector<shard_id> shards, std::uint64_t seed = 1)
{
    const auto index = build_routing_index(f.topology, f.reports);
    std::mt19937_64 random(seed);
    request.shards = std::move(shards);
    return plan_query(*index, *choose_snapshot(*index, service, {}, f.views),
        request, f.views, start, random);
}

snapshot_sequence
chosen(const tools::model_fleet& f, version_handle version = {})
{
    const auto index = build_routing_index(f.topology, f.reports);
    const auto* found = choose_snapshot(*index, service, version, f.views);
    return found == nullptr ? 0 : found->sequence;
}

} // namespace

// Guards against a new VM that reports ready but refuses queries, because it
// does not know a holder of every shard yet.
TEST_CASE("a service is covered by a snapshot with all shards", "[routing]")
{
    auto f = make_fleet(2, 2, 5);
    const auto covered = [&]
    {
        return covers_every_service(
            *build_routing_index(f.topology, f.reports), f.topology);
    };
    CHECK(covered());
    f.reports[0].snapshots.push_back({2, 12, {{0, 5}}});
    CHECK(covered());
    for (auto& report : f.reports)
    {
        report.snapshots.clear();
    }
    CHECK_FALSE(covered());
    f.reports[0].snapshots.push_back({1, 10, {{0, 4}}});
    CHECK_FALSE(covered());
    f.reports[2].snapshots.push_back({1, 10, {{5, 9}}});
    CHECK(covered());
}

// Guards against choosing a snapshot that is still being loaded, or one that no
// usable target can serve.
TEST_CASE("the newest complete snapshot is chosen", "[routing]")
{
    auto f = make_fleet(2, 2, 5);
    CHECK(chosen(f) == 1);
    f.reports[0].snapshots.push_back({2, 12, {{0, 5}}});
    CHECK(chosen(f) == 1);
    f.reports[2].snapshots.push_back({2, 12, {{6, 11}}});
    CHECK(chosen(f) == 2);
    f.views[2].unusable = miss_reason::draining;
    CHECK(chosen(f) == 1);
    f.views[0].weight = 0.0;
    f.views[1].unusable = miss_reason::zone_out;
    CHECK(chosen(f) == 1);
    f.views[0].weight = 1.0;
    f.views[3].unusable = miss_reason::zone_out;
    CHECK(chosen(f) == 2);
    CHECK(chosen(tools::model_fleet{}) == 0);
}

// Guards against a bad version that attracts every query by reporting a newer
// snapshot than the others hold.
TEST_CASE("a snapshot of one version is not chosen for another", "[routing]")
{
    auto f = make_fleet(1, 3, 4);
    f.topology.targets[2].version.index = 1;
    f.reports[2].snapshots.push_back({9, 1, {{0, 0}}});
    CHECK(chosen(f, version_handle{0}) == 1);
    CHECK(chosen(f, version_handle{1}) == 9);
}

// Guards against a shard count (the denominator of coverage) that shrinks when
// reports are missing, or that a single target with a wrong shard map
// determines.
TEST_CASE("the shard count comes from the snapshot", "[routing]")
{
    auto f = make_fleet(3, 2, 4);
    f.reports[4].snapshots.clear();
    f.reports[5].snapshots.clear();
    f.reports[0].snapshots[0].shard_count = 100;
    f.views[2].unusable = miss_reason::zone_out;
    f.views[3].unusable = miss_reason::owner_unknown;
    const auto index = build_routing_index(f.topology, f.reports);
    const auto* snapshot = find_snapshot(*index, service, 1);
    REQUIRE(snapshot != nullptr);
    CHECK(snapshot->shard_count == 12);
    auto shards = all_shards(*snapshot);
    shards.push_back(12);
    const auto result = plan(f, {}, shards);
    REQUIRE(result.batches.size() == 1);
    CHECK(result.batches[0].target == target(1));
    REQUIRE(result.missing.size() == 9);
    CHECK(result.missing[0].reason == miss_reason::owner_unknown);
    CHECK(result.missing[4].reason == miss_reason::no_replica);
    CHECK(result.missing[8].shard == 12);
}

// Guards against an index that keeps outdated holdings of a service, or that is
// rebuilt on every poll.
TEST_CASE("a service is recompiled when its holdings change", "[routing]")
{
    auto f = make_fleet(2, 1, 4);
    const auto index = build_routing_index(f.topology, f.reports);
    auto report = f.reports[1];
    report.sequence = 5;
    CHECK(same_holdings(report, f.reports[1]));
    report.snapshots[0].shards[0].last = 6;
    CHECK_FALSE(same_holdings(report, f.reports[1]));
    f.reports[1] = report;
    const auto next = rebuild_service(*index, f.topology, f.reports, service);
    CHECK(find_snapshot(*next, service, 1)->groups.size() == 3);
    CHECK(find_snapshot(*index, service, 1)->groups.size() == 2);
}

// Guards against a version that receives more traffic than its share because
// the replicas of the chosen version are in backoff.
TEST_CASE("the other version is used only for shards without one", "[routing]")
{
    auto f = make_fleet(2, 2, 4);
    f.topology.targets[1].version.index = 1;
    f.topology.targets[3].version.index = 1;
    f.views[0].blocked_until = start + std::chrono::seconds(1);
    f.views[2].unusable = miss_reason::unreachable;
    plan_request request;
    request.version.index = 0;
    const auto result = plan(f, request, {0, 4});
    REQUIRE(result.batches.size() == 2);
    CHECK(result.batches[0].target == target(0));
    CHECK(result.batches[1].target == target(3));
}

// Guards against a retry that is sent to the target that just failed, and one
// that gives up shards because all their other replicas are in backoff.
TEST_CASE("replacements avoid tried and blocked targets", "[routing]")
{
    auto f = make_fleet(2, 3, 4);
    f.views[1].blocked_until = start + std::chrono::seconds(1);
    plan_request request;
    request.tried = {target(0)};
    for (std::uint64_t seed = 1; seed < 20; ++seed)
    {
        const auto result = plan(f, request, {0, 1}, seed);
        REQUIRE(result.batches.size() == 1);
        CHECK(result.batches[0].target == target(2));
    }
    request.tried = {target(0), target(2)};
    CHECK(plan(f, request, {0}).batches.at(0).target == target(1));
    request.tried = {target(0), target(1), target(2)};
    CHECK(plan(f, request, {0}).missing.size() == 1);
    CHECK(plan(f, request, {0, 5}).batches.size() == 1);
}

// Guards against a load metric that ignores weight, latency or requests in
// flight.
TEST_CASE("the less loaded replica is preferred", "[routing]")
{
    auto f = make_fleet(1, 2, 4);
    f.views[0].latency_us = 1000;
    f.views[1].latency_us = 1000;
    auto expected = target(0);
    SECTION("in flight")
    {
        f.views[1].in_flight = 1;
    }
    SECTION("weight")
    {
        f.views[0].in_flight = 1;
        f.views[0].weight = 4.0;
    }
    SECTION("latency")
    {
        f.views[1].latency_us = 4000;
        f.views[0].in_flight = 2;
    }
    SECTION("latency of one is unknown")
    {
        f.views[0].latency_us = 0.0;
        f.views[0].in_flight = 1;
        expected = target(1);
    }
    for (std::uint64_t seed = 1; seed < 20; ++seed)
    {
        CHECK(plan(f, {}, {0}, seed).batches.at(0).target == expected);
    }
}

// Guards against a shard that is lost, sent twice, or sent to a target that
// does not hold it or must not be used.
TEST_CASE("every shard is in one batch or missing", "[routing]")
{
    std::mt19937_64 random(1);
    for (std::uint64_t round = 0; round < 200; ++round)
    {
        auto f = make_fleet(5, 3, 4, round % 3);
        for (auto& view : f.views)
        {
            view.unusable = static_cast<miss_reason>(random() % 3);
            view.latency_us = static_cast<double>(random() % 5000);
        }
        plan_request request;
        request.tried = {target(random() % 15)};
        request.policy = static_cast<routing_policy>(round % 2);
        request.query_number = round;
        std::set<shard_id> seen;
        std::vector<shard_id> shards(20);
        std::iota(shards.begin(), shards.end(), 0U);
        const auto result = plan(f, request, shards, round);
        std::set<std::uint16_t> targets;
        for (const auto& batch : result.batches)
        {
            const auto t = batch.target.index;
            REQUIRE(targets.insert(t).second);
            REQUIRE(batch.target != request.tried[0]);
            REQUIRE(f.views[t].unusable == miss_reason::none);
            for (const auto s : batch.shards)
            {
                REQUIRE(holds(f.reports[t].snapshots[0], s));
                REQUIRE(seen.insert(s).second);
            }
        }
        for (const auto& miss : result.missing)
        {
            REQUIRE(miss.reason != miss_reason::none);
            REQUIRE(seen.insert(miss.shard).second);
        }
        REQUIRE(seen.size() == shards.size());
    }
}

// Guards against a target that is blocked for a reason unrelated to its state,
// or for longer than the bound.
TEST_CASE("refusals block a target for a bounded time", "[routing]")
{
    std::mt19937_64 random(1);
    CHECK(refusal_block(miss_reason::snapshot, 9, random) == duration::zero());
    for (int i = 0; i < 1000; ++i)
    {
        REQUIRE(refusal_block(miss_reason::shed, 1, random) <=
                config::overload_block_base);
        REQUIRE(refusal_block(miss_reason::unreachable, 1000, random) <=
                config::failure_block_cap);
    }
}

// Guards against adaptive routing that saves too few batches over the baseline
// where the shards of searchers overlap, or that saves them at a cost in
// latency.
TEST_CASE("overlapping searchers share batches", "[routing][model]")
{
    fanout_options options;
    options.overlap = 1;
    const auto baseline = run_fanout(options);
    options.policy = routing_policy::adaptive;
    const auto adaptive = run_fanout(options);
    CHECK(adaptive.batches < 0.75 * baseline.batches);
    CHECK(adaptive.p99_ms < 1.05 * baseline.p99_ms);
}
