#include "common/bench_rows.hpp"
#include "common/bench_schedule.hpp"
#include "common/bench_statistics.hpp"
#include "common/bench_targets.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>

using namespace bramleymux;
using namespace bramleymux::tools;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

const expected_rows held{{7, partition_keys(20, 3)}};

json
whole_answer()
{
    json rows = json::array();
    for (shard_id s = 0; s < 3; ++s)
    {
        for (const std::uint32_t key : held.at(7)[s])
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
    return check_answer(answer, "exam-desk", held);
}

const target_check*
find_check(const std::vector<target_check>& checks, const std::string& name)
{
    const auto it = std::find_if(checks.begin(), checks.end(),
        [&](const target_check& c) { return c.name == name; });
    return it == checks.end() ? nullptr : &*it;
}

} // namespace

// Guards against a comparison of two policies under different loads.
TEST_CASE("one seed gives one schedule at the stated rates", "[bench]")
{
    const auto once = make_schedule({30, 70}, 100s, 5);
    const auto longer = make_schedule({30, 70}, 120s, 5);
    REQUIRE(longer.size() > once.size());
    std::size_t second = 0;
    for (std::size_t i = 0; i < once.size(); ++i)
    {
        REQUIRE(once[i].at == longer[i].at);
        REQUIRE(once[i].kind == longer[i].kind);
        REQUIRE((i == 0 || once[i - 1].at <= once[i].at));
        second += once[i].kind;
    }
    // Four standard deviations of a Poisson count of 10,000.
    CHECK(once.size() > 9'600);
    CHECK(once.size() < 10'400);
    const double share =
        static_cast<double>(second) / static_cast<double>(once.size());
    CHECK(share == Approx(0.7).margin(0.02));
    CHECK(make_schedule({0, 0}, 1s, 5).empty());
}

// Guards against a tail that is read one rank too low or beyond the end.
TEST_CASE("percentiles are nearest ranks", "[bench]")
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

// Guards against an own cost that is taken over one reply, not the slowest.
TEST_CASE("the median of the largest grows with the count", "[bench]")
{
    CHECK(median_of_largest(5, 0.3, 1) == Approx(5));
    // 0.5^(1/24) is the normal distribution at 1.9038.
    CHECK(median_of_largest(5, 0.3, 24) == Approx(8.8514).epsilon(0.0001));
}

// Guards against a fault in an answer that the benchmark does not see.
TEST_CASE("faults of an answer are counted by kind", "[bench]")
{
    const json good = whole_answer();
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

    json unfit = good;
    unfit.erase("coverage");
    CHECK_FALSE(check(unfit).parsed);
}

// Guards against an answer that lacks rows or whose coverage is untrue.
TEST_CASE("coverage must fit the rows", "[bench]")
{
    json partial = whole_answer();
    const json before = partial["rows"];
    partial["rows"] = json::array();
    std::copy_if(before.begin(), before.end(),
        std::back_inserter(partial["rows"]),
        [](const json& row) { return row["shard"] != 1; });
    CHECK(check(partial).lost == held.at(7)[1].size());
    partial["coverage"] = {{"asked", 3}, {"answered", 2},
        {"missing", {{{"shard", 1}, {"reason", "deadline"}}}}};
    const answer_check honest = check(partial);
    CHECK(honest.wrong + honest.lost == 0);
    CHECK(honest.answered == 2);
    partial["coverage"]["answered"] = 3;
    CHECK(check(partial).wrong == 1);
    partial["coverage"]["asked"] = 2;
    CHECK(check(partial).wrong == 1);
}

// Guards against faults in the answer to a non-idempotent request.
TEST_CASE("an answer about one shard has all rows of that shard", "[bench]")
{
    json answer = whole_answer();
    const json before = answer["rows"];
    answer["rows"] = json::array();
    std::copy_if(before.begin(), before.end(),
        std::back_inserter(answer["rows"]),
        [](const json& row) { return row["shard"] == 1; });
    answer["coverage"]["asked"] = 1;
    answer["coverage"]["answered"] = 1;
    const auto check_one = [](const json& value)
    { return check_answer(value, "exam-desk", held, answer_scope::one_shard); };
    const answer_check good = check_one(answer);
    CHECK(good.parsed);
    CHECK(good.wrong + good.doubled + good.lost == 0);
    json lost = answer;
    lost["rows"].erase(0);
    CHECK(check_one(lost).lost == 1);
    json other = answer;
    other["rows"].push_back(make_row("exam-desk", 7, 2, held.at(7)[2].front()));
    CHECK(check_one(other).wrong == 1);
}

// Guards against a figure that is absent or bad and reported as a pass.
TEST_CASE("a target passes only on a measured figure", "[bench]")
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
