#include "config.hpp"
#include "platform_budget.hpp"
#include "platform_lease.hpp"

#include <catch2/catch.hpp>

#include "fake_platform.hpp"

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

/// Two VMs, a and b, that compete for one lease.
struct fixture
{
    fake_platform platform;
    monotonic_time now{1h};
    monotonic_source clock = [this] { return now; };
    platform_lease a = make_lease("lease/controller", "a");
    platform_lease b = make_lease("lease/controller", "b");
};

} // namespace

TEST_CASE_METHOD(fixture, "one VM holds the lease", "[platform_lease]")
{
    // Guards against two holders at a time, and against a lease that no VM
    // takes after its holder died.
    CHECK(maintain_lease(a, platform, clock) == lease_state::held);
    for (int i = 0; i < 40; ++i)
    {
        now += 500ms;
        maintain_lease(a, platform, clock);
        maintain_lease(b, platform, clock);
        REQUIRE(holds(a, now));
        REQUIRE_FALSE(holds(b, now));
    }
    for (int i = 0; i < 12; ++i)
    {
        now += 500ms;
        maintain_lease(b, platform, clock);
        REQUIRE_FALSE((holds(a, now) && holds(b, now)));
    }
    CHECK(holds(b, now));
    CHECK(b.term == a.term + 1);
    CHECK(maintain_lease(a, platform, clock) == lease_state::followed);
}

TEST_CASE_METHOD(
    fixture, "a holder paused past its lease cannot write", "[platform_lease]")
{
    // Guards against a previous holder that overwrites the current holder's
    // value, also if it was paused between its read and its write.
    REQUIRE(maintain_lease(a, platform, clock) == lease_state::held);
    CHECK(fenced_put(a, platform, "status/x", 1, clock) ==
          fenced_outcome::written);
    platform.before_write = [this](const std::string&)
    {
        maintain_lease(b, platform, clock);
        now += config::controller_lease;
        CHECK(maintain_lease(b, platform, clock) == lease_state::held);
        CHECK(fenced_put(b, platform, "status/x", 2, clock) ==
              fenced_outcome::written);
    };
    CHECK(fenced_put(a, platform, "status/x", 3, clock) ==
          fenced_outcome::not_written);
    CHECK(fenced_put(a, platform, "status/x", 4, clock) ==
          fenced_outcome::lease_lost);
    CHECK(platform.objects["status/x"].value["value"] == 2);
}

TEST_CASE_METHOD(fixture, "lost replies and delayed renewals of the lease",
    "[platform_lease]")
{
    // Guards against a holder that does not know of its lease after a lost
    // reply, and against a lease whose duration is counted from a later time
    // than the sending of its renewal.
    platform.lose_replies = 1;
    CHECK(maintain_lease(a, platform, clock) == lease_state::held);
    CHECK(a.valid_until ==
          now + config::controller_lease - config::controller_lease_margin);
    now += config::controller_lease_renewal_period;
    platform.delay_writes = 1;
    maintain_lease(a, platform, clock);
    const monotonic_time until = a.valid_until;
    platform.deliver();
    now += 500ms;
    CHECK(maintain_lease(a, platform, clock) == lease_state::held);
    CHECK(a.valid_until == until);
    CHECK(maintain_lease(a, platform, clock) == lease_state::held);
    CHECK(a.valid_until > until);
}

TEST_CASE_METHOD(
    fixture, "a released lease is free at once", "[platform_lease]")
{
    // Guards against a planned stop after which no VM can take the lease until
    // its duration has passed.
    REQUIRE(maintain_lease(a, platform, clock) == lease_state::held);
    maintain_lease(b, platform, clock);
    release_lease(a, platform);
    CHECK_FALSE(holds(a, now));
    CHECK(maintain_lease(b, platform, clock) == lease_state::held);
}

TEST_CASE("each kind of call has its own budget", "[platform_lease]")
{
    // Guards against one kind of call using the tokens of another.
    std::mt19937_64 random(1);
    monotonic_time now(1h);
    platform_budget budget = make_budget(8, now);
    const auto taken = [&](platform_call kind)
    {
        int n = 0;
        while (n < 1000 && take_call(budget, kind, now, random))
        {
            ++n;
        }
        return n;
    };
    CHECK(taken(platform_call::list) == 6);
    CHECK(taken(platform_call::idempotency) == 37);
    now += 1s;
    CHECK(taken(platform_call::list) == 6);
}

TEST_CASE("calls during and after an outage are limited", "[platform_lease]")
{
    // Guards against a fleet whose simultaneous calls after an outage exceed
    // the platform's rate and bring it down again.
    std::mt19937_64 random(7);
    const std::size_t vm_count = 410;
    monotonic_time now(1h);
    std::vector<platform_budget> vms(vm_count, make_budget(vm_count, now));
    std::size_t busiest_during = 0;
    std::size_t busiest_after = 0;
    for (int second = 0; second < 120; ++second)
    {
        const bool is_up = second >= 60;
        std::size_t calls = 0;
        for (int tick = 0; tick < 10; ++tick, now += 100ms)
        {
            for (platform_budget& vm : vms)
            {
                for (std::size_t k = 0; k < vm.buckets.size(); ++k)
                {
                    if (take_call(
                            vm, static_cast<platform_call>(k), now, random))
                    {
                        ++calls;
                        record_call(vm, is_up, now, random);
                    }
                }
            }
        }
        if (second >= 10)
        {
            std::size_t& busiest = is_up ? busiest_after : busiest_during;
            busiest = std::max(busiest, calls);
        }
    }
    WARN("calls in the busiest second: " << busiest_during << " in the outage, "
                                         << busiest_after << " after it");
    CHECK(busiest_during <= vm_count);
    CHECK(busiest_after <= 620);
}

TEST_CASE("a call without a token is not sent", "[platform_lease]")
{
    // Guards against calls that are charged to the budget only after they were
    // sent.
    fake_platform platform;
    monotonic_time now(1h);
    shared_budget budget(make_budget(1, now), 1);
    budgeted_platform limited(
        platform, budget, platform_call::status, [&] { return now; });
    for (int i = 0; i < 50; ++i)
    {
        (void)limited.get("x");
    }
    CHECK(platform.reads == 20);
    CHECK(limited.get("x").error() == platform_errc::rate_limited);
}
