#pragma once

#include "fake_platform.hpp"
#include "query.hpp"
#include "query_write.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>

/// Query path of one VM over fake targets and a fake platform, with a table of
/// one service.
namespace bramleymux::test
{

using namespace std::chrono_literals;

/// Answers each sub-request with the result of a function, on the submitting
/// thread. The handler is not called if the function returns nullopt.
class fake_sink : public sub_request_sink
{
public:
    using responder =
        std::function<std::optional<sub_reply>(const sub_request&)>;

    explicit fake_sink(responder respond) : respond_(std::move(respond)) {}

    void
    submit(std::vector<sub_request> batch,
        const sub_reply_handler& handler) override
    {
        for (const sub_request& request : batch)
        {
            submitted.push_back(request);
            std::optional<sub_reply> reply = respond_(request);
            if (reply)
            {
                reply->id = request.id;
                handler(std::move(*reply));
            }
        }
    }

    void
    cancel(std::uint64_t) override
    {
        if (on_cancel)
        {
            on_cancel();
        }
    }

    std::deque<sub_request> submitted;
    std::function<void()> on_cancel;

private:
    responder respond_;
};

/// Transport without an open link to any peer.
class disconnected_peers : public peer_transport
{
public:
    bool
    send(const vm_identity&, const peer_message&) override
    {
        return false;
    }
};

/// Successful reply with one row "TARGET/SHARD" for each shard asked.
inline sub_reply
complete_reply(const sub_request& request)
{
    sub_reply reply;
    reply.run = run_state::run;
    reply.version = request.version;
    reply.snapshot = request.snapshot;
    reply.target_time = 1ms;
    for (const shard_id shard : request.shards)
    {
        reply.shards.push_back(
            {shard, nlohmann::json::array(
                        {request.target_name + "/" + std::to_string(shard)})});
    }
    return reply;
}

inline sub_reply
failed_reply(miss_reason error, run_state run)
{
    sub_reply reply;
    reply.error = error;
    reply.run = run;
    return reply;
}

/// Table of service "s" with versions v1 and v2, each on one target of searcher
/// a and one of b, and with an idempotent and a non-idempotent route.
inline nlohmann::json
example_table()
{
    nlohmann::json targets = nlohmann::json::array();
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
        {"targets", targets}, {"moves", nlohmann::json::array()},
        {"edits", nlohmann::json::array()}};
}

/// Query context whose sub-requests all go to `sink`. At the start, every
/// target holds both shards of snapshot 5 and queries may use any version.
struct query_fixture
{
    explicit query_fixture(fake_sink::responder respond)
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
        board.rows.set(rows);
        board.topology.set(topology);
        publish_reports(
            [](const catalog_target&) {
                return std::vector<shard_range>{{0, 1}};
            },
            2);
    }

    /// Publishes a report of one snapshot for each target, with the shard
    /// ranges that `held` returns for it, and marks all targets as reachable
    /// and owned.
    template <class Held>
    void
    publish_reports(
        Held held, std::uint32_t shard_count, std::uint64_t snapshot = 5)
    {
        std::vector<target_report> reports;
        for (const catalog_target& row : topology->targets)
        {
            target_report r;
            r.reachable = true;
            r.snapshots = {{snapshot, shard_count, held(row)}};
            reports.push_back(r);
        }
        board.routes.set(build_routing_index(*topology, reports));
        board.facts.set(std::make_shared<std::vector<target_facts>>(
            topology->targets.size(), target_facts{true, false, false, true}));
    }

    /// Publishes a version move from v1 to v2: `share` of the queries use v2,
    /// and `proven` marks v2 as proven.
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
        r.query = nlohmann::json::object();
        return r;
    }

    blackboard board{0.05};
    name_registries names;
    std::shared_ptr<const catalog> topology;
    fake_sink sink;
    disconnected_peers peers;
    metrics counters;
    dispatcher dispatch;
    tracer spans;
    fake_platform platform;
    idempotency_store records;
    query_context context;
    int queries = 0;
};

} // namespace bramleymux::test
