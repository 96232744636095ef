#include "config/duties.hpp"
#include "duty_holder.hpp"
#include "raw_server.hpp"
#include "soak/store.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <fcntl.h>
#include <mutex>

using namespace bramleymux;
using namespace bramleymux::platform;
using namespace std::chrono_literals;

namespace
{

/// The platform's API. Answers with the given statuses in turn, then with 200;
/// does not answer for status 0.
struct fake_api
{
    std::mutex mutex;
    std::vector<std::string> requests;
    std::deque<int> statuses;
    test::raw_server server{[this](int socket) { serve(socket); }};

    void
    serve(int socket)
    {
        for (std::string request = test::read_request(socket); !request.empty();
             request = test::read_request(socket))
        {
            int status = 200;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                requests.push_back(request);
                if (!statuses.empty())
                {
                    status = statuses.front();
                    statuses.pop_front();
                }
            }
            if (status != 0)
            {
                test::write_text(socket, test::reply_text(status, ""));
            }
        }
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(server.address().port);
    }
};

/// An owner of a duty that records what it is told and returns steps in turn.
struct fake_owner
{
    std::vector<duty_grant> grants;
    std::vector<duty_result> results;
    std::deque<duty_step> steps;

    duty_work
    work()
    {
        return {[this](const duty_grant& grant) { grants.push_back(grant); },
            [this](duration)
            {
                duty_step out;
                if (!steps.empty())
                {
                    out = steps.front();
                    steps.pop_front();
                }
                return out;
            },
            [this](const duty_result& result) { results.push_back(result); }};
    }
};

duty_step
call_step(const std::string& id)
{
    duty_step out;
    out.kind = duty_step_kind::send_call;
    out.call.id = id;
    out.call.path = "/usage";
    out.call.body = "{}";
    return out;
}

/// VMs that share a duty, a store and an API, on one event loop.
struct duty_site
{
    explicit duty_site(std::size_t count)
    {
        settings.api_address = api.address();
        settings.calls_per_second = 50;
        settings.lease = 3s;
        for (std::size_t i = 0; i < count; ++i)
        {
            vms.push_back({"vm-" + std::to_string(i), "north", "127.0.0.1:1"});
        }
        owners.resize(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            holders.push_back(std::make_unique<duty_holder>(loop,
                store.address(0), settings, "usage_report", vms[i].id,
                owners[i].work(), counters, log));
            holders.back()->set_vms(vms);
        }
    }

    template <class Predicate>
    bool
    run_until(Predicate done)
    {
        const auto limit = monotonic_clock::now() + 60s;
        while (!done() && monotonic_clock::now() < limit)
        {
            for (const auto& holder : holders)
            {
                holder->tick();
            }
            loop.run_for(5ms);
        }
        return done();
    }

    boost::asio::io_context loop;
    metrics counters;
    decision_log log{"test", ::open("/dev/null", O_WRONLY)};
    soak::stand_in_store store{loop, 1};
    fake_api api;
    duty_settings settings;
    std::vector<registered_vm> vms;
    std::deque<fake_owner> owners;
    std::vector<std::unique_ptr<duty_holder>> holders;
};

} // namespace

// Guards against calls without holder and token, a refusal or a missing reply
// that is taken for another outcome, and a call that is sent twice.
TEST_CASE("a duty's calls carry holder and token", "[duty]")
{
    duty_site site(1);
    fake_owner& owner = site.owners[0];
    site.api.statuses = {429, 0, 500, 200};
    for (const char* id : {"a", "b", "c", "d"})
    {
        owner.steps.push_back(call_step(id));
    }
    REQUIRE(site.run_until([&] { return owner.results.size() == 4; }));
    const std::vector<duty_result_kind> expected = {
        duty_result_kind::call_refused, duty_result_kind::outcome_unknown,
        duty_result_kind::outcome_unknown, duty_result_kind::call_accepted};
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        CHECK(owner.results[i].kind == expected[i]);
        CHECK(owner.results[i].id == std::string(1, char('a' + i)));
    }
    const std::lock_guard<std::mutex> lock(site.api.mutex);
    REQUIRE(site.api.requests.size() == 4);
    CHECK(site.api.requests[0].find("POST /usage HTTP/1.1\r\n") == 0);
    CHECK(site.api.requests[0].find("X-Duty-Holder: vm-0\r\n") !=
          std::string::npos);
    CHECK(site.api.requests[0].find("X-Fencing-Token: 1\r\n") !=
          std::string::npos);
    const stats counted = site.counters.read();
    CHECK(counted[counter::duty_calls] == 4);
    CHECK(counted[counter::duty_calls_failed] == 3);
}

// Guards against a hand-over on a planned stop that loses a pending message,
// keeps the token, or takes place while a call is in progress.
TEST_CASE("a stopped VM hands its duty and messages over", "[duty]")
{
    duty_site site(2);
    const auto holder = [&](std::size_t i) -> fake_owner&
    { return site.owners[i]; };
    REQUIRE(site.run_until([&]
        { return !holder(0).grants.empty() || !holder(1).grants.empty(); }));
    const std::size_t first = holder(0).grants.empty() ? 1 : 0;
    const std::size_t second = 1 - first;
    duty_step pending;
    pending.kind = duty_step_kind::write_pending;
    pending.pending = {{"353445120", "{\"a\": \"\xc3\xa9\"}"}};
    holder(first).steps = {pending, call_step("a")};
    site.api.statuses = {0};
    REQUIRE(site.run_until(
        [&]
        {
            const std::lock_guard<std::mutex> lock(site.api.mutex);
            return site.api.requests.size() == 1;
        }));
    REQUIRE(holder(first).results.size() == 1);
    CHECK(holder(first).results[0].kind == duty_result_kind::pending_written);
    site.holders[first]->stop();
    REQUIRE(site.run_until([&] { return !holder(second).grants.empty(); }));
    REQUIRE(holder(first).results.size() == 3);
    CHECK(holder(first).results[1].kind == duty_result_kind::outcome_unknown);
    CHECK(holder(first).results[2].kind == duty_result_kind::lease_lost);
    CHECK(holder(second).grants[0].token == 2);
    REQUIRE(holder(second).grants[0].pending.size() == 1);
    CHECK(holder(second).grants[0].pending[0] == pending.pending[0]);
}

// Guards against a lease object that grows without bound.
TEST_CASE("too many pending messages are refused", "[duty]")
{
    duty_site site(1);
    duty_step step;
    step.kind = duty_step_kind::write_pending;
    step.pending.resize(config::max_duty_messages + 1);
    site.owners[0].steps = {step};
    REQUIRE(site.run_until([&] { return !site.owners[0].results.empty(); }));
    CHECK(site.owners[0].results[0].kind == duty_result_kind::pending_refused);
}

// Guards against calls above the API's rate, and against repeats without a wait
// while the API refuses.
TEST_CASE("a duty's calls are spaced, and repeats wait longer", "[duty]")
{
    duty_pacing pacing = make_duty_pacing(50);
    record_call_sent(pacing, 1h);
    record_call_end(pacing, 1h, true);
    CHECK_FALSE(may_call(pacing, 1h + 39ms));
    CHECK(may_call(pacing, 1h + 40ms));
    duration at = 1h;
    for (const auto wait : {200ms, 400ms, 800ms, 1600ms, 2000ms, 2000ms})
    {
        record_call_sent(pacing, at);
        record_call_end(pacing, at, false);
        CHECK_FALSE(may_call(pacing, at + wait - 1ms));
        CHECK(may_call(pacing, at + wait));
        at += wait;
    }
}

// Guards against a call that was decided before a freeze and is sent after it.
TEST_CASE("a call is not sent if its condition no longer holds", "[duty]")
{
    boost::asio::io_context loop;
    fake_api api;
    call_channel channel(loop, api.address());
    call_request request{"POST", "/usage", "{}"};
    request.may_send = [] { return false; };
    std::optional<call_reply> reply;
    channel.call(request, 30s, [&](call_reply&& r) { reply = std::move(r); });
    while (!reply)
    {
        loop.run_one();
    }
    CHECK(reply->unsent);
    CHECK(decode_duty_result("a", *reply).kind ==
          duty_result_kind::call_not_sent);
    const std::lock_guard<std::mutex> lock(api.mutex);
    CHECK(api.requests.empty());
}

// Guards against bytes of a call that timed out which the kernel goes on
// sending until the API is reached again, after the next holder's calls.
TEST_CASE("the connection of a call that timed out is reset", "[duty]")
{
    std::atomic<int> end{-1};
    test::raw_server server(
        [&](int socket)
        {
            test::read_request(socket);
            char c = 0;
            end = recv(socket, &c, 1, 0) < 0 ? errno : 0;
        });
    boost::asio::io_context loop;
    metrics counters;
    decision_log log{"test", ::open("/dev/null", O_WRONLY)};
    duty_api api(loop, "127.0.0.1:" + std::to_string(server.address().port), 50,
        counters, log, "vm-0");
    std::optional<duty_result> result;
    api.send(
        call_step("a").call, 1, [] { return true; },
        [&](const duty_result& r) { result = r; });
    CHECK(api.is_busy());
    while (!result)
    {
        loop.run_one();
    }
    CHECK(result->kind == duty_result_kind::outcome_unknown);
    while (end < 0)
    {
        std::this_thread::yield();
    }
    CHECK(end == ECONNRESET);
}

// Guards against a write that may have been executed being taken for one that
// was not, which would leave a lease that nobody knows of.
TEST_CASE("replies of the store are told apart", "[duty]")
{
    const duty_record record{7, "a", 1, 2, 3, {"b"}, true, {{"w", "x"}}};
    const std::string body = encode_duty_record("usage_report", record);
    const auto kind_of = [](int status, const std::string& text) {
        return decode_duty_reply(duty_action_kind::write, {status, text}).kind;
    };
    CHECK(kind_of(200, body) == duty_reply_kind::success);
    CHECK(kind_of(200, "{}") == duty_reply_kind::unknown);
    CHECK(kind_of(409, body) == duty_reply_kind::conflict);
    CHECK(kind_of(404, "") == duty_reply_kind::missing);
    CHECK(kind_of(429, "") == duty_reply_kind::refused);
    CHECK(kind_of(503, "") == duty_reply_kind::unknown);
    CHECK(kind_of(0, "") == duty_reply_kind::unknown);
    const auto decoded = decode_duty_record(body);
    REQUIRE(decoded);
    CHECK(encode_duty_record("usage_report", *decoded) == body);
    CHECK(duty_object_name("usage_report", 2) == "usage_report.2");
}
