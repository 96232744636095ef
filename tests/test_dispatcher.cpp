#include "query_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::test;
using nlohmann::json;

namespace
{

/// Transport that accepts each message and delivers none.
class silent_peers : public peer_transport
{
public:
    bool
    send(const vm_identity&, const peer_message&) override
    {
        return true;
    }
};

/// A sub_batch message of vm-2 with one non-idempotent sub-request.
peer_message
batch_message(std::uint64_t incarnation, std::uint64_t id)
{
    sub_request request;
    request.id = id;
    request.target_name = "a-v1";
    request.shards = {0};
    request.deadline = monotonic_clock::now() + 5s;
    request.idempotent = false;
    request.query = json::object();
    return {peer_message_type::sub_batch, "vm-2", incarnation,
        {{"items", json::array({to_json(request, monotonic_clock::now())})}}};
}

struct dispatcher_fixture
{
    published<owner_map> owners;
    fake_sink sink{complete_reply};
    disconnected_peers peers;
    metrics counters;
    dispatcher dispatch{owners, sink, peers, counters, {"vm-1", "z", "", 1},
        [](const std::string&) { return target_handle{0}; }, false};
};

} // namespace

// Guards against a second execution of a non-idempotent request when a peer
// message is delivered twice.
TEST_CASE("a repeated batch from a peer runs once", "[dispatcher]")
{
    dispatcher_fixture f;
    f.dispatch.on_message(batch_message(7, 41));
    f.dispatch.on_message(batch_message(7, 41));
    CHECK(f.sink.submitted.size() == 1);
    f.dispatch.on_message(batch_message(7, 42));
    CHECK(f.sink.submitted.size() == 2);
    // A restarted VM reuses ids, so its incarnation tells its requests apart.
    f.dispatch.on_message(batch_message(8, 41));
    CHECK(f.sink.submitted.size() == 3);
}

// Guards against a crash on, or an execution of, a message that cannot be
// decoded.
TEST_CASE("a malformed batch is ignored", "[dispatcher]")
{
    dispatcher_fixture f;
    peer_message message = batch_message(7, 41);
    message.body["items"][0].erase("shards");
    f.dispatch.on_message(message);
    message.body = {{"items", 3}};
    f.dispatch.on_message(message);
    CHECK(f.sink.submitted.empty());
}

// Guards against a query that never hears of a sub-request whose VM has
// stopped.
TEST_CASE(
    "a sub-request forwarded to a lost VM ends as unknown", "[dispatcher]")
{
    dispatcher_fixture f;
    silent_peers peers;
    dispatcher dispatch{f.owners, f.sink, peers, f.counters,
        {"vm-1", "z", "", 1},
        [](const std::string&) { return target_handle{0}; }, false};
    f.owners.set(std::make_shared<owner_map>(
        owner_map{{{"vm-1", "z", "", 1}, {"vm-2", "z", "", 1}}, {vm_handle{1}},
            vm_handle{0}}));
    sub_request request;
    request.id = dispatch.next_id();
    request.target = target_handle{0};
    request.deadline = monotonic_clock::now() + 5s;
    std::vector<sub_reply> replies;
    dispatch.submit({request},
        [&](sub_reply reply) { replies.push_back(std::move(reply)); });
    CHECK(replies.empty());
    dispatch.on_peer_lost("vm-2");
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].id == request.id);
    CHECK(replies[0].error == miss_reason::unreachable);
    CHECK(replies[0].run == run_state::unknown);
    dispatch.on_peer_lost("vm-2");
    CHECK(replies.size() == 1);
}
