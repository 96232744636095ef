#include "common/bench_checks.hpp"
#include "common/bench_rows.hpp"
#include "common/bench_schedule.hpp"
#include "common/bench_statistics.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>

using namespace bramleymux;
using namespace bramleymux::tools;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

const expected_rows expected{{7, partition_keys(20, 3)}};

json
complete_answer()
{
    json rows = json::array();
    for (shard_id s = 0; s < 3; ++s)
    {
        for (const std::uint32_t key : expected.at(7)[s])
        {
            rows.push_back(make_row("exam-desk", 7, s, key));
        }
    }
    return {{"snapshot", {{"sequence", 7}}}, {"rows", std::move(rows)},
        {"coverage",
            {{"asked", 3}, {"answered", 3}, {"missing", json::array()}}}};
}

answer_check
check(const json& answer)
{
    return check_answer(answer, "exam-desk", expected);
}

const figure_check*
find_check(const std::vector<figure_check>& checks, const std::string& name)
{
    const auto it = std::find_if(checks.begin(), checks.end(),
        [&](const figure_check& c) { return c.name == name; });
    return it == checks.end() ? nullptr : &*it;
}

} // namespace

// Guards against a comparison of two policies under different loads: the
// arrivals may depend on the seed and the rates alone.
TEST_CASE("a seed determines the schedule and its rates hold", "[bench]")
{
    const auto shorter = make_schedule({30, 70}, 100s, 5);
    const auto longer = make_schedule({30, 70}, 120s, 5);
    REQUIRE(longer.size() > shorter.size());
    std::size_t second_kind_count = 0;
    for (std::size_t i = 0; i < shorter.size(); ++i)
    {
        REQUIRE(shorter[i].at == longer[i].at);
        REQUIRE(shorter[i].kind == longer[i].kind);
        REQUIRE((i == 0 || shorter[i - 1].at <= shorter[i].at));
        second_kind_count += shorter[i].kind;
    }
    // Four standard deviations of a Poisson count of 10,000.
    CHECK(shorter.size() > 9'600);
    CHECK(shorter.size() < 10'400);
    const double share = static_cast<double>(second_kind_count) /
                         static_cast<double>(shorter.size());
    CHECK(share == Approx(0.7).margin(0.02));
    CHECK(make_schedule({0, 0}, 1s, 5).empty());
}

// Guards against a tail percentile read one rank off or beyond the last value.
TEST_CASE("percentiles use the nearest rank", "[bench]")
{
    std::vector<double> values;
    for (int i = 1; i <= 100; ++i)
    {
        values.push_back(i);
    }
    CHECK(percentile(values, 0) == 1);
    CHECK(percentile(values, 0.5) == 50);
    CHECK(percentile(values, 0.99) == 99);
    CHECK(percentile(values, 0.999) == 100);
    CHECK(percentile(values, 1) == 100);
    CHECK(percentile({}, 0.5) == 0);
    const auto points = cdf_points(values, 20);
    REQUIRE(points.size() <= 20);
    CHECK(points.back() == std::make_pair(100.0, 1.0));
    CHECK(std::is_sorted(points.begin(), points.end()));
}

// Guards against an own cost computed from the median of a single reply: a
// query waits for the slowest of all its targets.
TEST_CASE("the median of the largest value grows with the count", "[bench]")
{
    CHECK(median_of_largest(5, 0.3, 1) == Approx(5));
    // 0.5^(1/24) is the standard normal CDF at 1.9038.
    CHECK(median_of_largest(5, 0.3, 24) == Approx(8.8514).epsilon(0.0001));
}

// Guards against faulty answers that the benchmark counts as correct.
TEST_CASE("faults of an answer are counted by kind", "[bench]")
{
    const json good = complete_answer();
    const answer_check clean = check(good);
    CHECK(clean.parsed);
    CHECK(clean.asked == 3);
    CHECK(clean.wrong + clean.doubled + clean.lost == 0);

    json lost = good;
    lost["rows"].erase(4);
    CHECK(check(lost).lost == 1);

    json doubled = good;
    doubled["rows"].push_back(doubled["rows"][0]);
    CHECK(check(doubled).doubled == 1);

    json other_snapshot = good;
    other_snapshot["rows"][2]["snapshot"] = 6;
    CHECK(check(other_snapshot).wrong == 1);

    json unknown = good;
    unknown["snapshot"]["sequence"] = 8;
    CHECK(check(unknown).wrong == good["rows"].size());

    json malformed = good;
    malformed.erase("coverage");
    CHECK_FALSE(check(malformed).parsed);
}

// Guards against accepting a partial answer that lacks rows of a shard it does
// not list as missing, or whose counts of shards are false.
TEST_CASE("coverage must match the rows", "[bench]")
{
    json partial = complete_answer();
    const json all_rows = partial["rows"];
    partial["rows"] = json::array();
    std::copy_if(all_rows.begin(), all_rows.end(),
        std::back_inserter(partial["rows"]),
        [](const json& row) { return row["shard"] != 1; });
    CHECK(check(partial).lost == expected.at(7)[1].size());
    partial["coverage"] = {{"asked", 3}, {"answered", 2},
        {"missing", {{{"shard", 1}, {"reason", "deadline"}}}}};
    const answer_check consistent = check(partial);
    CHECK(consistent.wrong + consistent.lost == 0);
    CHECK(consistent.answered == 2);
    partial["coverage"]["answered"] = 3;
    CHECK(check(partial).wrong == 1);
    partial["coverage"]["asked"] = 2;
    CHECK(check(partial).wrong == 1);
}

// Guards against lost or foreign rows going unnoticed in the answer to a
// non-idempotent request, which has the rows of one shard only.
TEST_CASE(
    "a single-shard answer has all rows of that shard and no others", "[bench]")
{
    json answer = complete_answer();
    const json all_rows = answer["rows"];
    answer["rows"] = json::array();
    std::copy_if(all_rows.begin(), all_rows.end(),
        std::back_inserter(answer["rows"]),
        [](const json& row) { return row["shard"] == 1; });
    answer["coverage"]["asked"] = 1;
    answer["coverage"]["answered"] = 1;
    const auto check_one = [](const json& value) {
        return check_answer(
            value, "exam-desk", expected, answer_scope::one_shard);
    };
    const answer_check good = check_one(answer);
    CHECK(good.parsed);
    CHECK(good.wrong + good.doubled + good.lost == 0);
    json lost = answer;
    lost["rows"].erase(0);
    CHECK(check_one(lost).lost == 1);
    json other = answer;
    other["rows"].push_back(
        make_row("exam-desk", 7, 2, expected.at(7)[2].front()));
    CHECK(check_one(other).wrong == 1);
}

// Guards against a pass for a figure that is absent, not a number or beyond its
// bound.
TEST_CASE("a check passes only on a measured figure", "[bench]")
{
    const json base{{"p99_ms", 100.0}};
    json run{{"p99_ms", 30.0}, {"extra_load", 0.04}, {"row_faults", 0}};
    auto checks = checks_of("stragglers", base, run);
    REQUIRE(checks.size() == 3);
    CHECK(std::all_of(checks.begin(), checks.end(), passes));

    run["p99_ms"] = 31.0;
    run.erase("extra_load");
    checks = checks_of("stragglers", base, run);
    REQUIRE(find_check(checks, "p99_ms_ratio") != nullptr);
    CHECK_FALSE(passes(*find_check(checks, "p99_ms_ratio")));
    CHECK_FALSE(passes(*find_check(checks, "extra_load")));

    checks = checks_of("stragglers", json::object(), run);
    CHECK_FALSE(passes(*find_check(checks, "p99_ms_ratio")));
    checks = checks_of("replica", base, {{"coverage", 0.999}});
    CHECK_FALSE(passes(*find_check(checks, "coverage")));
    CHECK_FALSE(passes(*find_check(checks, "row_faults")));
    const double nan = std::numeric_limits<double>::quiet_NaN();
    CHECK_FALSE(passes({"x", nan, 1, false, true}));
    CHECK_FALSE(passes({"x", nan, 1, true, true}));
}
