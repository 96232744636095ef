#include "answers.hpp"
#include "caller.hpp"
#include "conduct.hpp"
#include "oracle.hpp"
#include "raw_server.hpp"
#include "stand_in_target.hpp"

#include <catch2/catch.hpp>

#include <poll.h>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

/// Waits until bytes of a request can be read.
void
await_request(int connection)
{
    pollfd wanted{connection, POLLIN, 0};
    ::poll(&wanted, 1, -1);
}

void
read_request(int connection)
{
    std::array<char, 4096> buffer{};
    std::string input;
    request_reader reader;
    ssize_t n = 0;
    do
    {
        n = ::recv(connection, buffer.data(), buffer.size(), 0);
        input.append(buffer.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
    } while (
        n > 0 && reader.read(input, {65536, 65536}) != read_result::complete);
}

/// Runs a caller against a fake VM and returns its first request, with id 1.
soak::attempt
first_attempt(const std::function<void(int)>& fake_vm)
{
    test::raw_server server(fake_vm);
    boost::asio::io_context loop;
    std::vector<soak::attempt> ended;
    soak::caller_world world;
    world.vms = {{boost::asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(server.address().port)}};
    world.choose_vm = [](std::mt19937_64&) { return std::size_t{0}; };
    world.idle_timeout = [] { return duration(10ms); };
    world.next_id = [] { return std::uint64_t{1}; };
    world.on_end = [&](const soak::attempt& a) { ended.push_back(a); };
    soak::caller runner(loop, 0, 1, world);
    runner.start();
    while (ended.empty())
    {
        loop.run_one();
    }
    return ended.front();
}

constexpr soak::evidence no_run{};

soak::evidence
after_runs(std::uint32_t runs)
{
    soak::evidence out;
    out.runs = runs;
    return out;
}

} // namespace

// Guards against an oracle that takes a request which the VM read and dropped
// for one that crossed the close (docs/incidents/lost-request.md).
TEST_CASE("the soak reports a VM that reads and drops a request", "[soak]")
{
    const auto dropped = first_attempt(read_request);
    CHECK(dropped.end == soak::attempt_end::closed);
    CHECK(!soak::judge(dropped, no_run).fault.empty());
    const auto drained = first_attempt(
        [](int connection)
        {
            await_request(connection);
            ::shutdown(connection, SHUT_WR);
            std::this_thread::sleep_for(20ms);
            read_request(connection);
        });
    CHECK(drained.end == soak::attempt_end::closed);
    CHECK(!soak::judge(drained, no_run).fault.empty());
}

// Guards against an oracle that reports a close which no VM can avoid, and
// against one that accepts any reset.
TEST_CASE("the soak allows only a reset that crossed the request", "[soak]")
{
    const auto crossed = first_attempt(await_request);
    CHECK(crossed.end == soak::attempt_end::closed);
    CHECK(crossed.reset);
    CHECK(soak::judge(crossed, no_run).crossed_close);
    CHECK(soak::judge(crossed, no_run).fault.empty());
    CHECK(!soak::judge(crossed, after_runs(1)).fault.empty());
    auto late = crossed;
    late.ended_at += 200ms;
    CHECK(!soak::judge(late, no_run).fault.empty());
    soak::evidence stopped;
    stopped.stalled = 200ms;
    CHECK(soak::judge(late, stopped).fault.empty());
}

// Guards against an oracle that accepts another request's answer, a refusal of
// a request that ran, or a second run of a non-idempotent request.
TEST_CASE("the soak checks answers against the targets", "[soak]")
{
    const auto answer_with = [](int status, const std::string& body)
    {
        return first_attempt(
            [=](int connection)
            {
                read_request(connection);
                const auto bytes = fixture::http_text(status, "", body);
                ::send(connection, bytes.data(), bytes.size(), 0);
                read_request(connection);
            });
    };
    auto answered = answer_with(200, soak::body_of(1));
    CHECK(soak::judge(answered, after_runs(1)).fault.empty());
    CHECK(!soak::judge(answered, no_run).fault.empty());
    answered.idempotent = false;
    CHECK(!soak::judge(answered, after_runs(2)).fault.empty());
    const auto foreign = answer_with(200, soak::body_of(2));
    CHECK(!soak::judge(foreign, after_runs(1)).fault.empty());
    const auto refused = answer_with(503, "");
    CHECK(soak::judge(refused, no_run).fault.empty());
    CHECK(!soak::judge(refused, after_runs(1)).fault.empty());
}

// Guards against an oracle that accepts a promise of "not run" for a request
// that a target ran (docs/incidents/denied-run.md).
TEST_CASE("the soak reports each status that denies a run", "[soak]")
{
    soak::attempt a;
    a.end = soak::attempt_end::answered;
    for (const int status : {408, 421, 429, 503})
    {
        CAPTURE(status);
        a.status = status;
        CHECK(soak::judge(a, no_run).fault.empty());
        CHECK(!soak::judge(a, after_runs(1)).fault.empty());
    }
    for (const int status : {500, 502, 504})
    {
        CAPTURE(status);
        a.status = status;
        CHECK(soak::judge(a, after_runs(1)).fault.empty());
    }
}

// Guards against an oracle that accepts a gathered answer with half a part
// (docs/incidents/reset-answer.md).
TEST_CASE(
    "the soak compares gathered answers with the parts they name", "[soak]")
{
    using soak::is_merged_answer;
    const auto merged = [](const std::string& parts)
    {
        std::vector<std::string> records;
        for (std::size_t at = 0; at < parts.size(); at += soak::record_bytes)
        {
            records.push_back(parts.substr(at, soak::record_bytes));
        }
        std::sort(records.begin(), records.end(), std::greater<>());
        std::string out;
        for (const std::string& r : records)
        {
            out += r;
        }
        return out;
    };
    const std::string both =
        soak::stamp_of_part(0, 7) + ", " + soak::stamp_of_part(1, 7);
    const std::string zero = soak::part_of(0, 7);
    const std::string one = soak::part_of(1, 7);
    CHECK(is_merged_answer(7, both, merged(zero + one)));
    CHECK(is_merged_answer(7, soak::stamp_of_part(1, 7), merged(one)));
    CHECK(!is_merged_answer(7, both, merged(one)));
    CHECK(!is_merged_answer(7, both, zero + one));
    CHECK(!is_merged_answer(7, both, merged(zero + one.substr(16))));
    CHECK(!is_merged_answer(7, soak::stamp_of_part(1, 7), merged(zero + one)));
    CHECK(!is_merged_answer(7, both + ", p2.7", merged(zero + one)));
    CHECK(!is_merged_answer(7, both + ", p1.7", merged(zero + one)));
    CHECK(!is_merged_answer(8, both, merged(zero + one)));
    CHECK(!is_merged_answer(7, "", ""));
}

// Guards against soak targets that cut an answer where no caller can notice it,
// or that never cut, deny or reject.
TEST_CASE("the soak's targets cut answers so that it shows", "[soak]")
{
    soak::conduct_source source(1);
    std::size_t cuts = 0;
    std::size_t denied = 0;
    std::size_t rejected = 0;
    const auto check = [&](const soak::conduct& c)
    {
        const auto reply = soak::reply_of(c, "", soak::part_of(0, 7));
        cuts += c.cut ? 1 : 0;
        denied += c.runs && c.status != 200 ? 1 : 0;
        rejected += c.runs ? 0 : 1;
        CHECK(reply.reset_after == (c.cut || c.resets));
        CHECK(!(reply.reset_after && reply.close_after));
        reply_reader reader;
        std::string bytes = reply.bytes;
        const read_result read = reader.read(bytes, {65536, 65536}, false);
        const bool framed = c.body_framing != soak::framing::none;
        CHECK(
            (read == read_result::complete) == (!c.cut && !c.resets && framed));
    };
    for (int i = 0; i < 10000; ++i)
    {
        check(source.next());
        const auto early = source.next_early();
        if (early)
        {
            check(*early);
        }
    }
    CHECK(cuts > 1000);
    CHECK(denied > 100);
    CHECK(rejected > 100);
}

// Guards against an oracle that accepts requests to a target that has left.
TEST_CASE("the soak reports a request to a target that had left", "[soak]")
{
    soak::attempt a;
    a.end = soak::attempt_end::answered;
    a.status = 200;
    a.own_body = true;
    soak::evidence known = after_runs(1);
    CHECK(soak::judge(a, known).fault.empty());
    known.reached_left_target = true;
    CHECK(!soak::judge(a, known).fault.empty());
}

// Guards against an oracle that accepts a key long after its revocation, or a
// refusal of one that is never revoked.
TEST_CASE("the soak reports a request that ran with a revoked key", "[soak]")
{
    soak::attempt a;
    a.end = soak::attempt_end::answered;
    a.status = 200;
    a.own_body = true;
    a.key = 3;
    a.sent_at = monotonic_time{1h};
    soak::evidence known = after_runs(1);
    CHECK(soak::judge(a, known).fault.empty());
    known.key_revoked_at = a.sent_at - soak::revocation_bound;
    CHECK(soak::judge(a, known).fault.empty());
    known.key_revoked_at -= 1ms;
    CHECK(!soak::judge(a, known).fault.empty());
    a.status = 401;
    CHECK(!soak::judge(a, known).fault.empty());
    known.runs = 0;
    CHECK(soak::judge(a, known).fault.empty());
    a.key = 0;
    CHECK(!soak::judge(a, known).fault.empty());
}

// Guards against stalls that are counted twice, which hides a late close.
TEST_CASE("overlapping stalls count once", "[soak]")
{
    const monotonic_time t{1h};
    CHECK(soak::covered_time(
              {{t + 5ms, t + 20ms}, {t, t + 10ms}, {t + 90ms, t + 200ms}},
              {t + 2ms, t + 100ms}) == 28ms);
}
