#include "common/fanout_model.hpp"
#include "latency.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace bramleymux;
using namespace std::chrono_literals;
using bramleymux::tools::fanout_options;
using bramleymux::tools::run_fanout;

namespace
{

const monotonic_time start{};

double
ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

// Guards against quantiles that are off by more than a bucket, and out-of-range
// samples that are lost or written outside the array.
TEST_CASE("quantiles are within a bucket's width", "[latency]")
{
    latency_sketch sketch;
    for (int i = 1; i <= 1000; ++i)
    {
        record(sketch, i * 100us, start);
    }
    for (const double q : {0.1, 0.5, 0.9, 0.97, 0.99})
    {
        CHECK(ms(quantile(sketch, q)) == Approx(q * 100).epsilon(0.15));
    }
    record(sketch, duration::zero(), start);
    record(sketch, -1ms, start);
    record(sketch, 24h, start);
    CHECK(total(sketch) == Approx(1003));
    CHECK(ms(quantile(sketch, 1.0)) > ms(config::max_deadline));
    CHECK(quantile(latency_sketch{}, 0.5) == duration::zero());
}

// Guards against a hedge delay that still follows latencies of an hour ago.
TEST_CASE("old samples decay", "[latency]")
{
    latency_sketch sketch;
    for (int i = 0; i < 1000; ++i)
    {
        record(sketch, 100ms, start);
    }
    const auto later = start + 10 * config::latency_half_life;
    for (int i = 0; i < 100; ++i)
    {
        record(sketch, 2ms, later);
    }
    CHECK(ms(quantile(sketch, 0.97)) == Approx(2).epsilon(0.15));
    latency_sketch other;
    merge(other, sketch, later + config::latency_half_life);
    CHECK(total(other) == Approx(total(sketch) / 2));
}

// Guards against a sketch that changes in transfer between peers, and an
// invalid one that corrupts the local state.
TEST_CASE("sketches round-trip through their compact form", "[latency]")
{
    latency_sketch sketch;
    for (int i = 0; i < 100; ++i)
    {
        record(sketch, (1 + i % 7) * 1ms, start);
    }
    latency_sketch copy;
    REQUIRE(parse_sketch(to_json(sketch), start, copy));
    CHECK(total(copy) == Approx(100));
    CHECK(quantile(copy, 0.5) == quantile(sketch, 0.5));
    for (const char* text : {"[97,1]", "[1]", "[-1,2]", "[1,-2]", "[1,1e300]",
             "{}", "[\"a\",1]", "[1,null]"})
    {
        CHECK_FALSE(parse_sketch(nlohmann::json::parse(text), start, copy));
    }
    CHECK(total(copy) == Approx(100));
}

// Guards against hedging every request of a new route, and a delay below the
// resolution of timers.
TEST_CASE("the hedge delay is p97 within its bounds", "[latency]")
{
    latency_sketch sketch;
    record(sketch, 2ms, start);
    CHECK(hedge_delay(sketch) == config::initial_hedge_delay);
    for (int i = 0; i < 1000; ++i)
    {
        record(sketch, i % 100 < 98 ? 4ms : 200ms, start);
    }
    CHECK(ms(hedge_delay(sketch)) == Approx(4).epsilon(0.15));
    latency_sketch fast;
    for (int i = 0; i < 100; ++i)
    {
        record(fast, 60us, start);
    }
    CHECK(hedge_delay(fast) == config::min_hedge_delay);
}

// Guards against a target that looks fast because its slow requests are
// cancelled, and one that is never tried again after it was slow.
TEST_CASE("the mean rises with cancelled requests and decays", "[latency]")
{
    latency_mean mean;
    record(mean, 2ms, start);
    record_at_least(mean, 1ms, start);
    CHECK(mean.value_us == Approx(2000));
    for (int i = 0; i < 100; ++i)
    {
        record_at_least(mean, 100ms, start);
    }
    CHECK(mean.value_us == Approx(100'000).epsilon(0.01));
    const auto later = start + 6 * config::latency_mean_half_life;
    CHECK(expected_us(mean, later) < 2000);
    record(mean, 2ms, later);
    CHECK(expected_us(mean, later) == Approx(2000).epsilon(1.0));
}

// Guards against extra load above its share, in particular while targets shed.
TEST_CASE("extra load stays within its share", "[latency]")
{
    extra_load_budget budget;
    CHECK_FALSE(spend(budget, 1));
    const auto spent_of = [&](int queries, monotonic_time now)
    {
        std::size_t spent = 0;
        for (int i = 0; i < queries; ++i)
        {
            earn(budget, 100, now);
            spent += spend(budget, 1) ? 1 : 0;
            spent += spend(budget, 7) ? 7 : 0;
        }
        return spent;
    };
    CHECK(spent_of(1000, start) <= 5000);
    for (int i = 0; i < 1000; ++i)
    {
        earn(budget, 100, start);
    }
    CHECK(budget.tokens == config::max_extra_load_tokens);
    record_shed(budget, start);
    CHECK(budget.tokens == config::max_extra_load_tokens / 2);
    budget.tokens = 0.0;
    const auto halved = spent_of(1000, start + config::shed_penalty / 2);
    CHECK(halved <= 2500);
    CHECK(halved >= 2400);
    CHECK(spent_of(1000, start + config::shed_penalty) >= 4900);
}

// Guards against coverage lost because hedges used up the budget, and against
// unbounded retries.
TEST_CASE("retries have a bounded budget of their own", "[latency]")
{
    extra_load_budget extra;
    extra.tokens = 10;
    retry_budget retries;
    const auto full = retries.tokens;
    CHECK(spend_retry(extra, retries, run_state::not_run, 10));
    CHECK(extra.tokens == 10);
    CHECK(spend_retry(extra, retries, run_state::unknown, 10));
    CHECK(extra.tokens == 0);
    CHECK(retries.tokens == full - 10);
    CHECK(spend_retry(extra, retries, run_state::unknown, 10));
    retries.tokens = 0;
    CHECK_FALSE(spend_retry(extra, retries, run_state::not_run, 1));
    earn(retries, 100);
    CHECK(spend_retry(extra, retries, run_state::not_run, 20));
    CHECK_FALSE(spend_retry(extra, retries, run_state::not_run, 1));
}

// Guards against a backoff that overflows, or that synchronizes the retries of
// many VMs.
TEST_CASE("jitter is spread over the whole bound", "[latency]")
{
    std::mt19937_64 random(1);
    double sum = 0.0;
    for (int i = 0; i < 1000; ++i)
    {
        REQUIRE(full_jitter(4'000'000'000U, 1ms, 80ms, random) <= 80ms);
        sum += ms(full_jitter(4, 10ms, 1s, random));
    }
    CHECK(sum / 1000 == Approx(40).epsilon(0.1));
}

// Guards against hedging that misses the stated targets in the model: with 1%
// of requests at 50 times the median, p99 at most 0.3 of the baseline and at
// most 5% extra load; without stragglers, p99 at most 1.05 of the baseline.
TEST_CASE("hedges remove stragglers within the budget", "[latency][model]")
{
    for (const double share : {0.01, 0.0})
    {
        fanout_options options;
        options.straggler_share = share;
        const auto baseline = run_fanout(options);
        options.policy = routing_policy::adaptive;
        options.hedge = true;
        const auto adaptive = run_fanout(options);
        CHECK(adaptive.p99_ms <= (share > 0 ? 0.3 : 1.05) * baseline.p99_ms);
        CHECK(adaptive.extra_load <= config::extra_load_share);
    }
}

// Guards against a slow target that still receives its full share of queries.
TEST_CASE("a slow target is avoided", "[latency][model]")
{
    fanout_options options;
    const auto without_slow_target = run_fanout(options);
    options.slow_targets = 1;
    options.policy = routing_policy::adaptive;
    CHECK(run_fanout(options).p99_ms <= 1.05 * without_slow_target.p99_ms);
}
