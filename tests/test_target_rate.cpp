#include "config.hpp"
#include "property.hpp"
#include "target_choice.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

const monotonic_time start{1h};

/// VMs of two zones, each with its own view of one target in zone "north".
class sending_fleet
{
public:
    sending_fleet(std::size_t in_zone, std::size_t elsewhere, double limit)
        : views_(in_zone + elsewhere), limit_(limit)
    {
        for (std::size_t i = 0; i < views_.size(); ++i)
        {
            target_state& view = views_[i];
            view.record.zone = "north";
            view.record.slots = 4;
            view.rate_part = rate_part({in_zone, elsewhere, i < in_zone});
            target_notice notice;
            notice.rate_limit = limit;
            record_rate_limit(view, notice, start, start, random_);
        }
    }

    /// Lets each VM send as much as it may at `now`.
    void
    send_all(monotonic_time now)
    {
        for (target_state& view : views_)
        {
            send_from(view, now);
        }
    }

    /// Lets the VMs of the target's zone send as much as they may.
    void
    send_from_zone(monotonic_time now, std::size_t in_zone)
    {
        for (std::size_t i = 0; i < in_zone; ++i)
        {
            send_from(views_[i], now);
        }
    }

    /// Returns the most requests in 4 s so far.
    std::size_t
    most_in_window() const
    {
        return most_;
    }

    std::size_t
    sent() const
    {
        return sent_;
    }

    /// Returns the requests in 4 s with which the target is over its limit.
    double
    most_allowed() const
    {
        return 1.5 * 4.0 * limit_ + 5.0;
    }

private:
    void
    send_from(target_state& view, monotonic_time now)
    {
        choice_context context;
        context.now = now;
        while (choose_target({&view}, context, random_) != nullptr)
        {
            spend_rates(view, context);
            window_.push_back(now);
            ++sent_;
        }
        while (!window_.empty() && now - window_.front() >= 4s)
        {
            window_.pop_front();
        }
        most_ = std::max(most_, window_.size());
    }

    std::mt19937_64 random_{7};
    std::vector<target_state> views_;
    double limit_;
    std::deque<monotonic_time> window_;
    std::size_t most_ = 0;
    std::size_t sent_ = 0;
};

} // namespace

// Guards against a part of a rate that is given to no VM, or to two.
TEST_CASE("the parts of a rate add up to the whole", "[entry]")
{
    for (const auto& [near, far] : std::vector<std::pair<int, int>>{
             {1, 0}, {0, 5}, {2, 6}, {1, 1}, {74, 221}})
    {
        const auto n = static_cast<std::size_t>(near);
        const auto f = static_cast<std::size_t>(far);
        const double sum =
            near * rate_part({n, f, true}) + far * rate_part({n, f, false});
        CHECK(sum == Approx(1.0));
    }
    CHECK(rate_part({0, 0, true}) == 1.0);
    CHECK(rate_part({2, 6, true}) > rate_part({2, 6, false}));
}

// Guards against limits of single VMs that add up to more than the target's.
TEST_CASE("all VMs together stay within a target's rate limit", "[entry]")
{
    for (const double limit : {0.0, 0.5, 1.0, 5.0, 30.0, 400.0})
    {
        for (const std::size_t zone_vms : {1, 2, 20, 74})
        {
            CAPTURE(limit, zone_vms);
            sending_fleet fleet(zone_vms, 3 * zone_vms, limit);
            for (duration t{}; t < 60s; t += 10ms)
            {
                fleet.send_all(start + t);
            }
            CHECK(static_cast<double>(fleet.most_in_window()) <=
                  fleet.most_allowed());
            // The limit is used, but for the first interval of each VM.
            const bool short_intervals = limit * 10.0 >= 4.0 * zone_vms;
            CHECK((!short_intervals || fleet.sent() >= 45.0 * limit));
        }
    }
}

// Guards against a burst of all VMs when the replicas of a limited target fail.
TEST_CASE("unused requests of a limited target are not saved up", "[entry]")
{
    for (const double limit : {1.0, 5.0, 30.0})
    {
        for (const std::size_t zone_vms : {2, 20, 74})
        {
            CAPTURE(limit, zone_vms);
            sending_fleet fleet(zone_vms, 3 * zone_vms, limit);
            for (duration t = 5min; t < 6min; t += 10ms)
            {
                fleet.send_all(start + t);
            }
            CHECK(static_cast<double>(fleet.most_in_window()) <=
                  fleet.most_allowed());
        }
    }
}

// Guards against a schedule that starts anew with each change of the limit.
TEST_CASE("a limit that changes in each reply is kept", "[entry]")
{
    std::mt19937_64 random(7);
    target_state target;
    choice_context context;
    target_notice notice;
    std::size_t sent = 0;
    constexpr auto period = 60s;
    for (duration t{}; t < period; t += 1ms)
    {
        context.now = start + t;
        notice.rate_limit = sent % 2 == 0 ? 9.0 : 11.0;
        if (t == duration::zero() ||
            choose_target({&target}, context, random) != nullptr)
        {
            spend_rates(target, context);
            record_rate_limit(target, notice, context.now, context.now, random);
            ++sent;
        }
    }
    CHECK(sent <= 60 * 10 + 1);
    CHECK(sent > 60 * 8);
}

// Guards against a limit that is mostly left to VMs that have no use for it.
TEST_CASE("the VMs of a target's zone may use most of its limit", "[entry]")
{
    sending_fleet fleet(2, 6, 30.0);
    for (duration t{}; t < 60s; t += 10ms)
    {
        fleet.send_from_zone(start + t, 2);
    }
    CHECK(fleet.sent() > 60 * 30 / 2);
}

// Guards against a limit that outlasts its need, or ends by an older reply.
TEST_CASE("a rate limit holds as long as replies name it", "[entry]")
{
    std::mt19937_64 random(1);
    target_state target;
    target_notice limited;
    limited.rate_limit = 8.0;
    CHECK(!record_rate_limit(target, {}, start, start + 1s, random));
    CHECK(record_rate_limit(target, limited, start + 1s, start + 2s, random));
    CHECK(!record_rate_limit(target, limited, start + 2s, start + 3s, random));
    CHECK(
        !record_rate_limit(target, {}, start + 2500ms, start + 3500ms, random));
    CHECK(target.rate_limit == 8.0);
    CHECK(record_rate_limit(target, {}, start + 3500ms, start + 4s, random));
    CHECK(!target.rate_limit);
}

// Guards against a burst of all VMs when the replicas of a cold target fail.
TEST_CASE("unused requests of a cold target are not saved up", "[entry]")
{
    constexpr std::size_t vms = 80;
    constexpr double rate = 3.0;
    std::mt19937_64 random(7);
    std::vector<target_state> views(vms);
    choice_context context;
    context.vms = vms;
    context.cold_rate = rate;
    context.now = start;
    for (target_state& view : views)
    {
        record_cold_start(view, 1h, context, random);
    }
    std::deque<monotonic_time> sent;
    for (duration t = 5min; t < 6min; t += 10ms)
    {
        context.now = start + t;
        for (target_state& view : views)
        {
            if (choose_target({&view}, context, random) != nullptr)
            {
                spend_rates(view, context);
                sent.push_back(context.now);
            }
        }
        while (!sent.empty() && context.now - sent.front() >= 1s)
        {
            sent.pop_front();
        }
        REQUIRE(static_cast<double>(sent.size()) <= rate * 1.5 + 5.0);
    }
}

// Guards against a division by zero when a target names an enormous limit.
TEST_CASE("an enormous rate limit leaves an interval between sends", "[entry]")
{
    CHECK(send_interval(1e300) > duration::zero());
    send_schedule schedule{start};
    const duration interval = send_interval(1e300);
    CHECK(next_send(schedule, interval, start + 1h) <= start + 1h);
}
