#include "config.hpp"
#include "idempotency.hpp"

#include <catch2/catch.hpp>

#include "fake_platform.hpp"

using namespace bramleymux;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/// Two VMs that share one platform.
struct fixture
{
    claim_result
    claim_on(idempotency_store& vm, const std::string& attempt,
        const std::string& body = "enter:1")
    {
        return vm.claim_key({"exam-desk", "k", attempt, body}, time);
    }

    void
    advance_past_backoff()
    {
        time.now += config::platform_outage_backoff_cap;
        time.unix_ms += 10'000;
    }

    fake_platform platform;
    idempotency_store vm_1{platform, 1};
    idempotency_store vm_2{platform, 2};
    call_time time{monotonic_time(1h), 1'000'000};
    std::string key = idempotency_record_key("exam-desk", "k");
};

} // namespace

TEST_CASE_METHOD(fixture, "a key runs once", "[idempotency]")
{
    // Guards against a second run of the same request, and against returning
    // the outcome of one request to another that has the same key.
    const claim_result first = claim_on(vm_1, "a");
    REQUIRE(first.outcome == claim_outcome::proceed);
    CHECK(claim_on(vm_2, "b").outcome == claim_outcome::duplicate_running);
    CHECK(claim_on(vm_2, "c", "enter:2").outcome == claim_outcome::mismatch);
    vm_1.complete(first.claimed, run_state::run, {{"rows", 3}}, time);
    const claim_result repeat = claim_on(vm_2, "d");
    CHECK(repeat.outcome == claim_outcome::duplicate_done);
    CHECK(repeat.stored["rows"] == 3);
    CHECK(claim_on(vm_2, "e", "enter:2").outcome == claim_outcome::mismatch);
}

TEST_CASE_METHOD(
    fixture, "a request that did not run may be repeated", "[idempotency]")
{
    // Guards against a key that stays claimed although no target ran its
    // request.
    const claim_result first = claim_on(vm_1, "a");
    vm_1.complete(first.claimed, run_state::not_run, nullptr, time);
    const claim_result second = claim_on(vm_2, "b");
    CHECK(second.outcome == claim_outcome::proceed);
    vm_2.complete(second.claimed, run_state::unknown, nullptr, time);
    CHECK(claim_on(vm_1, "c").outcome == claim_outcome::duplicate_running);
}

TEST_CASE_METHOD(
    fixture, "a claim whose reply is lost is confirmed", "[idempotency]")
{
    // Guards against a claim that is refused although it took effect, and
    // against two attempts that both proceed, when no reply to the claim
    // arrives.
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
    CHECK(claim_on(vm_1, "a").outcome == claim_outcome::proceed);
    platform.deliver();
    CHECK(platform.objects[key].value["attempt"] == "a");
    CHECK(claim_on(vm_2, "b").outcome == claim_outcome::duplicate_running);
    CHECK(vm_1.pending() == 0);
}

TEST_CASE_METHOD(
    fixture, "a claim that cannot be confirmed is voided", "[idempotency]")
{
    // Guards against a request refused with not_run whose record blocks the key
    // until it expires after a day, and against a late claim that overwrites
    // the void.
    SECTION("the claim took effect")
    {
        platform.lose_replies = 1;
    }
    SECTION("the claim arrives after the void")
    {
        platform.delay_writes = 1;
    }
    platform.down_after_loss = true;
    CHECK(claim_on(vm_1, "a").outcome == claim_outcome::refused_not_run);
    REQUIRE(vm_1.pending_voids().size() == 1);
    advance_past_backoff();
    CHECK(vm_1.retry_pending(time) == 0);
    platform.down = platform.down_after_loss = false;
    advance_past_backoff();
    CHECK(vm_1.retry_pending(time) == 1);
    platform.deliver();
    CHECK(platform.objects[key].value["state"] == "void");
    CHECK(claim_on(vm_2, "b").outcome == claim_outcome::proceed);
}

TEST_CASE_METHOD(
    fixture, "a key is claimed before its void is written", "[idempotency]")
{
    // Guards against a wrong outcome while a void is queued: the VM that
    // refused the request and those that received its void run a repeat, other
    // VMs answer unknown.
    platform.lose_replies = 1;
    platform.down_after_loss = true;
    CHECK(claim_on(vm_1, "a").outcome == claim_outcome::refused_not_run);
    platform.down = platform.down_after_loss = false;
    CHECK(claim_on(vm_2, "b").outcome == claim_outcome::duplicate_running);
    vm_2.add_void(vm_1.pending_voids()[0], time);
    CHECK(claim_on(vm_2, "c").outcome == claim_outcome::proceed);
    CHECK(claim_on(vm_1, "d").outcome == claim_outcome::duplicate_running);
    advance_past_backoff();
    CHECK(vm_1.retry_pending(time) == 1);
    CHECK(platform.objects[key].value["attempt"] == "c");
}

TEST_CASE_METHOD(
    fixture, "a claim is refused while the platform is down", "[idempotency]")
{
    // Guards against a request that is sent without a record, and against the
    // answer not_run for a key whose record is known to exist.
    REQUIRE(claim_on(vm_1, "a").outcome == claim_outcome::proceed);
    platform.down_after_loss = true;
    CHECK(claim_on(vm_2, "c").outcome == claim_outcome::duplicate_running);
    REQUIRE(platform.down);
    CHECK(claim_on(vm_2, "b").outcome == claim_outcome::refused_not_run);
    CHECK(vm_2.pending() == 0);
}

TEST_CASE_METHOD(
    fixture, "an outcome is stored after an outage", "[idempotency]")
{
    // Guards against an outcome that is lost in an outage, so that repeats
    // receive unknown although the request ran.
    const claim_result first = claim_on(vm_1, "a");
    platform.down = true;
    vm_1.complete(first.claimed, run_state::run, {{"rows", 1}}, time);
    platform.down = false;
    advance_past_backoff();
    CHECK(vm_1.retry_pending(time) == 1);
    CHECK(claim_on(vm_2, "b").outcome == claim_outcome::duplicate_done);
}

TEST_CASE_METHOD(fixture, "the queue of voids is bounded", "[idempotency]")
{
    // Guards against memory use that grows throughout a long outage.
    for (std::size_t i = 0; i < config::max_pending_records + 5; ++i)
    {
        vm_1.add_void(
            {"idem/s/" + std::to_string(i), std::to_string(i), "f", 0}, time);
    }
    CHECK(vm_1.pending() == config::max_pending_records);
}

TEST_CASE_METHOD(fixture, "old records are deleted in batches", "[idempotency]")
{
    // Guards against records that are never deleted or deleted too early, and
    // against one sweep that uses up the platform's call rate.
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
