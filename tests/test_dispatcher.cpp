#include "query_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::test;
using nlohmann::json;

namespace
{

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
