#include "query_fixture.hpp"

using namespace bramleymux;
using namespace bramleymux::test;

namespace
{

bool
uses_version(const fake_sink& sink, const std::string& version)
{
    return std::any_of(sink.submitted.begin(), sink.submitted.end(),
        [&](const sub_request& r) { return r.version == version; });
}

} // namespace

// Guards against queries that ignore the shares of a version move, which would
// send traffic to an unproven version from the first query on.
TEST_CASE("a query uses only the versions that its move allows", "[query]")
{
    query_fixture f(complete_reply);
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

// Guards against a missing shard in the answer when one replica fails while
// another one holds the shard.
TEST_CASE("a failed sub-request is sent to another replica", "[query]")
{
    query_fixture f(
        [](const sub_request& r)
        {
            return r.target_name == "a-v1"
                       ? failed_reply(
                             miss_reason::unreachable, run_state::unknown)
                       : complete_reply(r);
        });
    f.use_versions(0.0, false);
    for (int i = 0; i < 20; ++i)
    {
        const query_result result = run_read(f.context, f.request("read"));
        CHECK(result.covered.answered == 2);
        CHECK(result.rows.size() == 2);
    }
}

// Guards against a refusal that says "not run" after a restart on another
// snapshot, although a target runs the query on the abandoned one.
TEST_CASE(
    "a read that finds no other snapshot does not deny its run", "[query]")
{
    query_fixture* published = nullptr;
    query_fixture f(
        [&](const sub_request& r) -> std::optional<sub_reply>
        {
            if (r.target_name == "a-v1")
            {
                published->publish_reports(
                    [](const catalog_target&) {
                        return std::vector<shard_range>{{0, 1}};
                    },
                    2, 6);
                return failed_reply(miss_reason::snapshot, run_state::not_run);
            }
            return std::nullopt; // runs it
        });
    published = &f;
    f.use_versions(0.0, false);
    f.publish_reports(
        [](const catalog_target& t)
        {
            const std::uint32_t shard = t.name.front() == 'a' ? 0 : 1;
            return std::vector<shard_range>{{shard, shard}};
        },
        2);
    f.sink.on_cancel = [&]
    { f.board.routes.set(build_routing_index(*f.topology, {})); };
    const query_result result = run_read(f.context, f.request("read"));
    CHECK(f.sink.submitted.size() == 2);
    CHECK(result.problem == problem_code::no_snapshot);
    CHECK(result.run == run_state::unknown);
}

// Guards against an answer that mixes rows of several snapshots.
TEST_CASE("a reply of another snapshot is not merged", "[query]")
{
    query_fixture f(
        [](const sub_request& r)
        {
            sub_reply reply = complete_reply(r);
            reply.snapshot = 4;
            return reply;
        });
    f.use_versions(0.0, false);
    const query_result result = run_read(f.context, f.request("read"));
    CHECK(result.covered.answered == 0);
    CHECK(result.rows.empty());
    CHECK(result.run != run_state::not_run);
}

// Guards against a second execution: an unknown outcome must end the request,
// and a repeat with the same key must not be sent.
TEST_CASE("a write with an unknown outcome is never sent again", "[query]")
{
    query_fixture f([](const sub_request&)
        { return failed_reply(miss_reason::unreachable, run_state::unknown); });
    const query_result first =
        run_write(f.context, f.records, f.request("write"));
    CHECK(first.run == run_state::unknown);
    CHECK(f.sink.submitted.size() == 1);
    const query_result repeat =
        run_write(f.context, f.records, f.request("write"));
    CHECK(repeat.problem == problem_code::duplicate_request);
    CHECK(repeat.run == run_state::unknown);
    CHECK(f.sink.submitted.size() == 1);
}

// Guards against a retry on another target although bytes of the request have
// reached the one that refused it, and against a key that stays claimed after
// the refusal.
TEST_CASE(
    "a write that a target refused is not_run and may be repeated", "[query]")
{
    int calls = 0;
    query_fixture f(
        [&calls](const sub_request& r)
        {
            return ++calls == 1
                       ? failed_reply(miss_reason::shed, run_state::not_run)
                       : complete_reply(r);
        });
    const query_result first =
        run_write(f.context, f.records, f.request("write"));
    CHECK(first.run == run_state::not_run);
    CHECK(f.sink.submitted.size() == 1);
    const query_result repeat =
        run_write(f.context, f.records, f.request("write"));
    CHECK(repeat.run == run_state::run);
    CHECK(f.sink.submitted.size() == 2);
}

// Guards against failing a write that another target could execute, when the
// owner refuses it before any byte was sent.
TEST_CASE(
    "a write refused before it was sent goes to another target", "[query]")
{
    int calls = 0;
    query_fixture f(
        [&calls](const sub_request& r)
        {
            return ++calls == 1 ? failed_reply(miss_reason::lease_lapsed,
                                      run_state::not_run)
                                : complete_reply(r);
        });
    const query_result result =
        run_write(f.context, f.records, f.request("write"));
    CHECK(result.run == run_state::run);
    CHECK(f.sink.submitted.size() == 2);
}

// Guards against sending a write whose key could not be claimed because the
// platform is down.
TEST_CASE("a write during a platform outage is refused as not_run", "[query]")
{
    query_fixture f(complete_reply);
    f.platform.down = true;
    const query_result result =
        run_write(f.context, f.records, f.request("write"));
    CHECK(result.problem == problem_code::platform_unavailable);
    CHECK(result.run == run_state::not_run);
    CHECK(f.sink.submitted.empty());
}
