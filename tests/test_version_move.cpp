#include "version_move_model.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>

using namespace bramleymux;
using namespace move_model;

namespace
{

/// Applies `bad` to the new version from `onset` (seconds) on, on one route or
/// on all (-1). The old version stays good.
std::function<behaviour(const model_request&)>
fault(double onset, behaviour bad, int route = -1)
{
    return [=](const model_request& r)
    {
        const bool affected =
            r.is_new && r.seconds >= onset &&
            (route < 0 || r.route == static_cast<std::size_t>(route));
        return affected ? bad : behaviour{};
    };
}

/// Applies `bad` to both versions for `length` seconds of every 20 s.
std::function<behaviour(const model_request&)>
overload(double length, behaviour bad)
{
    return [=](const model_request& r)
    { return std::fmod(r.seconds + 5.0, 20.0) < length ? bad : behaviour{}; };
}

scenario
with_behaviour(std::function<behaviour(const model_request&)> behave)
{
    scenario s;
    s.behave = std::move(behave);
    return s;
}

version_moves
single_vm(const table& t, name_registries& names, const move_clock& clock)
{
    version_moves moves;
    moves.vm = "vm0";
    update_moves(moves, *build_catalog(t, names), clock);
    return moves;
}

const move_clock at_start{monotonic_time(1h), 5000};

} // namespace

TEST_CASE("a good version is moved in time", "[version_move]")
{
    // Guards against withdrawing a good version or missing the deadline.
    const result r = model(scenario{}).run();
    CHECK(r.all_withdrawn < 0.0);
    CHECK(r.done > 0.0);
    CHECK(r.done <= 120.0);
    CHECK(r.at_risk < 0.0);
    CHECK(r.step_times.size() >= 1);
}

TEST_CASE("a bad version is withdrawn at a small share", "[version_move]")
{
    // Guards against detecting a bad version late or giving it a large share.
    // Times are on the virtual clock.
    for (const behaviour& bad : {behaviour{1.0, 1.0}, behaviour{0.001, 50.0}})
    {
        const result r = model(with_behaviour(fault(0.0, bad))).run();
        CHECK(r.all_withdrawn >= 0.0);
        CHECK(r.all_withdrawn <= 1.0);
        CHECK(r.highest_share <= 0.05);
        const result late = model(with_behaviour(fault(25.0, bad))).run();
        CHECK(late.all_withdrawn >= 25.0);
        CHECK(late.all_withdrawn <= 26.0);
    }
    const result route = model(with_behaviour(fault(0.0, {1.0, 1.0}, 3))).run();
    CHECK(route.all_withdrawn >= 0.0);
    CHECK(route.highest_share <= 0.05);
    CHECK(route.cause.find("route r3") != std::string::npos);
}

TEST_CASE("an overload of both versions is no fault", "[version_move]")
{
    // Guards against withdrawing a good version because the whole service is
    // slow or failing.
    for (const double length : {0.5, 5.0})
    {
        CHECK(model(with_behaviour(overload(length, {0.3, 20.0}))).run().done >
              0.0);
    }
}

TEST_CASE("one bad target is not a bad version", "[version_move]")
{
    // Guards against withdrawing a version because one machine fails or
    // becomes cold.
    scenario s = with_behaviour(
        [](const model_request& r)
        {
            const bool bad = r.is_new && r.target == 1 &&
                             std::fmod(r.seconds + 5.0, 20.0) < 2.0;
            return bad ? behaviour{0.5, 20.0} : behaviour{};
        });
    CHECK(model(s).run().all_withdrawn < 0.0);
}

TEST_CASE("little traffic puts a move at risk", "[version_move]")
{
    // Guards against stepping without evidence when the deadline is near.
    scenario s;
    s.queries_per_second = 5.0;
    const result r = model(s).run();
    CHECK(r.at_risk >= 0.0);
    CHECK(r.at_risk <= 10.0);
    CHECK(r.highest_share <= 0.05);
}

TEST_CASE("the share stays within the new targets' capacity", "[version_move]")
{
    // Guards against giving cold targets the share of warm ones.
    scenario s;
    s.capacity = [](double) { return 0.07; };
    const result r = model(s).run();
    CHECK(r.highest_share <= 0.07);
    CHECK(r.done < 0.0);
    CHECK(r.at_risk >= 0.0);
}

TEST_CASE("a withdrawal is sticky and idempotent", "[version_move]")
{
    // Guards against giving a withdrawn version traffic again after a table
    // change or a repeated message.
    findings found;
    table t = parse_table(sample_table_json(), 1, found);
    name_registries names;
    version_moves moves = single_vm(t, names, at_start);
    const std::map<std::string, move_inputs> inputs{{"m1", {1.0, 1.0, {}}}};
    evaluate_moves(moves, inputs, at_start);
    auto c = build_catalog(t, names);
    CHECK(version_shares(moves, *c)[0].share == Approx(0.01));

    CHECK(withdraw(moves, {"m1", "errors", "vm3", 1}));
    CHECK_FALSE(withdraw(moves, {"m1", "other", "vm4", 2}));
    t.moves[0].deadline_ms += 1000;
    update_moves(moves, *build_catalog(t, names), at_start);
    CHECK(evaluate_moves(moves, inputs, at_start).empty());
    const version_share share = version_shares(moves, *c)[0];
    CHECK_FALSE(share.candidate.is_valid());
    CHECK(c->versions[share.base.index].name == "v1");
    REQUIRE(unsaved_withdrawals(moves).size() == 1);
    CHECK(status_of(moves)[0].cause == "errors");
    CHECK(to_json(status_of(moves)[0])["state"] == "withdrawn");

    // A peer that missed the withdrawal message gets it with the evidence.
    version_moves peer = single_vm(t, names, at_start);
    CHECK(receive_evidence(peer, "vm0", 1, encode_evidence(moves), at_start));
    CHECK(peer.monitors[0].phase == move_phase::withdrawn);

    t.moves[0].state = move_state::withdrawn;
    update_moves(moves, *build_catalog(t, names), at_start);
    CHECK(unsaved_withdrawals(moves).empty());
}

TEST_CASE("the version that serves follows done moves", "[version_move]")
{
    // Guards against sending traffic to a version that no move introduced, and
    // against returning to the old version after a done move.
    findings found;
    table t = parse_table(sample_table_json(), 1, found);
    name_registries names;
    const auto base_of = [&](const table& value)
    {
        const version_moves moves = single_vm(value, names, at_start);
        const auto c = build_catalog(value, names);
        const version_share s = version_shares(moves, *c)[0];
        const version_choice choice = choose_version(s, "q");
        return c->versions[choice.preferred.index].name +
               (choice.fallback.is_valid() ? "+" : "");
    };
    CHECK(base_of(t) == "v1");
    t.moves[0].state = move_state::done;
    CHECK(base_of(t) == "v2+");
    t.moves.clear();
    CHECK(base_of(t) == "v1");
}

TEST_CASE("queries are divided by the hash of their id", "[version_move]")
{
    // Guards against deviating from the share, and against choosing different
    // versions for one query on two hops.
    version_share share{{0}, {1}, 0.25, false, 7};
    std::size_t chosen = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        const std::string id = "q" + std::to_string(i);
        const version_choice a = choose_version(share, id);
        CHECK_FALSE((a.preferred == share.base && a.fallback.is_valid()));
        CHECK(choose_version(share, id).preferred == a.preferred);
        chosen += a.preferred == share.candidate ? 1 : 0;
    }
    CHECK(chosen > 4700);
    CHECK(chosen < 5300);
}

TEST_CASE("evidence is merged in any order", "[version_move]")
{
    // Guards against losing replies or counting them twice when messages are
    // repeated or reordered, or when a VM is replaced.
    const monotonic_time now(1h);
    const evidence_key key = evidence_key_of("s", "v", "r");
    const auto cells = [&](std::uint64_t n) {
        return evidence_cells{{key, {{{n, n / 2, 1}}}}};
    };
    evidence_pool pool;
    merge_peer(pool, "a", 1, cells(10), now);
    CHECK(sum(observed_growth_of(pool, key)).replies == 0);
    merge_peer(pool, "a", 1, cells(30), now + 100ms);
    merge_peer(pool, "a", 1, cells(20), now + 200ms);
    merge_peer(pool, "a", 1, cells(30), now + 300ms);
    CHECK(sum(observed_growth_of(pool, key)).replies == 20);
    merge_peer(pool, "a", 2, cells(5), now + 400ms);
    CHECK(pooled(pool, key).replies == 35);
    merge_peer(
        pool, "a", 2, cells(50), now + 400ms + config::evidence_gap + 1ms);
    CHECK(sum(observed_growth_of(pool, key)).replies == 20);
    expire_evidence(pool, now + 300ms + config::evidence_expiry + 1ms);
    CHECK(pooled(pool, key).replies == 50);

    std::vector<std::uint8_t> bytes;
    encode_cells(cells(100'000), bytes);
    evidence_cells back;
    CHECK(decode_cells(bytes, 0, back));
    CHECK(back.at(key)[0].replies == 100'000);
    CHECK(bytes.size() == 14);
    bytes.pop_back();
    CHECK_FALSE(decode_cells(bytes, 0, back));
}

TEST_CASE("the ratio test needs both versions", "[version_move]")
{
    // Guards against withdrawing a version without old replies to compare it
    // with, or with a rate within the accepted bound.
    const rate_bound bound{1.5, 0.01};
    CHECK(excess_evidence({100, 50}, {0, 0}, bound) == 0.0);
    CHECK(excess_evidence({1000, 10}, {1000, 2}, bound) == 0.0);
    CHECK(excess_evidence({100, 50}, {100, 50}, bound) == 0.0);
    CHECK(excess_evidence({20, 10}, {1000, 1}, bound) > 14.0);
    CHECK(clear_evidence({135, 0}, {1000, 0}, {2.0, 0.05}) > 6.9);
    CHECK(clear_evidence({20, 0}, {1000, 0}, {2.0, 0.05}) < 6.9);
}

TEST_CASE("detection times and false alarms", "[.measure]")
{
    // Prints the figures of docs/notes/version-moves.md.
    const auto print_figures = [](const std::string& name, scenario s,
                                   double onset, std::uint64_t runs)
    {
        double total = 0.0;
        double worst = 0.0;
        double share = 0.0;
        int withdrawn = 0;
        int in_time = 0;
        for (s.seed = 1; s.seed <= runs; ++s.seed)
        {
            const result r = model(s).run();
            share = std::max(share, r.highest_share);
            in_time += r.done >= 0.0 &&
                       r.done * 1000.0 <= static_cast<double>(s.deadline_ms);
            if (r.all_withdrawn >= 0.0)
            {
                ++withdrawn;
                total += r.all_withdrawn - onset;
                worst = std::max(worst, r.all_withdrawn - onset);
            }
        }
        std::cout << name << " | " << s.queries_per_second << " | " << runs
                  << " | " << withdrawn << " | " << in_time << " | "
                  << total / std::max(withdrawn, 1) << " | " << worst << " | "
                  << share << std::endl;
    };
    for (const double rate : {2400.0, 400.0})
    {
        const auto run =
            [&](const std::string& name,
                std::function<behaviour(const model_request&)> behave,
                double onset, std::uint64_t runs)
        {
            scenario s = with_behaviour(std::move(behave));
            s.queries_per_second = rate;
            if (onset > 100.0)
            {
                s.deadline_ms = 400'000;
                s.max_seconds = 400.0;
                s.soak_ms = 200'000;
            }
            print_figures(name, s, onset, runs);
        };
        for (const double e : {1.0, 0.5, 0.2, 0.1, 0.05})
        {
            run("errors " + std::to_string(e), fault(0, {e, 1}), 0, 20);
        }
        for (const double f : {50.0, 10.0, 3.0})
        {
            run("slow x" + std::to_string(f), fault(0, {.001, f}), 0, 20);
        }
        run("route of 10%, errors 1.0", fault(0, {1, 1}, 3), 0, 20);
        run("route of 10%, slow x50", fault(0, {.001, 50}, 3), 0, 20);
        run("after 25 s, errors 1.0", fault(25, {1, 1}), 25, 20);
        run("after 25 s, errors 0.1", fault(25, {.1, 1}), 25, 20);
        run("after 25 s, slow x50", fault(25, {.001, 50}), 25, 20);
        run("after 200 s, errors 0.1", fault(200, {.1, 1}), 200, 3);
        run("after 200 s, slow x50", fault(200, {.001, 50}), 200, 3);
        const std::uint64_t many = rate > 1000.0 ? 20 : 100;
        run("good", fault(1e9, {}), 0, many);
        run("both 0.05 errors", overload(20, {.05, 1}), 0, many);
        run("overload 5 s of 20 s", overload(5, {.3, 20}), 0, many);
        run("overload 0.5 s of 20 s", overload(.5, {.9, 50}), 0, many);
        run("new version 1.3x slower", fault(0, {.001, 1.3}), 0, many);
    }
}
