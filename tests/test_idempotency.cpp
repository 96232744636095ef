#include "config.hpp"
#include "idempotency.hpp"

#include <catch2/catch.hpp>

#include "fake_platform.hpp"

using namespace bramleymux;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

struct fixture
{
    claim_result
    claim_as(idempotency& vm, const std::string& attempt,
        const std::string& body = "enter:1")
    {
        return vm.claim_key({"exam-desk", "k", attempt, body}, time);
    }

    void
    wait()
    {
        time.now += config::platform_outage_backoff_cap;
        time.unix_ms += 10'000;
    }

    fake_platform platform;
    idempotency one{platform, 1};
    idempotency two{platform, 2};
    call_time time{monotonic_time(1h), 1'000'000};
    std::string key = record_key("exam-desk", "k");
};

} // namespace

TEST_CASE_METHOD(fixture, "a key runs once", "[idempotency]")
{
    // Guards against a second run of the same request, and against the answer
    // of one request given to another with the same key.
    const claim_result first = claim_as(one, "a");
    REQUIRE(first.outcome == claim_outcome::proceed);
    CHECK(claim_as(two, "b").outcome == claim_outcome::duplicate_running);
    CHECK(claim_as(two, "c", "enter:2").outcome == claim_outcome::mismatch);
    one.complete(first.claimed, run_state::run, {{"rows", 3}}, time);
    const claim_result again = claim_as(two, "d");
    CHECK(again.outcome == claim_outcome::duplicate_done);
    CHECK(again.stored["rows"] == 3);
    CHECK(claim_as(two, "e", "enter:2").outcome == claim_outcome::mismatch);
}

TEST_CASE_METHOD(
    fixture, "a request that did not run may be repeated", "[idempotency]")
{
    // Guards against a key that stays used although no target executed it.
    const claim_result first = claim_as(one, "a");
    one.complete(first.claimed, run_state::not_run, nullptr, time);
    const claim_result second = claim_as(two, "b");
    CHECK(second.outcome == claim_outcome::proceed);
    two.complete(second.claimed, run_state::unknown, nullptr, time);
    CHECK(claim_as(one, "c").outcome == claim_outcome::duplicate_running);
}

TEST_CASE_METHOD(fixture, "the reply to a claim is lost", "[idempotency]")
{
    // Guards against a claim that is refused although it took effect, and
    // against two attempts that both proceed.
    SECTION("the claim took effect")
    {
        platform.lose_replies = 1;
    }
    SECTION("the request was lost")
    {
        platform.lose_requests = 1;
    }
    SECTION("the claim arrives late")
    {
        platform.delay_writes = 1;
    }
    CHECK(claim_as(one, "a").outcome == claim_outcome::proceed);
    platform.deliver();
    CHECK(platform.objects[key].value["attempt"] == "a");
    CHECK(claim_as(two, "b").outcome == claim_outcome::duplicate_running);
    CHECK(one.pending() == 0);
}

TEST_CASE_METHOD(
    fixture, "a claim that cannot be confirmed is voided", "[idempotency]")
{
    // Guards against a refusal as not_run whose record blocks the key for a
    // day, and against a late claim that brings the record back.
    SECTION("the claim took effect")
    {
        platform.lose_replies = 1;
    }
    SECTION("the claim arrives after the void")
    {
        platform.delay_writes = 1;
    }
    platform.down_after_loss = true;
    CHECK(claim_as(one, "a").outcome == claim_outcome::refused_not_run);
    REQUIRE(one.open_voids().size() == 1);
    wait();
    CHECK(one.retry_pending(time) == 0);
    platform.down = platform.down_after_loss = false;
    wait();
    CHECK(one.retry_pending(time) == 1);
    platform.deliver();
    CHECK(platform.objects[key].value["state"] == "void");
    CHECK(claim_as(two, "b").outcome == claim_outcome::proceed);
}

TEST_CASE_METHOD(
    fixture, "a repeat before the void is written", "[idempotency]")
{
    // Guards against a false answer in the time before the void: the VM that
    // refused and those that it told run the repeat, others say unknown.
    platform.lose_replies = 1;
    platform.down_after_loss = true;
    CHECK(claim_as(one, "a").outcome == claim_outcome::refused_not_run);
    platform.down = platform.down_after_loss = false;
    CHECK(claim_as(two, "b").outcome == claim_outcome::duplicate_running);
    two.add_void(one.open_voids()[0], time);
    CHECK(claim_as(two, "c").outcome == claim_outcome::proceed);
    CHECK(claim_as(one, "d").outcome == claim_outcome::duplicate_running);
    wait();
    CHECK(one.retry_pending(time) == 1);
    CHECK(platform.objects[key].value["attempt"] == "c");
}

TEST_CASE_METHOD(fixture, "the platform is down for a claim", "[idempotency]")
{
    // Guards against a request that is sent without a record, and against
    // not_run for a key whose record is known to exist.
    REQUIRE(claim_as(one, "a").outcome == claim_outcome::proceed);
    platform.down_after_loss = true;
    CHECK(claim_as(two, "c").outcome == claim_outcome::duplicate_running);
    REQUIRE(platform.down);
    CHECK(claim_as(two, "b").outcome == claim_outcome::refused_not_run);
    CHECK(two.pending() == 0);
}

TEST_CASE_METHOD(
    fixture, "an outcome is stored after an outage", "[idempotency]")
{
    // Guards against an outcome that is lost, so that repeats are told unknown
    // although the request ran.
    const claim_result first = claim_as(one, "a");
    platform.down = true;
    one.complete(first.claimed, run_state::run, {{"rows", 1}}, time);
    platform.down = false;
    wait();
    CHECK(one.retry_pending(time) == 1);
    CHECK(claim_as(two, "b").outcome == claim_outcome::duplicate_done);
}

TEST_CASE_METHOD(fixture, "the queue of voids is bounded", "[idempotency]")
{
    // Guards against memory that grows during a long outage.
    for (std::size_t i = 0; i < config::max_pending_records + 5; ++i)
    {
        one.add_void(
            {"idem/s/" + std::to_string(i), std::to_string(i), "f", 0}, time);
    }
    CHECK(one.pending() == config::max_pending_records);
}

TEST_CASE_METHOD(fixture, "old records are deleted in batches", "[idempotency]")
{
    // Guards against records that are kept for ever or deleted too early, and
    // against one expiry that uses up the platform's rate.
    const std::string prefix = "idem/exam-desk/00";
    const std::int64_t day = 24 * 3600 * 1000;
    for (std::size_t i = 0; i < config::expiry_batch_size + 10; ++i)
    {
        REQUIRE(platform.put(prefix + std::to_string(i), {{"at_ms", 0}}, 0));
    }
    REQUIRE(platform.put(prefix + "new", {{"at_ms", 1000}}, 0));
    expiry_cursor cursor;
    CHECK(expire_records(platform, {"exam-desk"}, cursor, day) ==
          config::expiry_batch_size);
    CHECK(expire_records(platform, {"exam-desk"}, cursor, day) == 10);
    CHECK(platform.objects.size() == 1);
    CHECK(cursor.group == 1);
}
