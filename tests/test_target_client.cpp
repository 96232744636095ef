#include "raw_server.hpp"
#include "target_client.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto test_timeout = 60s;

catalog_target
target_at(const raw_server& server)
{
    catalog_target t;
    t.self.index = 0;
    t.name = "exam-1-a";
    t.host = "127.0.0.1";
    t.port = server.address().port;
    t.connections = 2;
    return t;
}

sub_request
example_request(bool idempotent = true)
{
    sub_request r;
    r.id = 7;
    r.service = "exam-desk";
    r.route = "find";
    r.version = "v1";
    r.snapshot = 3;
    r.shards = {1, 2};
    r.idempotent = idempotent;
    r.idempotency_key = "key-1";
    r.traceparent = "00-1-2-01";
    r.query = {{"text", "belt"}};
    return r;
}

json
good_body()
{
    return {{"request_id", "w1"}, {"instance", "i1"}, {"version", "v1"},
        {"snapshot", 3},
        {"shards", {{{"shard", 1}, {"rows", {1}}},
                       {{"shard", 2}, {"rows", json::array()}}}}};
}

/// Executes `request` against a target that answers every request with `text`.
/// Returns the reply and whether the connection was kept open.
std::pair<sub_reply, bool>
execute_against(const std::string& text, const sub_request& request)
{
    raw_server server(answer_each([&](const std::string&) { return text; }));
    target_client client;
    const auto target = target_at(server);
    auto reply = client.execute(
        request, target, monotonic_clock::now() + test_timeout, "w1");
    return {reply, client.connections(target).open == 1};
}

void
check_refusal(int status, const json& body, miss_reason error, run_state run)
{
    INFO(status << " " << body);
    const auto [reply, kept] =
        execute_against(reply_text(status, body.dump()), example_request());
    CHECK(reply.error == error);
    CHECK(reply.run == run);
    CHECK(reply.shards.empty());
}

} // namespace

// Guards against a request without the deadline, the snapshot, or the key by
// which the target recognises a repeated execution.
TEST_CASE("a request carries deadline, snapshot, trace and key", "[target]")
{
    std::string seen;
    raw_server server(answer_each(
        [&](const std::string& r)
        {
            seen = r;
            return reply_text(200, good_body().dump(),
                "endpoint-load-metrics: JSON {\"named_metrics\":{\"slots_"
                "limit\":4,\"slots_used\":3}}\r\n");
        }));
    target_client client;
    const auto target = target_at(server);
    CHECK(client.warm(target, 8, monotonic_clock::now() + test_timeout) == 2);
    const auto reply = client.execute(example_request(false), target,
        monotonic_clock::now() + test_timeout, "w1");
    REQUIRE(reply.error == miss_reason::none);
    CHECK(reply.id == 7);
    CHECK(reply.run == run_state::run);
    CHECK(reply.shards.size() == 2);
    CHECK(reply.instance == "i1");
    CHECK(seen.find("POST /v1/execute HTTP/1.1\r\n") == 0);
    CHECK(seen.find("traceparent: 00-1-2-01\r\n") != std::string::npos);
    const json body = json::parse(body_of(seen));
    CHECK(body.at("request_id") == "w1");
    CHECK(body.at("snapshot") == 3);
    CHECK(body.at("idempotency_key") == "key-1");
    const auto left = body.at("deadline_ms").get<int>();
    CHECK(left > 0);
    CHECK(seen.find("X-Deadline-Ms: " + std::to_string(left) + "\r\n") !=
          std::string::npos);
    REQUIRE(client.load(target));
    CHECK(client.load(target)->slots_limit == 4);
    CHECK(client.load(target)->slots_used == 3);
    CHECK(server.accepted() == 2);

    client.retain(catalog{});
    CHECK_FALSE(client.load(target));
}

// Guards against accepting rows of another request, snapshot, shard or version,
// and against reusing the connection of such a reply.
TEST_CASE("a reply that does not match its request is refused", "[target]")
{
    const auto check = [](const char* pointer, const json& value,
                           miss_reason error, run_state run)
    {
        json body = good_body();
        body[json::json_pointer(pointer)] = value;
        INFO(body);
        const auto [reply, kept] =
            execute_against(reply_text(200, body.dump()), example_request());
        CHECK(reply.error == error);
        CHECK(reply.run == run);
        CHECK(reply.shards.empty());
        CHECK_FALSE(kept);
    };
    check("/request_id", "w2", miss_reason::mismatched, run_state::unknown);
    check("/snapshot", 4, miss_reason::snapshot, run_state::run);
    check("/shards/0/shard", 9, miss_reason::mismatched, run_state::run);
    check("/shards/0/shard", 2, miss_reason::mismatched, run_state::run);
    check("/version", "v2", miss_reason::mismatched, run_state::run);
    check("/shards/0/rows", 5, miss_reason::mismatched, run_state::run);
    check("/shards", 5, miss_reason::malformed, run_state::unknown);
    check("/instance", 5, miss_reason::malformed, run_state::unknown);
}

// Guards against treating a truncated or unparsable reply as an answer, or as
// proof that the request did not run.
TEST_CASE("a truncated or unparsable reply is malformed", "[target]")
{
    const std::string whole = reply_text(200, good_body().dump());
    for (const std::string& text :
        {reply_text(200, "nonsense"), reply_text(200, "[]")})
    {
        const auto [reply, kept] = execute_against(text, example_request());
        CHECK(reply.error == miss_reason::malformed);
        CHECK(reply.run == run_state::unknown);
        CHECK_FALSE(kept);
    }
    raw_server server(
        [&](int socket)
        {
            read_request(socket);
            write_text(socket, whole.substr(0, whole.size() - 5));
        });
    target_client client;
    const auto reply = client.execute(example_request(), target_at(server),
        monotonic_clock::now() + test_timeout, "w1");
    CHECK(reply.error == miss_reason::malformed);
    CHECK(reply.run == run_state::unknown);
}

// Guards against reporting not_run when the target did not report it.
TEST_CASE("refusals keep the run state that the target reports", "[target]")
{
    const auto body = [](const char* run, const char* reason) {
        return json{{"request_id", "w1"}, {"run", run}, {"reason", reason}};
    };
    check_refusal(
        503, body("not_run", "shed"), miss_reason::shed, run_state::not_run);
    check_refusal(503, body("not_run", "draining"), miss_reason::draining,
        run_state::not_run);
    check_refusal(409, body("not_run", "snapshot"), miss_reason::snapshot,
        run_state::not_run);
    check_refusal(409, body("not_run", "version"), miss_reason::failed,
        run_state::not_run);
    check_refusal(499, body("unknown", "cancelled"), miss_reason::cancelled,
        run_state::unknown);
    check_refusal(504, body("unknown", "deadline"), miss_reason::deadline,
        run_state::unknown);
    check_refusal(500, body("nonsense", "error"), miss_reason::failed,
        run_state::unknown);
    check_refusal(
        503, {{"request_id", "w1"}}, miss_reason::failed, run_state::unknown);
    check_refusal(503, {{"request_id", "w2"}, {"run", "not_run"}},
        miss_reason::mismatched, run_state::unknown);
    check_refusal(503, "busy", miss_reason::failed, run_state::unknown);
}

// Guards against reporting not_run for a request that was sent, and unknown for
// one that was not.
TEST_CASE("run state after a transport failure", "[target]")
{
    target_client client;
    catalog_target gone;
    {
        raw_server server([](int) {});
        gone = target_at(server);
    }
    auto reply = client.execute(
        example_request(), gone, monotonic_clock::now() + test_timeout, "w1");
    CHECK(reply.error == miss_reason::unreachable);
    CHECK(reply.run == run_state::not_run);
    CHECK_FALSE(client.status(gone));
    client.cancel(gone, "w1");

    raw_server silent(
        [](int socket)
        {
            read_request(socket);
            wait_for_close(socket);
        });
    reply = client.execute(example_request(), target_at(silent),
        monotonic_clock::now() + 100ms, "w1");
    CHECK(reply.error == miss_reason::deadline);
    CHECK(reply.run == run_state::unknown);

    reply = client.execute(
        example_request(), target_at(silent), monotonic_clock::now(), "w1");
    CHECK(reply.error == miss_reason::deadline);
    CHECK(reply.run == run_state::not_run);
}

// Guards against accepting a status with missing fields, and against a cancel
// with the wrong request id.
TEST_CASE("status and cancel", "[target]")
{
    std::string seen;
    std::string text = reply_text(200,
        R"({"instance":"i1","version":"v1","state":"draining","slots_limit":4,)"
        R"("snapshots":[{"sequence":3,"shard_count":9,"shards":[0,1,2]}]})");
    raw_server server(answer_each(
        [&](const std::string& r)
        {
            seen = r;
            return text;
        }));
    target_client client;
    const auto target = target_at(server);
    const auto report = client.status(target);
    REQUIRE(report);
    CHECK(report->target == "exam-1-a");
    CHECK(report->reachable);
    CHECK(report->draining);
    CHECK(report->slots_limit == 4);
    CHECK(holds(report->snapshots.at(0), 2));
    client.cancel(target, "w 1");
    CHECK(seen.find("DELETE /v1/requests/w%201 HTTP/1.1\r\n") == 0);
    text = reply_text(200, R"({"instance":"i1"})");
    CHECK_FALSE(client.status(target));
}
