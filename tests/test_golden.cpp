#include "golden_session.hpp"
#include "version_move_model.hpp"

using namespace bramleymux;
using namespace bramleymux::test;

// Each case guards against an unintended change of what callers and operators
// see: status, headers, body and log events of a whole session.

namespace
{

const std::map<std::string, std::string> with_key{{"idempotency-key", "key-1"}};

std::string
move_text(const move_model::scenario& s)
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

TEST_CASE("golden: whole answers", "[golden]")
{
    golden_session s(whole_reply);
    s.get("/healthz");
    s.get("/readyz");
    s.post("read");
    s.post("write", with_key);
    s.note("the same key again: the stored outcome");
    s.post("write", with_key);
    check_golden("whole_answer", s.text());
}

TEST_CASE("golden: partial answers", "[golden]")
{
    bool late = false;
    golden_session s(
        [&late](const sub_request& r) -> std::optional<sub_reply>
        {
            return late && r.target_name == "b-v1"
                       ? std::nullopt
                       : std::make_optional(whole_reply(r));
        });
    s.note("shard 2 has no replica");
    s.publish(3);
    s.post("read");
    s.note("the reply for shard 1 does not arrive");
    s.publish(2);
    late = true;
    s.post("read", {{"x-deadline-ms", "100"}});
    check_golden("partial_answer", s.text());
}

TEST_CASE("golden: requests refused by their form", "[golden]")
{
    golden_session s(whole_reply);
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
    check_golden("refused_by_form", s.text());
}

TEST_CASE("golden: non-idempotent requests refused", "[golden]")
{
    miss_reason error = miss_reason::none;
    run_state run = run_state::run;
    golden_session s(
        [&](const sub_request& r)
        {
            return error == miss_reason::none ? whole_reply(r)
                                              : failed_reply(error, run);
        });
    s.post("write", with_key);
    s.note("the key with another body");
    s.post("write", with_key, R"({"key":"other"})");
    s.note("the target's reply is lost");
    error = miss_reason::unreachable;
    run = run_state::unknown;
    s.post("write", {{"idempotency-key", "key-2"}});
    s.note("a repeat of the request of unknown outcome");
    s.post("write", {{"idempotency-key", "key-2"}});
    s.note("the target sheds the request");
    error = miss_reason::shed;
    run = run_state::not_run;
    s.post("write", {{"idempotency-key", "key-3"}});
    s.note("the platform is down");
    s.parts.platform.down = true;
    s.post("write", {{"idempotency-key", "key-4"}});
    check_golden("refused_writes", s.text());
}

TEST_CASE("golden: requests refused by state", "[golden]")
{
    golden_session s(whole_reply);
    s.note("two of three shards are held, the caller wants all");
    s.publish(3);
    s.post("read", {{"x-min-coverage", "1"}});
    s.note("no target has reported a snapshot");
    s.parts.board.routes.set(build_routing_index(*s.parts.topology,
        std::vector<target_report>(s.parts.topology->targets.size())));
    s.post("read");
    s.note("admission is full");
    s.publish(2);
    s.fill_admission();
    s.post("read");
    s.note("no table");
    s.parts.board.topology.set(nullptr);
    s.get("/readyz");
    s.post("read");
    check_golden("refused_by_state", s.text());
}

TEST_CASE("golden: an edit in force", "[golden]")
{
    golden_session s(whole_reply);
    s.post("added");
    nlohmann::json rows = example_table();
    rows["routes"].push_back({{"service", "s"}, {"name", "added"}});
    s.apply(rows, 2);
    s.post("added");
    s.note("an older version is ignored");
    s.apply(example_table(), 1);
    s.post("added");
    s.note("a version with findings is not adopted");
    rows["targets"][0]["zone"] = "nowhere";
    s.apply(rows, 3);
    s.post("added");
    check_golden("edit_in_force", s.text());
}

TEST_CASE("golden: a graceful stop", "[golden]")
{
    std::function<void()> while_running = [] {};
    golden_session s(
        [&while_running](const sub_request& r)
        {
            std::exchange(while_running, [] {})();
            return whole_reply(r);
        });
    s.note("readiness fails, requests are still served");
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
    s.note("the drain begins during this request");
    s.post("read");
    s.note("drained during the request: " + std::to_string(drained));
    s.note("refused meanwhile: " + std::to_string(refused.status) + " " +
           refused.body);
    s.note("drained after the request: " +
           std::to_string(s.server.drain(monotonic_clock::now())));
    s.post("read");
    check_golden("graceful_stop", s.text());
}

TEST_CASE("golden: a good move", "[golden]")
{
    check_golden("good_move", move_text({}));
}

TEST_CASE("golden: a bad move", "[golden]")
{
    move_model::scenario s;
    s.behave = [](const move_model::model_request& r)
    {
        return r.is_new ? move_model::behaviour{1.0, 1.0}
                        : move_model::behaviour{};
    };
    check_golden("bad_move", move_text(s));
}
