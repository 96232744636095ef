#include "extra_load_window.hpp"
#include "fleet_view.hpp"
#include "gather.hpp"
#include "property.hpp"
#include "target_choice.hpp"

#include <catch2/catch.hpp>

#include <cstring>
#include <deque>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

const monotonic_time start{std::chrono::hours(1)};

target_state
make_target(const std::string& id, const std::string& zone)
{
    target_state out;
    out.record.id = id;
    out.record.zone = zone;
    out.record.slots = 4;
    out.measured_at = start;
    return out;
}

gather_progress
progress(std::size_t answered, std::size_t open, duration elapsed)
{
    gather_progress p;
    p.shards = 10;
    p.answered = answered;
    p.open = open;
    p.min_coverage = 0.89;
    p.elapsed = elapsed;
    p.target_latency = 150ms;
    p.give_up = 1400ms;
    return p;
}

const std::string north = "north";

choice_context
context_at(monotonic_time now)
{
    choice_context out;
    out.now = now;
    out.zone = &north;
    return out;
}

} // namespace

// Guards against a partial answer that is sent too early, too late, or with
// less than the minimum coverage.
TEST_CASE("a partial answer is sent just before the target latency", "[entry]")
{
    CHECK(next_step(progress(10, 0, 1ms)) == gather_step::answer);
    CHECK(next_step(progress(9, 1, 30ms)) == gather_step::wait);
    CHECK(next_step(progress(9, 1, 140ms)) == gather_step::answer);
    CHECK(next_step(progress(9, 0, 30ms)) == gather_step::answer);
    CHECK(next_step(progress(8, 2, 140ms)) == gather_step::wait);
    CHECK(next_step(progress(8, 2, 1400ms)) == gather_step::fail);
    CHECK(next_step(progress(8, 1, 30ms)) == gather_step::wait);
    CHECK(next_step(progress(7, 1, 30ms)) == gather_step::fail);
    CHECK(next_decision_at(progress(9, 1, 30ms)) < 150ms);
    CHECK(next_decision_at(progress(8, 2, 30ms)) == 1400ms);
    gather_progress none = progress(0, 0, 1ms);
    none.min_coverage = 0.0;
    CHECK(next_step(none) == gather_step::fail);
}

// Guards against rounding that puts a minimum such as 0.8 of 15 above 12.
TEST_CASE("coverage equal to the minimum is sufficient", "[entry]")
{
    gather_progress p = progress(12, 3, 2000ms);
    p.shards = 15;
    p.min_coverage = 0.8;
    CHECK(next_step(p) == gather_step::answer);
}

// Guards against lost, duplicated or misordered records in a merge of parts.
TEST_CASE("merged records are the greatest of all parts", "[entry]")
{
    const auto property = [](const std::vector<std::string>& parts)
    {
        std::vector<std::string> all;
        std::vector<std::string_view> views;
        for (const std::string& part : parts)
        {
            views.push_back(part);
            for (std::size_t i = 0; i + 16 <= part.size(); i += 16)
            {
                all.push_back(part.substr(i, 16));
            }
        }
        std::sort(all.begin(), all.end(),
            [](const std::string& a, const std::string& b)
            { return std::memcmp(a.data(), b.data(), 16) > 0; });
        std::string expected;
        for (std::size_t i = 0; i < std::min<std::size_t>(5, all.size()); ++i)
        {
            expected += all[i];
        }
        RC_ASSERT(merge_records(views, 5) == expected);
    };
    CHECK(test::holds(11, 200, property));
}

// Guards against more extra sends in any window than ratio and slack allow.
TEST_CASE(
    "extra sends stay within the budget in every sliding window", "[entry]")
{
    const auto property = [](const std::vector<std::uint16_t>& gaps)
    {
        const extra_load_limits limits{0.2, 8.0, 10s};
        constexpr std::size_t vms = 4;
        extra_load_window window;
        std::deque<std::pair<monotonic_time, bool>> sent;
        monotonic_time now = start;
        for (const std::uint16_t gap : gaps)
        {
            now += std::chrono::milliseconds(gap % 700);
            record_first_send(window, limits, now);
            sent.emplace_back(now, false);
            while (take_extra_budget(window, limits, vms, now))
            {
                sent.emplace_back(now, true);
            }
            double first = 0;
            double extra = 0;
            for (const auto& [at, is_extra] : sent)
            {
                if (now - at <= limits.window)
                {
                    (is_extra ? extra : first) += 1;
                }
            }
            // The bound applies to the requests of this window or of one
            // half a window earlier, whichever has more.
            const double earlier =
                static_cast<double>(std::count_if(sent.begin(), sent.end(),
                    [&](const auto& s)
                    {
                        return !s.second &&
                               now - s.first <= limits.window * 3 / 2 &&
                               now - s.first > limits.window / 2;
                    }));
            RC_ASSERT(extra <= limits.ratio * std::max(first, earlier) +
                                   limits.slack / vms + 1e-9);
        }
    };
    CHECK(test::holds(12, 200, property));
}

// Guards against a division of requests that deviates from the weights.
TEST_CASE("requests are divided in proportion to the weights", "[entry]")
{
    share_picker picker;
    const std::vector<service_share> shares{{"a", 70}, {"b", 20}, {"c", 10}};
    std::array<int, 3> counts{};
    for (int i = 0; i < 100; ++i)
    {
        ++counts[picker.pick(shares)];
    }
    CHECK(counts == std::array<int, 3>{70, 20, 10});
}

// Guards against a request to a service that a desired state has just set to
// zero, or put in the place of another one, and that is owed a request from
// before.
TEST_CASE("a change of the shares leaves no service owed requests", "[entry]")
{
    const auto property = [](const std::vector<std::vector<std::uint8_t>>& all)
    {
        share_picker picker;
        for (const std::vector<std::uint8_t>& weights : all)
        {
            constexpr std::uint8_t weight_count = 4;
            std::vector<service_share> shares;
            int period = 0;
            for (const std::uint8_t w : weights)
            {
                shares.push_back({std::string(1, "abcd"[w / weight_count % 4]),
                    static_cast<double>(w % weight_count)});
                period += w % weight_count;
            }
            // Often ends within a period.
            const int picks = weights.empty() ? 0 : weights.front() % 16;
            std::vector<double> counts(shares.size(), 0.0);
            for (int n = 1; n <= picks && period > 0; ++n)
            {
                const std::size_t at = picker.pick(shares);
                RC_ASSERT(shares[at].weight > 0.0);
                counts[at] += 1.0;
                for (std::size_t i = 0; n == period && i < shares.size(); ++i)
                {
                    RC_ASSERT(counts[i] == shares[i].weight);
                }
            }
        }
    };
    CHECK(test::holds(13, 500, property));
}

// Guards against a match of a shorter prefix, of another host's route, or of a
// path that lacks the prefix's trailing slash.
TEST_CASE("the longest matching prefix of the host is chosen", "[entry]")
{
    desired_state state;
    for (const char* prefix : {"/a/", "/a/b/", "/c/"})
    {
        route_rule rule;
        rule.name = prefix;
        rule.host = "h.example";
        rule.prefix = prefix;
        state.routes.push_back(rule);
    }
    CHECK(find_route(state, "h.example", "/a/b/1")->name == "/a/b/");
    CHECK(find_route(state, "H.Example:80", "/a/x")->name == "/a/");
    CHECK(find_route(state, "h.example", "/ab") == nullptr);
    CHECK(find_route(state, "i.example", "/a/1") == nullptr);
}

// Guards against traffic between zones while the own zone has a healthy target,
// and against a target of the own zone that is kept although it is slow.
TEST_CASE("a target in the own zone is preferred unless it is slow", "[entry]")
{
    target_state near = make_target("n", "north");
    target_state far = make_target("f", "south");
    std::mt19937_64 random(1);
    const std::vector<target_state*> both{&near, &far};
    for (int i = 0; i < 50; ++i)
    {
        CHECK(choose_target(both, context_at(start), random) == &near);
    }
    for (std::uint64_t i = 0; i < 5; ++i)
    {
        record_sent(near, i, 20ms, start);
        record_ended(near, i, send_outcome::good, start + 300ms);
    }
    CHECK(choose_target(both, context_at(start + 300ms), random) == &far);
}

// Guards against requests that go on to a target of the own zone while it sheds
// or fails most of them and a healthy one stands in another zone.
TEST_CASE("a target that sheds or fails gives way to another zone", "[entry]")
{
    for (const send_outcome outcome :
        {send_outcome::shed, send_outcome::failed, send_outcome::broken})
    {
        CAPTURE(outcome);
        target_state near = make_target("n", "north");
        target_state far = make_target("f", "south");
        std::mt19937_64 random(1);
        monotonic_time now = start;
        int to_near = 0;
        for (std::uint64_t i = 0; i < 200; ++i, now += 20ms)
        {
            target_state* chosen =
                choose_target({&near, &far}, context_at(now), random);
            REQUIRE(chosen != nullptr);
            to_near += chosen == &near ? 1 : 0;
            // Six in ten requests to the near target fail.
            const bool bad = chosen == &near && i % 5 < 3;
            record_sent(*chosen, i, 20ms, now);
            record_ended(
                *chosen, i, bad ? outcome : send_outcome::good, now + 10ms);
        }
        CHECK(to_near < 20);
        CHECK(choose_target({&near, &far}, context_at(now + 30s), random) ==
              &near);
    }
}

// Guards against a slow target of the own zone that is preferred because one
// slow reply is forgotten before this VM's next request to it.
TEST_CASE("one very slow reply is remembered for some seconds", "[entry]")
{
    target_state near = make_target("n", "north");
    target_state far = make_target("f", "south");
    std::mt19937_64 random(1);
    record_sent(near, 1, 20ms, start);
    record_ended(near, 1, send_outcome::good, start + 400ms);
    CHECK(!is_healthy(near, context_at(start + 400ms)));
    for (const auto later : {500ms, 1500ms})
    {
        CHECK(choose_target({&near, &far}, context_at(start + later), random) ==
              &far);
    }
    CHECK(
        choose_target({&near, &far}, context_at(start + 30s), random) == &near);
}

// Guards against further requests to a target that has stopped replying.
TEST_CASE("a stalled target is avoided until it replies", "[entry]")
{
    target_state near = make_target("n", "north");
    target_state far = make_target("f", "south");
    std::mt19937_64 random(1);
    record_sent(near, 1, 20ms, start);
    CHECK(!is_stalled(near, start + 60ms));
    CHECK(is_stalled(near, start + 100ms));
    CHECK(choose_target({&near, &far}, context_at(start + 100ms), random) ==
          &far);
    record_ended(near, 1, send_outcome::cancelled, start + 100ms);
    CHECK(!is_stalled(near, start + 101ms));
}

// Guards against requests to targets that are leaving, evacuated, blocked or
// full, and against the use of a lapsed target while another one is usable.
TEST_CASE("unusable targets are not chosen", "[entry]")
{
    std::mt19937_64 random(1);
    const std::vector<std::string> out{"south"};
    choice_context context = context_at(start);
    context.zones_out = &out;
    target_state leaving = make_target("l", "north");
    leaving.record.leaving = true;
    target_state evacuated = make_target("e", "south");
    target_state blocked = make_target("b", "north");
    blocked.blocked = true;
    target_state lapsed = make_target("x", "north");
    lapsed.lapsed_at = start;
    target_state full = make_target("u", "north");
    full.full = true;
    std::vector<target_state*> all{
        &leaving, &evacuated, &blocked, &lapsed, &full};
    CHECK(choose_target(all, context, random) == &lapsed);
    target_state healthy = make_target("s", "east");
    all.push_back(&healthy);
    CHECK(choose_target(all, context, random) == &healthy);
}

// Guards against an overload of a cold target by all VMs together, also if they
// learn of the cold start at the same moment.
TEST_CASE("all VMs together stay within a cold target's rate", "[entry]")
{
    constexpr std::size_t vms = 8;
    constexpr double rate = 10.0;
    std::mt19937_64 random(7);
    std::vector<target_state> views(vms, make_target("c", "north"));
    choice_context context = context_at(start);
    context.vms = vms;
    context.cold_rate = rate;
    for (target_state& view : views)
    {
        record_cold_start(view, 20s, context, random);
    }
    std::deque<monotonic_time> sent;
    for (duration t{}; t < 20s; t += 10ms)
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
        REQUIRE(sent.size() <= rate * 1.5 + 5);
    }
    CHECK(!sent.empty());
}

// Guards against requests to an unreachable target before a probe succeeds, and
// against probes without an increasing delay.
TEST_CASE("an unreachable target waits for a health probe", "[entry]")
{
    target_state target = make_target("t", "north");
    record_sent(target, 1, 20ms, start);
    record_ended(target, 1, send_outcome::unreachable, start);
    CHECK(!is_usable(target, context_at(start + 1h), true));
    const monotonic_time first = target.probe_at;
    CHECK(first > start);
    record_probe_failed(target, first);
    CHECK(target.probe_at - first > first - start);
    record_recovered(target);
    CHECK(is_usable(target, context_at(start + 1h), false));
}

// Guards against another request to a target where requests wait longer than
// they take to run.
TEST_CASE("a saturated target gets no further request", "[entry]")
{
    std::mt19937_64 random(1);
    target_state target = make_target("t", "north");
    record_load(target, {4, 4, 4}, start);
    CHECK(choose_target({&target}, context_at(start), random) == &target);
    record_sent(target, 1, 20ms, start);
    CHECK(choose_target({&target}, context_at(start), random) == nullptr);
    CHECK(choose_target({&target}, context_at(start + 1s), random) == &target);
    record_load(target, {4, 1, 4}, start + 1s);
    CHECK(choose_target({&target}, context_at(start + 1s), random) == &target);
}
