#include "config.hpp"
#include "table_edit.hpp"

#include <catch2/catch.hpp>

#include "fake_platform.hpp"
#include "table_samples.hpp"

using namespace bramleymux;
using nlohmann::json;

namespace
{

table_edit
patch(const std::string& id, const std::string& row, json fields,
    std::uint64_t base)
{
    return {id, "author-" + id, 1, base,
        {{change_op::patch, row, std::move(fields)}}};
}

struct fixture
{
    fixture()
    {
        REQUIRE(platform.put(std::string(table_key), sample_table_json(), 0));
    }

    table
    stored()
    {
        findings found;
        const auto read = platform.get(std::string(table_key));
        table t = parse_table(read.value().value, read.value().version, found);
        REQUIRE(found.empty());
        return t;
    }

    std::size_t
    records_of(const std::string& id)
    {
        const table t = stored();
        return static_cast<std::size_t>(std::count_if(t.edits.begin(),
            t.edits.end(), [&](const edit_record& r) { return r.id == id; }));
    }

    fake_platform platform;
};

} // namespace

TEST_CASE_METHOD(fixture, "an edit is written with its record", "[table_edit]")
{
    // Guards against an accepted edit that is not in the stored table, a second
    // write of a repeated edit, and one id used for two edits.
    const edit_result r = submit_edit(
        platform, patch("e1", "target/exam-1-a", {{"limit", 2}}, 1));
    CHECK(r.outcome == edit_outcome::accepted);
    CHECK(r.version == 2);
    CHECK(stored().targets[0].limit == 2);
    CHECK(records_of("e1") == 1);
    CHECK(
        submit_edit(platform, patch("e1", "target/exam-1-a", {{"limit", 2}}, 1))
            .outcome == edit_outcome::accepted);
    CHECK(records_of("e1") == 1);
    CHECK(
        submit_edit(platform, patch("e1", "target/exam-1-a", {{"limit", 3}}, 1))
            .outcome == edit_outcome::rejected_invalid);
}

TEST_CASE_METHOD(fixture, "an edit is refused as a whole", "[table_edit]")
{
    // Guards against an edit that is applied in part, and against findings that
    // an earlier one hides.
    table_edit e = patch("e1", "target/exam-1-a", {{"limit", -1}}, 1);
    e.changes.push_back({change_op::remove, "zone/z2", nullptr});
    e.changes.push_back({change_op::patch, "target/none", {{"limit", 1}}});
    e.changes.push_back({change_op::patch, "zone/z1", {{"name", "z9"}}});
    const edit_result r = submit_edit(platform, e);
    CHECK(r.outcome == edit_outcome::rejected_invalid);
    std::vector<std::string> places;
    for (const finding& f : r.found)
    {
        places.push_back(f.place);
    }
    for (const char* place : {"target/exam-1-a/limit", "target/exam-1-b/zone",
             "target/none", "zone/z1"})
    {
        INFO(place);
        CHECK(std::count(places.begin(), places.end(), place) == 1);
    }
    CHECK(stored().version == 1);
}

TEST_CASE_METHOD(
    fixture, "concurrent edits of one base version", "[table_edit]")
{
    // Guards against a lost update, where the second of two concurrent edits
    // overwrites the row of the first, and against refusing it although it
    // changes another row.
    const auto race = [this](const std::string& row, json fields)
    {
        platform.before_write = [this, row, fields = std::move(fields)](
                                    const std::string&)
        {
            CHECK(
                submit_edit(platform, patch("first", row, fields, 1)).outcome ==
                edit_outcome::accepted);
        };
        return submit_edit(
            platform, patch("second", "target/exam-1-a", {{"limit", 3}}, 1));
    };
    SECTION("edits of different rows are both accepted")
    {
        const edit_result r = race("target/exam-1-b", {{"limit", 1}});
        CHECK(r.outcome == edit_outcome::accepted);
        CHECK(r.attempts == 2);
        CHECK(stored().targets[0].limit == 3);
        CHECK(stored().targets[1].limit == 1);
    }
    SECTION("an edit of the same row is refused and shows the current row")
    {
        const edit_result r = race("target/exam-1-a", {{"weight", 0.5}});
        CHECK(r.outcome == edit_outcome::rejected_conflict);
        REQUIRE(r.conflicts.size() == 1);
        CHECK(r.conflicts[0].author == "author-first");
        CHECK(r.conflicts[0].value["weight"] == 0.5);
        CHECK_FALSE(stored().targets[0].limit.has_value());
    }
}

TEST_CASE_METHOD(fixture, "an edit based on a version older than the records",
    "[table_edit]")
{
    // Guards against an edit that overwrites a change whose record is no longer
    // kept.
    table t = stored();
    t.edits.clear();
    REQUIRE(platform.put(std::string(table_key), to_json(t), 1));
    CHECK(submit_edit(platform, patch("e", "zone/z1", {{"weight", 2}}, 1))
              .outcome == edit_outcome::rejected_conflict);
}

TEST_CASE_METHOD(fixture, "a lost reply is resolved", "[table_edit]")
{
    // Guards against an edit that is written twice, or reported as failed
    // although it took effect, when the reply to its write is lost.
    const table_edit e = patch("e", "zone/z1", {{"weight", 2}}, 1);
    SECTION("the write took effect")
    {
        platform.lose_replies = 1;
        CHECK(submit_edit(platform, e).outcome == edit_outcome::accepted);
        CHECK(platform.writes == 2);
    }
    SECTION("the request was lost")
    {
        platform.lose_requests = 1;
        CHECK(submit_edit(platform, e).outcome == edit_outcome::accepted);
    }
    SECTION("the write arrives after it was read back")
    {
        platform.delay_writes = 1;
        CHECK(submit_edit(platform, e,
                  [this](std::size_t) {
                      platform.before_write = [this](const std::string&)
                      { platform.deliver(); };
                  })
                  .outcome == edit_outcome::accepted);
    }
    SECTION("the platform goes down after the write")
    {
        platform.lose_replies = 1;
        platform.down_after_loss = true;
        const edit_result r = submit_edit(platform, e);
        CHECK(r.outcome == edit_outcome::unknown);
        // 503 would promise an author that nothing was written.
        CHECK(http_status_of(r.outcome) == 504);
        CHECK(http_status_of(edit_outcome::not_accepted_platform) == 503);
        CHECK(r.edit_id == "e");
        CHECK(r.reason.find("ask again with edit id e") != std::string::npos);
        platform.down = false;
        CHECK(
            read_edit_outcome(platform, "e").outcome == edit_outcome::accepted);
        CHECK(submit_edit(platform, e).outcome == edit_outcome::accepted);
    }
    CHECK(records_of("e") == 1);
    CHECK(stored().zones[0].weight == 2.0);
}

TEST_CASE_METHOD(fixture, "an edit while the platform is down", "[table_edit]")
{
    // Guards against an edit that is reported as accepted or unknown although
    // no write was sent.
    platform.down = true;
    const edit_result r =
        submit_edit(platform, patch("e", "zone/z1", {{"weight", 2}}, 1));
    CHECK(r.outcome == edit_outcome::not_accepted_platform);
    CHECK(r.reason.find("unavailable") != std::string::npos);
    CHECK(to_json(r)["outcome"] == "not_accepted_platform");
}

TEST_CASE_METHOD(fixture, "a withdrawal is final", "[table_edit]")
{
    // Guards against an edit that makes a withdrawn move active again, and
    // against a withdrawal that is lost to a concurrent edit by an operator.
    platform.before_write = [this](const std::string&)
    {
        CHECK(submit_edit(platform,
                  patch("op", "move/m1", {{"deadline_ms", 3000000}}, 1))
                  .outcome == edit_outcome::accepted);
    };
    CHECK(withdraw_move(
              platform, "m1", "errors on find", patch("w1", "", nullptr, 0))
              .outcome == edit_outcome::accepted);
    CHECK(stored().moves[0].state == move_state::withdrawn);
    CHECK(stored().moves[0].deadline_ms == 3000000);
    const std::uint64_t version = stored().version;
    CHECK(withdraw_move(platform, "m1", "other", patch("w2", "", nullptr, 0))
              .outcome == edit_outcome::accepted);
    CHECK(stored().version == version);
    CHECK(finish_move(platform, "m1", patch("f", "", nullptr, 0)).outcome ==
          edit_outcome::rejected_invalid);
    json row = sample_table_json()["moves"][0];
    CHECK(submit_edit(
              platform, {"op2", "x", 1, 0, {{change_op::set, "move/m1", row}}})
              .outcome == edit_outcome::rejected_invalid);
    CHECK(submit_edit(platform,
              {"op4", "x", 1, 0, {{change_op::remove, "move/m1", nullptr}}})
              .outcome == edit_outcome::rejected_invalid);
    row["name"] = "m2";
    CHECK(submit_edit(
              platform, {"op3", "x", 1, 0, {{change_op::set, "move/m2", row}}})
              .outcome == edit_outcome::accepted);
}

TEST_CASE_METHOD(fixture, "the newest edit records are kept", "[table_edit]")
{
    // Guards against a table that grows with every edit.
    for (std::size_t i = 0; i < config::max_edit_records + 3; ++i)
    {
        REQUIRE(submit_edit(platform, patch("e" + std::to_string(i), "zone/z1",
                                          {{"weight", i}}, 0))
                    .outcome == edit_outcome::accepted);
    }
    CHECK(stored().edits.size() == config::max_edit_records);
    CHECK(stored().edits.front().id == "e3");
}

TEST_CASE("diff reports differences by row and field", "[table_edit]")
{
    // Guards against a change that is missing from what operators see.
    findings found;
    const table before = parse_table(sample_table_json(), 1, found);
    table after = before;
    after.targets[0].limit = 2;
    after.zones[0].out = true;
    after.routes.pop_back();
    after.zones.push_back({"z3", "", 1.0, false});
    const auto changes = diff(before, after);
    REQUIRE(changes.size() == 4);
    CHECK((changes[0].row == "zone/z1" && changes[0].field == "out"));
    CHECK((changes[1].row == "zone/z3" && changes[1].before.is_null()));
    CHECK((changes[2].row == "route/exam-desk:enter" &&
           changes[2].after.is_null()));
    CHECK((changes[3].field == "limit" && changes[3].after == 2));
}

TEST_CASE("parsing an edit reports every fault", "[table_edit]")
{
    // Guards against an edit that is applied in part because a field is
    // misspelt.
    findings found;
    const table_edit e = parse_edit(json::parse(R"({"id":"e","base_version":3,
        "changes":[{"op":"set","kind":"zone","value":{"name":"z"}},
        {"op":"remove","row":"zone/z1"}]})"),
        found);
    CHECK(found.empty());
    REQUIRE(e.changes.size() == 2);
    CHECK(e.changes[0].row == "zone/z");
    parse_edit(json::parse(R"({"base":1,"changes":[{"op":"put"},3]})"), found);
    CHECK(found.size() >= 6);
}
