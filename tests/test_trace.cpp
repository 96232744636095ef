#include "trace.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <mutex>

using namespace bramleymux;

// Guards against trace ids taken from a caller's malformed header.
TEST_CASE("malformed traceparent headers are refused", "[trace]")
{
    trace_context c;
    const std::string good =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    REQUIRE(parse_traceparent(good, c));
    CHECK(c.sampled);
    CHECK(to_traceparent(c) == good);
    CHECK_FALSE(parse_traceparent("", c));
    CHECK_FALSE(parse_traceparent(good + "x", c));
    CHECK_FALSE(parse_traceparent(
        "00-00000000000000000000000000000000-b7ad6b7169203331-01", c));
    CHECK_FALSE(parse_traceparent(
        "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", c));
    CHECK_FALSE(parse_traceparent(
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-zz", c));
}

// Guards against spans of one request with different trace ids, and against
// pending spans that are lost when the daemon stops.
TEST_CASE(
    "child spans keep the trace id and are exported on shutdown", "[trace]")
{
    std::string exported;
    trace_context root;
    {
        tracer t("vm-1", "a", 1.0,
            [&](const std::string& text) { exported += text; });
        root = t.start("");
        const trace_context child = t.child(root);
        CHECK(child.trace_id == root.trace_id);
        CHECK(child.span_id != root.span_id);
        span s;
        s.context = child;
        s.parent_span_id = root.span_id;
        s.name = "sub_request";
        t.record(s);
    }
    const auto value = nlohmann::json::parse(exported);
    const auto& item = value["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(item["traceId"] == root.trace_id);
    CHECK(item["parentSpanId"] == root.span_id);
}
