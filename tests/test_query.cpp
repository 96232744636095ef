#include "fake_platform.hpp"
#include "query.hpp"
#include "query_write.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace bramleymux;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/// Answers each sub-request on the submitting thread by a function.
class fake_sink : public sub_request_sink
{
public:
    using responder = std::function<sub_reply(const sub_request&)>;

    explicit fake_sink(responder respond) : respond_(std::move(respond)) {}

    void
    submit(std::vector<sub_request> batch,
        const sub_reply_handler& handler) override
    {
        for (const sub_request& request : batch)
        {
            seen.push_back(request);
            sub_reply reply = respond_(request);
            reply.id = request.id;
            handler(std::move(reply));
        }
    }

    void
    cancel(std::uint64_t) override
    {
    }

    std::deque<sub_request> seen;

private:
    responder respond_;
};

class no_peers : public peer_transport
{
public:
    bool
    send(const vm_identity&, const peer_message&) override
    {
        return false;
    }
};

sub_reply
whole_reply(const sub_request& request)
{
    sub_reply reply;
    reply.run = run_state::run;
    reply.version = request.version;
    reply.snapshot = request.snapshot;
    reply.target_time = 1ms;
    for (const shard_id shard : request.shards)
    {
        reply.shards.push_back({shard,
            json::array({request.target_name + "/" + std::to_string(shard)})});
    }
    return reply;
}

sub_reply
failed_reply(miss_reason error, run_state run)
{
    sub_reply reply;
    reply.error = error;
    reply.run = run;
    return reply;
}

/// One service with two versions; every target holds both shards.
json
example_table()
{
    json targets = json::array();
    for (const char* name : {"a-v1", "b-v1", "a-v2", "b-v2"})
    {
        const std::string text(name);
        targets.push_back({{"name", text}, {"service", "s"},
            {"searcher", text.substr(0, 1)}, {"zone", "z"},
            {"version", text.substr(2)},
            {"address", "127.0.0.1:" + std::to_string(7000 + targets.size())}});
    }
    return {{"zones", {{{"name", "z"}, {"region", "r"}}}},
        {"services", {{{"name", "s"}}}},
        {"routes",
            {{{"service", "s"}, {"name", "read"}},
                {{"service", "s"}, {"name", "write"}, {"idempotent", false}}}},
        {"searchers", {{{"service", "s"}, {"name", "a"}},
                          {{"service", "s"}, {"name", "b"}}}},
        {"versions", {{{"service", "s"}, {"name", "v1"}},
                         {{"service", "s"}, {"name", "v2"}}}},
        {"targets", targets}, {"moves", json::array()},
        {"edits", json::array()}};
}

struct fixture
{
    explicit fixture(fake_sink::responder respond)
        : sink(std::move(respond)),
          dispatch(
              board.owners, sink, peers, counters, {"vm", "z", "", 1},
              [](const std::string&) { return target_handle{}; }, true),
          spans("vm", "z", 0.0, {}),
          records(platform, 1), context{board, dispatch, counters, spans,
                                    policy_kind::adaptive, nullptr, {}}
    {
        findings found;
        auto rows =
            std::make_shared<table>(parse_table(example_table(), 1, found));
        REQUIRE(found.empty());
        topology = build_catalog(*rows, names);
        std::vector<target_report> reports(topology->targets.size());
        for (target_report& r : reports)
        {
            r.reachable = true;
            r.snapshots = {{5, 2, {{0, 1}}}};
        }
        board.rows.set(rows);
        board.topology.set(topology);
        board.routes.set(build_routing_index(*topology, reports));
        board.facts.set(std::make_shared<std::vector<target_facts>>(
            topology->targets.size(), target_facts{true, false, false, true}));
    }

    void
    use_versions(double share, bool proven)
    {
        const service_handle s = find_service(*topology, "s")->self;
        auto shares = std::make_shared<std::vector<version_share>>(
            topology->services.size());
        (*shares)[s.index] = {find_version(*topology, s, "v1")->self,
            find_version(*topology, s, "v2")->self, share, proven, 1};
        board.versions.set(shares);
    }

    caller_request
    request(const char* route)
    {
        caller_request r;
        r.id = "q" + std::to_string(++queries);
        r.service = "s";
        r.route = route;
        r.received = monotonic_clock::now();
        r.deadline = r.received + 5s;
        r.idempotency_key = "key-1";
        r.query = json::object();
        return r;
    }

    blackboard board{0.05};
    name_registries names;
    std::shared_ptr<const catalog> topology;
    fake_sink sink;
    no_peers peers;
    metrics counters;
    dispatcher dispatch;
    tracer spans;
    fake_platform platform;
    idempotency records;
    query_context context;
    int queries = 0;
};

bool
uses_version(const fake_sink& sink, const std::string& version)
{
    return std::any_of(sink.seen.begin(), sink.seen.end(),
        [&](const sub_request& r) { return r.version == version; });
}

} // namespace

// Guards against queries that ignore the shares of a version move: an unproven
// version would get traffic from the first query on.
TEST_CASE("a query keeps to the versions that its move allows", "[query]")
{
    fixture f(whole_reply);
    f.use_versions(0.0, false);
    for (int i = 0; i < 50; ++i)
    {
        const query_result result = run_read(f.context, f.request("read"));
        REQUIRE(result.covered.missing.empty());
        CHECK(result.version == "v1");
    }
    CHECK_FALSE(uses_version(f.sink, "v2"));
    f.use_versions(1.0, true);
    run_read(f.context, f.request("read"));
    CHECK(uses_version(f.sink, "v2"));
}

// Guards against a lost shard when one replica fails and another holds it.
TEST_CASE("a failed sub-request is sent to another replica", "[query]")
{
    fixture f(
        [](const sub_request& r)
        {
            return r.target_name == "a-v1"
                       ? failed_reply(
                             miss_reason::unreachable, run_state::unknown)
                       : whole_reply(r);
        });
    f.use_versions(0.0, false);
    for (int i = 0; i < 20; ++i)
    {
        const query_result result = run_read(f.context, f.request("read"));
        CHECK(result.covered.answered == 2);
        CHECK(result.rows.size() == 2);
    }
}

// Guards against rows of another snapshot in an answer.
TEST_CASE("a reply of another snapshot is not merged", "[query]")
{
    fixture f(
        [](const sub_request& r)
        {
            sub_reply reply = whole_reply(r);
            reply.snapshot = 4;
            return reply;
        });
    f.use_versions(0.0, false);
    const query_result result = run_read(f.context, f.request("read"));
    CHECK(result.covered.answered == 0);
    CHECK(result.rows.empty());
    CHECK(result.run != run_state::not_run);
}

// Guards against a second execution: an outcome that is not known must end the
// request, and a repeat of its key must not be sent again.
TEST_CASE("a write of unknown outcome is never sent again", "[query]")
{
    fixture f([](const sub_request&)
        { return failed_reply(miss_reason::unreachable, run_state::unknown); });
    const query_result first =
        run_write(f.context, f.records, f.request("write"));
    CHECK(first.run == run_state::unknown);
    CHECK(f.sink.seen.size() == 1);
    const query_result repeat =
        run_write(f.context, f.records, f.request("write"));
    CHECK(repeat.problem == problem_code::duplicate_request);
    CHECK(repeat.run == run_state::unknown);
    CHECK(f.sink.seen.size() == 1);
}

// Guards against a refusal by a target being retried, since bytes had reached
// it, and against a refused key that can never be used.
TEST_CASE(
    "a write that a target refused is not_run and may be repeated", "[query]")
{
    int calls = 0;
    fixture f(
        [&calls](const sub_request& r)
        {
            return ++calls == 1
                       ? failed_reply(miss_reason::shed, run_state::not_run)
                       : whole_reply(r);
        });
    const query_result first =
        run_write(f.context, f.records, f.request("write"));
    CHECK(first.run == run_state::not_run);
    CHECK(f.sink.seen.size() == 1);
    const query_result repeat =
        run_write(f.context, f.records, f.request("write"));
    CHECK(repeat.run == run_state::run);
    CHECK(f.sink.seen.size() == 2);
}

// Guards against an owner's refusal, before any byte was sent, ending a write
// that another target could run.
TEST_CASE("a write refused before its send goes to another target", "[query]")
{
    int calls = 0;
    fixture f(
        [&calls](const sub_request& r)
        {
            return ++calls == 1 ? failed_reply(miss_reason::lease_lapsed,
                                      run_state::not_run)
                                : whole_reply(r);
        });
    const query_result result =
        run_write(f.context, f.records, f.request("write"));
    CHECK(result.run == run_state::run);
    CHECK(f.sink.seen.size() == 2);
}

// Guards against a send without a claim while the platform is down.
TEST_CASE("a write during a platform outage is refused as not_run", "[query]")
{
    fixture f(whole_reply);
    f.platform.down = true;
    const query_result result =
        run_write(f.context, f.records, f.request("write"));
    CHECK(result.problem == problem_code::platform_unavailable);
    CHECK(result.run == run_state::not_run);
    CHECK(f.sink.seen.empty());
}
