#include "query_fixture.hpp"

using namespace bramleymux;
using namespace bramleymux::test;

namespace
{

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
