#include "admission.hpp"
#include "common/overload_model.hpp"
#include "config.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace bramleymux;
using namespace std::chrono_literals;
using tools::make_catalog;
using tools::overload_options;
using tools::run_overload;

namespace
{

const monotonic_time start{};

} // namespace

// Guards against admission that serves less than 0.9 of the worth possible at
// twice the capacity of 600 queries a second (240 of worth 10 and 360 of the
// 600 of worth 3), also when many VMs see few replies each.
TEST_CASE("twice the capacity serves the highest worth", "[admission][model]")
{
    constexpr double possible = 240 * 10 + 360 * 3;
    overload_options options;
    options.services = {{{1, 360}, {10, 240}, {3, 600}}};
    options.floors = {0};
    for (const std::size_t vms : {1, 2, 8})
    {
        options.vms = vms;
        CHECK(run_overload(options).worth_per_s >= 0.9 * possible);
    }
    options.admission = false;
    CHECK(run_overload(options).worth_per_s < 0.5 * possible);
}

// Guards against a limit that refuses requests while the targets are not
// saturated.
TEST_CASE("nothing is refused below capacity", "[admission][model]")
{
    overload_options options;
    options.services = {{{1, 240}, {10, 240}}};
    options.floors = {0};
    const auto result = run_overload(options);
    CHECK(result.served_per_s[0] >= 0.97 * 240);
    CHECK(result.served_per_s[1] >= 0.97 * 240);
}

// Guards against overload of one service that reduces the admitted requests of
// another whose targets are idle.
TEST_CASE(
    "overload of one service does not affect others", "[admission][model]")
{
    overload_options options;
    options.services = {{{10, 1200}}, {{1, 200}}};
    options.floors = {0, 0};
    const auto result = run_overload(options);
    CHECK(result.served_per_s[1] >= 0.97 * 200);
}

// Guards against a service of low worth that gets none of the VM's threads, and
// against more queries than the VM has threads. Floors of 0.2 + 0.05 leave 0.75
// of the threads to the highest worth, of which 0.9 must be used.
TEST_CASE("each service keeps its floor", "[admission][model]")
{
    overload_options options;
    options.vms = 1;
    options.slots = 100;
    options.services = {{{10, 6000}}, {{1, 2000}}, {{1, 2000}}};
    options.floors = {0, 0.2, 0};
    const auto result = run_overload(options);
    const double all =
        (config::max_caller_threads - config::reserved_caller_threads) / 0.020;
    CHECK(result.served_per_s[0] >= 0.9 * 0.75 * all);
    CHECK(result.served_per_s[1] >= 0.9 * 0.2 * all);
    CHECK(result.served_per_s[2] >=
          0.9 * config::default_floor_share_total / 2 * all);
    CHECK(result.max_in_flight <=
          config::max_caller_threads - config::refusal_threads);
}

// Guards against a limit that does not recover after overload, and a worth
// threshold that stays above 0.
TEST_CASE("the limit falls under refusals and recovers", "[admission]")
{
    admission_state state;
    apply(state, make_catalog({{{1, 1}, {5, 1}}}, {0}));
    auto now = start + 1s;
    const auto window = [&](miss_reason error)
    {
        sub_reply reply;
        reply.error = error;
        reply.target_time = 10ms;
        std::array<int, 2> admitted{};
        for (int i = 0; i < 200; ++i)
        {
            now += 500us;
            const auto route = static_cast<std::uint16_t>(i % 2);
            if (admit(state, route_handle{route}, now).admitted)
            {
                ++admitted[route];
                observe(state, service_handle{0}, reply);
                release(state, route_handle{route}, 10ms, now);
            }
        }
        return admitted;
    };
    CHECK(window(miss_reason::none) == std::array<int, 2>{100, 100});
    for (int i = 0; i < 30; ++i)
    {
        window(miss_reason::queue_full);
    }
    CHECK(state.services[0].limit == Approx(1.0));
    const auto shed = window(miss_reason::queue_full);
    CHECK(shed[1] > 3 * shed[0]);
    CHECK(worth_threshold(state, service_handle{0}) == 5.0);
    for (int i = 0; i < 400; ++i)
    {
        window(miss_reason::none);
    }
    CHECK(window(miss_reason::none) == std::array<int, 2>{100, 100});
    CHECK(worth_threshold(state, service_handle{0}) == 0.0);
}

// Guards against access to routes that are not in the table, and floors whose
// sum exceeds 1.
TEST_CASE("unknown routes are refused and floors are scaled", "[admission]")
{
    admission_state state;
    CHECK_FALSE(admit(state, route_handle{}, start).admitted);
    apply(state, make_catalog({{{1, 1}}, {{1, 1}}}, {0.9, 0.6}));
    CHECK(state.services[0].floor_share == Approx(0.6));
    CHECK(state.services[1].floor_share == Approx(0.4));
    CHECK_FALSE(admit(state, route_handle{2}, start).admitted);
    release(state, route_handle{9}, 1ms, start);
    CHECK(state.in_flight == 0);
    CHECK(admit(state, route_handle{1}, start).admitted);
    apply(state, make_catalog({{{1, 1}}}, {0}));
    CHECK(state.services[1].in_flight == 1);
}
