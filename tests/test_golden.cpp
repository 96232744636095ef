#include "golden_session.hpp"
#include "version_move_model.hpp"

using namespace bramleymux;
using namespace bramleymux::test;

// Each case guards against an unintended change of what callers and operators
// observe in a session: status, headers, body and log events.

namespace
{

const std::map<std::string, std::string> with_key{{"idempotency-key", "key-1"}};

/// Runs a version move in the model and returns its events and end times.
std::string
move_transcript(const move_model::scenario& s)
{
    const move_model::result r = move_model::model(s).run();
    std::string text;
    for (const std::string& line : r.events)
    {
        text += line + '\n';
    }
    return text + "highest_share=" + std::to_string(r.highest_share) +
           "\ndone_s=" + std::to_string(r.done) +
           "\nall_withdrawn_s=" + std::to_string(r.all_withdrawn) + '\n';
}

} // namespace

TEST_CASE("golden: complete answers", "[golden]")
{
    golden_session s(complete_reply);
    s.get("/healthz");
    s.get("/readyz");
    s.post("read");
    s.post("write", with_key);
    s.comment("the same key again: the stored outcome");
    s.post("write", with_key);
    check_golden("whole_answer", s.transcript());
}

TEST_CASE("golden: partial answers", "[golden]")
{
    bool drop_reply = false; // of the target that holds shard 1
    golden_session s(
        [&drop_reply](const sub_request& r) -> std::optional<sub_reply>
        {
            return drop_reply && r.target_name == "b-v1"
                       ? std::nullopt
                       : std::make_optional(complete_reply(r));
        });
    s.comment("shard 2 has no replica");
    s.publish(3);
    s.post("read");
    s.comment("the reply for shard 1 does not arrive");
    s.publish(2);
    drop_reply = true;
    s.post("read", {{"x-deadline-ms", "100"}});
    check_golden("partial_answer", s.transcript());
}

TEST_CASE("golden: malformed requests refused", "[golden]")
{
    golden_session s(complete_reply);
    s.get("/v1/unknown");
    s.get("/v1/services/s/routes/read");
    server_request other;
    other.method = "POST";
    other.path = "/v1/services/other/routes/read";
    other.body = "{}";
    s.send(other);
    s.post("other");
    s.post("read",
        {{"x-deadline-ms", "0"}, {"x-min-coverage", "2"}, {"x-worth", "much"},
            {"x-wait-for-coverage", "perhaps"},
            {"idempotency-key", std::string(256, 'k')}},
        "[]");
    s.post("write");
    check_golden("refused_by_form", s.transcript());
}

TEST_CASE("golden: non-idempotent requests refused", "[golden]")
{
    miss_reason error = miss_reason::none;
    run_state run = run_state::run;
    golden_session s(
        [&](const sub_request& r)
        {
            return error == miss_reason::none ? complete_reply(r)
                                              : failed_reply(error, run);
        });
    s.post("write", with_key);
    s.comment("the key with another body");
    s.post("write", with_key, R"({"key":"other"})");
    s.comment("the target's reply is lost");
    error = miss_reason::unreachable;
    run = run_state::unknown;
    s.post("write", {{"idempotency-key", "key-2"}});
    s.comment("a repeat of the request of unknown outcome");
    s.post("write", {{"idempotency-key", "key-2"}});
    s.comment("the target sheds the request");
    error = miss_reason::shed;
    run = run_state::not_run;
    s.post("write", {{"idempotency-key", "key-3"}});
    s.comment("the platform is down");
    s.fixture.platform.down = true;
    s.post("write", {{"idempotency-key", "key-4"}});
    check_golden("refused_writes", s.transcript());
}

TEST_CASE("golden: requests refused by the VM's state", "[golden]")
{
    golden_session s(complete_reply);
    s.comment("two of three shards are held, the caller wants all");
    s.publish(3);
    s.post("read", {{"x-min-coverage", "1"}});
    s.comment("no target has reported a snapshot");
    s.fixture.board.routes.set(build_routing_index(*s.fixture.topology,
        std::vector<target_report>(s.fixture.topology->targets.size())));
    s.post("read");
    s.comment("admission is full");
    s.publish(2);
    s.saturate_admission();
    s.post("read");
    s.comment("no table");
    s.fixture.board.topology.set(nullptr);
    s.get("/readyz");
    s.post("read");
    check_golden("refused_by_state", s.transcript());
}

TEST_CASE("golden: table versions applied and rejected", "[golden]")
{
    golden_session s(complete_reply);
    s.post("added");
    nlohmann::json rows = example_table();
    rows["routes"].push_back({{"service", "s"}, {"name", "added"}});
    s.apply(rows, 2);
    s.post("added");
    s.comment("an older version is ignored");
    s.apply(example_table(), 1);
    s.post("added");
    s.comment("a version with findings is not adopted");
    rows["targets"][0]["zone"] = "nowhere";
    s.apply(rows, 3);
    s.post("added");
    check_golden("edit_in_force", s.transcript());
}

TEST_CASE("golden: a graceful stop", "[golden]")
{
    std::function<void()> while_running = [] {};
    golden_session s(
        [&while_running](const sub_request& r)
        {
            std::exchange(while_running, [] {})();
            return complete_reply(r);
        });
    s.comment("readiness fails, requests are still served");
    s.server.fail_readiness();
    s.get("/readyz");
    s.post("read");
    server_response refused;
    bool drained = true;
    while_running = [&]
    {
        drained = s.server.drain(monotonic_clock::now());
        server_request request;
        request.method = "POST";
        request.path = "/v1/services/s/routes/read";
        request.body = "{}";
        refused = s.server.handle(request);
    };
    s.comment("the drain begins during this request");
    s.post("read");
    s.comment("drained during the request: " + std::to_string(drained));
    s.comment("refused meanwhile: " + std::to_string(refused.status) + " " +
              refused.body);
    s.comment("drained after the request: " +
              std::to_string(s.server.drain(monotonic_clock::now())));
    s.post("read");
    check_golden("graceful_stop", s.transcript());
}

TEST_CASE("golden: a good move", "[golden]")
{
    check_golden("good_move", move_transcript({}));
}

TEST_CASE("golden: a bad move", "[golden]")
{
    move_model::scenario s;
    s.behave = [](const move_model::model_request& r)
    {
        return r.is_new ? move_model::behaviour{1.0, 1.0}
                        : move_model::behaviour{};
    };
    check_golden("bad_move", move_transcript(s));
}
