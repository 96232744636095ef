#include "config/usage.hpp"
#include "property.hpp"
#include "usage/usage_report.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

constexpr usage_limits limits{5s, 0.05, 10s};

usage_plan
new_plan()
{
    usage_plan out;
    out.limits = limits;
    return out;
}

/// Lets the plan decide its window and write it; returns the written records.
std::vector<usage_record>
write_next(usage_plan& plan, duration now, const std::string& body)
{
    REQUIRE(is_window_due(plan, now));
    put_report(plan, plan.next, body);
    const plan_step step = next_plan_step(plan, now);
    REQUIRE(step.kind == plan_step_kind::write);
    return step.records;
}

} // namespace

// Guards against a report that is sent before the lease object holds it.
TEST_CASE("a report is written before it is sent", "[usage]")
{
    usage_plan plan = new_plan();
    CHECK(next_plan_step(plan, 100s).kind == plan_step_kind::none);
    begin_holding(plan, 0, {}, 100s);
    const window_id first = plan.next;
    CHECK(end_of(first, limits.window) + limits.due_after > 100s);
    CHECK(next_plan_step(plan, 100s).kind == plan_step_kind::none);
    write_next(plan, 100s, "x");
    CHECK(next_plan_step(plan, 100s).kind == plan_step_kind::write);
    record_written(plan);
    const plan_step send = next_plan_step(plan, 100s);
    CHECK(send.kind == plan_step_kind::send);
    CHECK(send.window == first);
    CHECK(send.body == "x");
    record_sent(plan, first, false, 100s);
    CHECK(next_plan_step(plan, 100s).kind == plan_step_kind::none);
    CHECK(next_plan_step(plan, 101s).body == "x");
    record_sent(plan, first, true, 101s);
    CHECK(next_plan_step(plan, 102s).kind == plan_step_kind::none);
    CHECK(plan.next == first + 1);
}

// Guards against another count for a window whose holder changed between the
// write of the report, its first send and the answer.
TEST_CASE("a new holder repeats the reports of the old one", "[usage]")
{
    usage_plan a = new_plan();
    begin_holding(a, 0, {}, 100s);
    const window_id window = a.next;
    const auto records = write_next(a, 100s, "counts of a");
    // The write took effect, but its reply was lost with the lease.
    end_holding(a);
    CHECK(next_plan_step(a, 100s).kind == plan_step_kind::none);
    usage_plan b = new_plan();
    begin_holding(b, 0, records, 101s);
    CHECK(b.next == window + 1);
    CHECK(next_plan_step(b, 101s).body == "counts of a");
    CHECK(!find_report(b, window)->own);
    put_report(b, window, "counts of b");
    CHECK(next_plan_step(b, 101s).body == "counts of a");
    // Without the record, nothing was sent, and the window is open.
    usage_plan c = new_plan();
    begin_holding(c, 0, {}, 101s);
    CHECK(c.next == window);
}

// Guards against windows that are reported again after the store lost the
// records of their reports, and against a loss that nobody sees.
TEST_CASE("after a restore only later windows are reported", "[usage]")
{
    usage_plan a = new_plan();
    begin_holding(a, 0, {}, 100s);
    const window_id sent = a.next;
    write_next(a, 100s, "x");
    record_written(a);
    end_holding(a);
    usage_plan b = new_plan();
    begin_holding(b, 1, {}, 103s);
    CHECK(end_of(b.next, limits.window) > 103s + config::usage_clock_margin);
    CHECK(b.next > sent);
    REQUIRE(b.skipped.size() == 1);
    CHECK(b.skipped[0].last == b.next - 1);
    // The VM that wrote the report itself may repeat it.
    begin_holding(a, 1, {}, 103s);
    CHECK(next_plan_step(a, 103s).body == "x");
    CHECK(a.next == b.next);
}

// Guards against reports that are repeated without end, and against records
// that do not fit the lease object.
TEST_CASE("overdue and oversized reports are given up", "[usage]")
{
    usage_plan plan = new_plan();
    begin_holding(plan, 0, {}, 100s);
    write_next(plan, 100s, "x");
    record_written(plan);
    CHECK(next_plan_step(plan, 1000s).kind == plan_step_kind::none);
    CHECK(plan.skipped.size() == 1);
    CHECK(is_window_due(plan, 1000s));
    CHECK(plan.skipped.size() == 2);
    std::size_t most = config::max_pending_reports;
    for (int i = 0; i < 8; ++i)
    {
        most = write_next(plan, 1000s + i * limits.window, "y").size();
        record_written(plan);
    }
    CHECK(most == config::max_pending_reports);
    plan.skipped.clear();
    write_next(plan, 1040s, "long");
    while (plan.draft)
    {
        const auto records = next_plan_step(plan, 1040s).records;
        CHECK(records.back().body == "long");
        record_write_refused(plan);
    }
    REQUIRE(plan.skipped.size() == 1);
    CHECK(plan.skipped[0].reason == "the counts do not fit the lease object");
}

namespace
{

/// Lease object, store and API of the property below.
struct duty_model
{
    struct object
    {
        int holder = -1;
        std::uint64_t era = 0;
        std::vector<usage_record> records;
    };

    struct vm
    {
        usage_plan plan = new_plan();
        duration skew{};
        std::uint64_t era = 0; ///< in which it acquired the duty
        std::optional<usage_record> in_flight; ///< a send that is on its way
    };

    object current;
    std::vector<object> copies;
    std::uint64_t era = 0;
    duration now = 1000s;
    std::vector<vm> vms{3};
    std::map<window_id, std::set<std::string>> sent;
    int bodies = 0;

    duration
    time_of(const vm& v) const
    {
        return now + v.skew;
    }

    void
    acquire(int i)
    {
        vm& v = vms[static_cast<std::size_t>(i)];
        auto records =
            current.era == era ? current.records : std::vector<usage_record>();
        current = {i, era, records};
        v.era = era;
        end_holding(v.plan);
        begin_holding(v.plan, era, std::move(records), time_of(v));
    }

    /// `outcome`: 0 the write is lost, 1 its reply is lost, else it succeeds.
    void
    write(int i, const plan_step& step, int outcome)
    {
        vm& v = vms[static_cast<std::size_t>(i)];
        const bool holds = current.holder == i && v.era == era;
        if (holds && outcome != 0)
        {
            current.records = step.records;
            copies.push_back(current);
        }
        holds&& outcome > 1 ? record_written(v.plan) : end_holding(v.plan);
    }

    void
    run(int i, int outcome)
    {
        vm& v = vms[static_cast<std::size_t>(i)];
        if (is_window_due(v.plan, time_of(v)))
        {
            outcome == 0
                ? skip_window(v.plan, v.plan.next, "test")
                : put_report(v.plan, v.plan.next, std::to_string(++bodies));
        }
        const plan_step step = next_plan_step(v.plan, time_of(v));
        if (step.kind == plan_step_kind::write)
        {
            write(i, step, outcome);
        }
        else if (step.kind == plan_step_kind::send)
        {
            v.in_flight = usage_record{step.window, step.body};
        }
    }

    /// A send arrives, also that of a VM that has lost the duty meanwhile.
    void
    deliver(int i, int outcome)
    {
        vm& v = vms[static_cast<std::size_t>(i)];
        if (v.in_flight)
        {
            sent[v.in_flight->window].insert(v.in_flight->body);
            record_sent(v.plan, v.in_flight->window, outcome > 1, time_of(v));
            v.in_flight.reset();
        }
    }

    void
    restore(std::size_t copy)
    {
        ++era;
        current = copies.empty() ? object{} : copies[copy % copies.size()];
    }
};

} // namespace

// Guards against two different counts for one window, whatever happens to the
// holders, the lease object and the clocks.
TEST_CASE("no window ever gets two different counts", "[usage]")
{
    std::size_t windows = 0;
    const auto property = [&](const std::vector<std::uint16_t>& choices)
    {
        duty_model m;
        m.vms[1].skew = 290ms;
        m.vms[2].skew = -290ms;
        for (const std::uint16_t choice : choices)
        {
            const int i = choice % 3;
            const int outcome = choice / 3 % 4;
            const int action = choice / 12 % 32;
            m.now += std::chrono::milliseconds(choice / 384 % 17 * 100);
            if (action < 2)
            {
                m.acquire(i);
            }
            else if (action < 3)
            {
                m.restore(choice);
            }
            else if (action < 14)
            {
                m.deliver(i, outcome);
            }
            else
            {
                m.run(i, outcome);
            }
            for (const auto& [window, bodies] : m.sent)
            {
                RC_ASSERT(bodies.size() == 1U);
            }
        }
        windows += m.sent.size();
    };
    const auto long_sequences = [&]
    {
        property(*rc::gen::container<std::vector<std::uint16_t>>(
            400, rc::gen::arbitrary<std::uint16_t>()));
    };
    CHECK(test::holds(7, 600, long_sequences));
    // Otherwise the property would hold for want of reports.
    CHECK(windows > 1000);
}

namespace
{

/// One VM that counts requests and sends messages to two collectors.
struct counting_vm
{
    std::string id;
    usage_counts counts;
    std::uint64_t sequence = 0;
    std::vector<usage_message> messages{};
};

} // namespace

// Guards against a window that counts as complete with a count other than that
// of the requests that began to run in it.
TEST_CASE("the count of a complete window is the true one", "[usage]")
{
    std::size_t complete_windows = 0;
    const auto property = [&]
    {
        std::map<window_id, workspace_counts> truth;
        std::vector<counting_vm> vms;
        for (const char* id : {"a", "b", "c"})
        {
            vms.push_back({id, {}});
            vms.back().counts.length = limits.window;
        }
        std::array<usage_collector, 2> collectors;
        duration now = 1000s;
        while (now < 1025s)
        {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 200));
            counting_vm& vm = vms[*rc::gen::inRange<std::size_t>(0, 3)];
            advance_windows(vm.counts, now);
            if (*rc::gen::inRange(0, 3) > 0)
            {
                request_usage r;
                const std::string w(1, *rc::gen::inRange('p', 's'));
                const int denied = *rc::gen::inRange(0, 3);
                for (int s = 0; s <= denied; ++s)
                {
                    const auto count = [&](send_stage stage)
                    {
                        add_usage(vm.counts, w,
                            count_sends(
                                usage_rule::each_request, r, stage, 1, now),
                            now);
                    };
                    count(send_stage::written);
                    if (s < denied)
                    {
                        count(send_stage::not_run);
                    }
                }
                ++truth[window_of(now, limits.window)][w];
                continue;
            }
            usage_message message{
                vm.id, 1, ++vm.sequence, now, vm.counts.first, {}};
            for (const auto& [id, window] : vm.counts.windows)
            {
                message.windows.push_back(
                    {id, window.closed, window.exact, window.counts});
            }
            vm.messages.push_back(std::move(message));
            // Repeats and reordered messages; the others are lost.
            for (usage_collector& c : collectors)
            {
                const auto at =
                    *rc::gen::inRange<std::size_t>(0, vm.messages.size());
                collect(c, usage_message(vm.messages[at]), now);
                collect(c, usage_message(vm.messages.back()), now);
            }
        }
        for (window_id k = window_of(1000s, limits.window);
             k < window_of(now, limits.window); ++k)
        {
            window_evidence e;
            for (const usage_collector& c : collectors)
            {
                merge_sources(e, usage_in(c, k));
            }
            const window_summary s = summarize(e, {"a", "b", "c"}, limits);
            if (s.known && s.missing.empty())
            {
                ++complete_windows;
                RC_ASSERT(s.counts == truth[k]);
            }
        }
    };
    CHECK(test::holds(3, 150, property));
    CHECK(complete_windows > 100);
}
