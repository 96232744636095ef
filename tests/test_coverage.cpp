#include "coverage.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace bramleymux;
using nlohmann::json;

namespace
{

sub_request
request_for(std::uint64_t id, std::vector<shard_id> shards)
{
    sub_request result;
    result.id = id;
    result.version = "v1";
    result.snapshot = 7;
    result.shards = std::move(shards);
    return result;
}

sub_reply
reply_to(const sub_request& request, const std::string& row = "r")
{
    sub_reply result;
    result.id = request.id;
    result.run = run_state::run;
    result.version = request.version;
    result.snapshot = request.snapshot;
    for (const auto s : request.shards)
    {
        result.shards.push_back({s, json::array({row + std::to_string(s)})});
    }
    return result;
}

} // namespace

// Guards against an answer that includes rows of another request, snapshot,
// version or shard, or of a truncated reply.
TEST_CASE("a reply that does not match contributes nothing", "[coverage]")
{
    const auto request = request_for(1, {0, 1});
    auto reply = reply_to(request);
    auto expected = miss_reason::mismatched;
    SECTION("other id")
    {
        reply.id = 2;
    }
    SECTION("other snapshot")
    {
        reply.snapshot = 8;
        expected = miss_reason::snapshot;
    }
    SECTION("other version")
    {
        reply.version = "v2";
    }
    SECTION("shard not asked for")
    {
        reply.shards[1].shard = 2;
    }
    SECTION("shard twice")
    {
        reply.shards[1].shard = 0;
    }
    SECTION("truncated")
    {
        reply.shards.pop_back();
        expected = miss_reason::malformed;
    }
    SECTION("rows are not an array")
    {
        reply.shards[0].rows = json::object();
        expected = miss_reason::malformed;
    }
    SECTION("error with rows")
    {
        reply.error = miss_reason::failed;
        expected = miss_reason::failed;
    }
    auto builder = start_answer(7, {0, 1, 2});
    REQUIRE(register_sub_request(builder, request));
    const auto result = merge(builder, reply);
    CHECK(result.error == expected);
    CHECK(result.merged == 0);
    CHECK(coverage_of(builder).missing.size() == 3);
    CHECK(take_rows(builder).empty());
}

// Guards against duplicate rows when a hedge and the first send are both
// answered, also when the hedge was divided between two targets and each part
// includes only some of the shards.
TEST_CASE("the first complete reply for a shard wins", "[coverage]")
{
    auto builder = start_answer(7, {2, 1, 0, 1});
    const auto first = request_for(1, {0, 1, 2});
    const auto hedge = request_for(2, {0, 1});
    REQUIRE(register_sub_request(builder, first));
    REQUIRE(register_sub_request(builder, hedge));
    CHECK(merge(builder, reply_to(hedge, "h")).merged == 2);
    CHECK(
        merge(builder, reply_to(hedge, "x")).error == miss_reason::mismatched);
    CHECK(is_expected(builder, 2));
    CHECK(cancellable_requests(builder).empty());
    CHECK(merge(builder, reply_to(first, "f")).merged == 1);
    CHECK(is_complete(builder));
    CHECK(take_rows(builder) == json::array({"h0", "h1", "f2"}));
}

// Guards against a coverage report that states the wrong reason, or that omits
// shards whose reply was never received.
TEST_CASE("missing shards have the latest reason", "[coverage]")
{
    auto builder = start_answer(7, {0, 1, 2, 3});
    record_missing(builder, {3}, miss_reason::zone_out);
    auto shed = reply_to(request_for(1, {0, 1}));
    shed.error = miss_reason::shed;
    REQUIRE(register_sub_request(builder, request_for(1, {0, 1})));
    CHECK(merge(builder, shed).failed == std::vector<shard_id>{0, 1});
    REQUIRE(register_sub_request(builder, request_for(2, {1, 2})));
    REQUIRE(register_sub_request(builder, request_for(3, {0})));
    auto cancelled = reply_to(request_for(3, {0}));
    cancelled.error = miss_reason::cancelled;
    merge(builder, cancelled);
    CHECK_FALSE(is_settled(builder));
    close_answer(builder);
    CHECK(is_settled(builder));
    CHECK(merge(builder, reply_to(request_for(2, {1, 2}))).merged == 0);
    CHECK(to_json(coverage_of(builder)) ==
          json::parse(R"({"asked":4,"answered":0,"missing":[
            {"shard":0,"reason":"shed"},{"shard":1,"reason":"deadline"},
            {"shard":2,"reason":"deadline"},{"shard":3,"reason":"zone_out"}
          ]})"));
}

// Guards against a sub-request that could return rows of another snapshot or of
// shards that were not requested.
TEST_CASE("sub-requests that do not match the answer are refused", "[coverage]")
{
    auto builder = start_answer(7, {0, 1});
    auto other = request_for(1, {0});
    other.snapshot = 6;
    CHECK_FALSE(register_sub_request(builder, other));
    CHECK_FALSE(register_sub_request(builder, request_for(1, {0, 2})));
    CHECK_FALSE(register_sub_request(builder, request_for(1, {1, 1})));
    CHECK(register_sub_request(builder, request_for(1, {0})));
    CHECK_FALSE(register_sub_request(builder, request_for(1, {1})));
}

// Guards against counts that disagree with the rows when complete, truncated,
// repeated and failed replies arrive in any order.
TEST_CASE("coverage agrees with the rows in any order", "[coverage]")
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 300; ++round)
    {
        auto builder = start_answer(7, {0, 1, 2, 3, 4, 5, 6, 7});
        std::vector<sub_reply> replies;
        for (std::uint64_t id = 1; id <= 12; ++id)
        {
            const auto first = static_cast<shard_id>(random() % 7);
            const auto request = request_for(id, {first + 1, first});
            REQUIRE(register_sub_request(builder, request));
            auto reply = reply_to(request);
            if (random() % 4 == 0)
            {
                reply.shards.pop_back();
            }
            if (random() % 4 == 0)
            {
                reply.error = miss_reason::unreachable;
            }
            replies.insert(replies.end(), 1 + random() % 2, reply);
        }
        std::shuffle(replies.begin(), replies.end(), random);
        std::size_t merged = 0;
        for (const auto& reply : replies)
        {
            merged += merge(builder, reply).merged;
        }
        const auto report = coverage_of(builder);
        const auto rows = take_rows(builder);
        REQUIRE(report.answered == merged);
        REQUIRE(report.answered + report.missing.size() == report.asked);
        REQUIRE(rows.size() == merged);
        REQUIRE(std::is_sorted(rows.begin(), rows.end()));
        REQUIRE(std::adjacent_find(rows.begin(), rows.end()) == rows.end());
    }
}
