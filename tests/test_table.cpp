#include "config.hpp"
#include "table.hpp"

#include <catch2/catch.hpp>

#include "table_samples.hpp"

using namespace bramleymux;
using nlohmann::json;

namespace
{

bool
has_finding(const findings& found, const std::string& place)
{
    return std::any_of(found.begin(), found.end(),
        [&](const finding& f) { return f.place == place; });
}

findings
findings_of(const json& value)
{
    findings found;
    const table parsed = parse_table(value, 1, found);
    const findings more = validate(parsed);
    found.insert(found.end(), more.begin(), more.end());
    return found;
}

} // namespace

TEST_CASE("a table is unchanged by serialising and parsing", "[table]")
{
    // Guards against a field that is written but not parsed, or the reverse.
    findings found;
    table t = parse_table(sample_table_json(), 7, found);
    REQUIRE(found.empty());
    CHECK(validate(t).empty());
    t.targets[0].limit = 2;
    t.targets[0].draining = true;
    t.moves[0].cause = "errors";
    t.moves[0].state = move_state::withdrawn;
    t.edits.push_back({"e1", "ana", 5, 6, "f", {"target/exam-1-a"}});
    const table reparsed = parse_table(to_json(t), 7, found);
    CHECK(found.empty());
    CHECK(to_json(reparsed) == to_json(t));
    CHECK(reparsed.version == 7);
    CHECK(reparsed.targets[0].limit == 2);
}

TEST_CASE("every fault of a table is reported with its place", "[table]")
{
    // Guards against validation that stops at the first fault, so that an
    // operator needs one attempt per fault.
    json t = sample_table_json();
    t["zones"][0]["weight"] = -1.0;
    t["services"][0]["floor_share"] = 1.5;
    t["routes"].push_back(t["routes"][0]);
    t["searchers"][0]["cold_limit"] = 9;
    t["versions"][0]["max_share"] = 2;
    t["targets"][0]["limit"] = 5000;
    t["targets"][0]["address"] = "exam-1:80";
    t["targets"][1]["zone"] = "nowhere";
    t["targets"][1]["colour"] = "red";
    t["moves"][0]["to"] = "v1";
    t["moves"][0]["deadline_ms"] = 10;
    t["colour"] = 1;
    const findings found = findings_of(t);
    for (const char* place : {"zone/z1/weight", "service/exam-desk/floor_share",
             "route/exam-desk:find", "searcher/exam-desk:exam-1/cold_limit",
             "version/exam-desk:v1/max_share", "target/exam-1-a/limit",
             "target/exam-1-a/address", "target/exam-1-b/zone",
             "target/exam-1-b/colour", "move/m1/to", "move/m1/deadline_ms",
             "colour"})
    {
        INFO(place);
        CHECK(has_finding(found, place));
    }
}

TEST_CASE("numbers out of range and wrong types are refused", "[table]")
{
    // Guards against a negative limit that wraps round to a huge one, and
    // against a weight that is null, NaN or infinite.
    json t = sample_table_json();
    t["targets"][0]["limit"] = -1;
    t["targets"][1]["weight"] = nullptr;
    t["searchers"][0]["slots"] = 4294967296;
    t["zones"][0]["out"] = "yes";
    t["moves"][0]["state"] = "paused";
    const findings found = findings_of(t);
    CHECK(has_finding(found, "target/exam-1-a/limit"));
    CHECK(has_finding(found, "target/exam-1-b/weight"));
    CHECK(has_finding(found, "searcher/exam-desk:exam-1/slots"));
    CHECK(has_finding(found, "zone/z1/out"));
    CHECK(has_finding(found, "move/m1/state"));

    findings none;
    table parsed = parse_table(sample_table_json(), 1, none);
    parsed.zones[0].weight = std::numeric_limits<double>::quiet_NaN();
    parsed.services[0].worth = std::numeric_limits<double>::infinity();
    CHECK(has_finding(validate(parsed), "zone/z1/weight"));
    CHECK(has_finding(validate(parsed), "service/exam-desk/worth"));
}

TEST_CASE("a service has at most one active move", "[table]")
{
    // Guards against two moves that shift the same traffic at once.
    json t = sample_table_json();
    json second = t["moves"][0];
    second["name"] = "m2";
    t["moves"].push_back(second);
    CHECK(has_finding(findings_of(t), "move/m2/service"));
    t["moves"][1]["state"] = "withdrawn";
    CHECK(findings_of(t).empty());
}

TEST_CASE("an address is an IP and a port", "[table]")
{
    // Guards against accepting host names, missing ports, ports out of range
    // and misplaced brackets.
    std::string host;
    std::uint16_t port = 0;
    CHECK(split_address("127.0.0.1:80", host, port));
    CHECK(host == "127.0.0.1");
    CHECK(port == 80);
    CHECK(split_address("[::1]:65535", host, port));
    CHECK(host == "::1");
    for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
             "127.0.0.1:65536", "127.0.0.1:8x", "::1:80", "[127.0.0.1]:80",
             "localhost:80", "127.0.0.1:-1", "[]:80"})
    {
        INFO(bad);
        CHECK_FALSE(split_address(bad, host, port));
    }
}

TEST_CASE("a table above a limit is refused", "[table]")
{
    // Guards against a table that exceeds the platform's object size or the
    // number of handles.
    findings found;
    table t = parse_table(sample_table_json(), 1, found);
    for (std::size_t i = 0; i < config::max_zones; ++i)
    {
        t.zones.push_back({"extra" + std::to_string(i), "", 1.0, false});
    }
    t.edits.push_back(
        {"big", std::string(config::max_table_bytes, 'a'), 0, 0, "", {}});
    CHECK(has_finding(validate(t), "zones"));
    CHECK(has_finding(validate(t), "table"));
}
