#include "config/usage.hpp"
#include "usage/true_clock.hpp"
#include "usage/usage_counts.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

constexpr duration length = 5s;

clock_samples
samples_of(const std::vector<duration>& times, duration boot)
{
    clock_samples out;
    out.checked_at = boot;
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        record_clock(out, "vm-" + std::to_string(i), times[i], boot);
    }
    return out;
}

} // namespace

// Guards against requests counted twice because of hedges, repeats or several
// shards, and against requests counted that no target ran.
TEST_CASE("a request counts once, from its first send that may run", "[usage]")
{
    request_usage r;
    const auto count = [&](send_stage stage, std::uint32_t sends, duration at)
    { return count_sends(usage_rule::each_request, r, stage, sends, at); };
    CHECK(count(send_stage::written, 1, 10s).runs == 1);
    const usage_change denied = count(send_stage::not_run, 1, 10s);
    CHECK(denied.runs == -1);
    CHECK(denied.at == 10s);
    const usage_change again = count(send_stage::written, 2, 16s);
    CHECK(again.runs == 1);
    CHECK(again.at == 16s);
    CHECK(count(send_stage::written, 1, 17s).runs == 0);
    CHECK(count(send_stage::not_run, 2, 16s).runs == 0);
    CHECK(count(send_stage::not_run, 0, 16s).runs == 0);
    CHECK(count(send_stage::not_run, 5, 17s).runs == -1);
    CHECK(count(send_stage::not_run, 1, 17s).runs == 0);
}

// Guards against a count of runs that misses those of a delegate's shards.
TEST_CASE("each run counts under the other rule", "[usage]")
{
    request_usage r;
    CHECK(count_sends(usage_rule::each_run, r, send_stage::written, 3, 10s)
              .runs == 3);
    CHECK(count_sends(usage_rule::each_run, r, send_stage::not_run, 2, 10s)
              .runs == -2);
}

// Guards against windows that differ between VMs, and against counts that
// change after a window was closed.
TEST_CASE("a window is closed after it has settled", "[usage]")
{
    CHECK(window_of(-1ns, length) == -1);
    CHECK(window_of(0s, length) == 0);
    CHECK(window_of(length, length) == 1);
    usage_counts counts;
    counts.length = length;
    advance_windows(counts, 12s);
    CHECK(counts.first == 2);
    add_usage(counts, "a", {1, 13s}, 13s);
    add_usage(counts, "a", {1, 14s}, 15500ms);
    add_usage(counts, "a", {-1, 13s}, 15900ms);
    CHECK(!counts.windows.at(2).closed);
    advance_windows(counts, 16s);
    CHECK(counts.windows.at(2).closed);
    CHECK(counts.windows.at(2).counts.at("a") == 1);
    add_usage(counts, "a", {-1, 14s}, 16s);
    CHECK(counts.windows.at(2).counts.at("a") == 1);
    CHECK(counts.windows.at(2).exact);
    add_usage(counts, "b", {1, 16s}, 16s);
    add_usage(counts, "b", {-1, 16s}, 16s);
    CHECK(counts.windows.at(3).counts.empty());
}

// Guards against unbounded memory after a long pause or with many workspaces.
TEST_CASE("windows and workspaces are bounded", "[usage]")
{
    usage_counts counts;
    counts.length = 10ms;
    advance_windows(counts, 0s);
    advance_windows(counts, 1h);
    CHECK(counts.windows.size() == config::max_usage_windows);
    counts = {};
    counts.length = length;
    for (std::size_t i = 0; i <= config::max_usage_workspaces; ++i)
    {
        add_usage(counts, std::to_string(i), {1, 1s}, 1s);
    }
    CHECK(counts.windows.at(0).counts.size() == config::max_usage_workspaces);
    CHECK(!counts.windows.at(0).exact);
}

// Guards against counts in the wrong window that are reported as exact after a
// VM's clock was corrected.
TEST_CASE("a corrected clock makes open windows inexact", "[usage]")
{
    for (const duration step : {duration(-7s), duration(7s), duration(-200ms)})
    {
        usage_counts counts;
        counts.length = length;
        advance_windows(counts, 30s);
        advance_windows(counts, 38s);
        mark_clock_corrected(counts, 38s + step);
        CHECK(counts.windows.at(6).exact);
        CHECK(!counts.windows.at(7).exact);
        CHECK(!counts.windows.at(window_of(38s + step, length)).exact ==
              (step != -7s));
        CHECK(counts.first <= window_of(38s + step, length));
        add_usage(counts, "a", {1, 38s + step}, 38s + step);
        std::uint64_t sum = 0;
        for (const auto& [id, w] : counts.windows)
        {
            sum += w.counts.size();
            CHECK((!w.exact || w.counts.empty()));
        }
        CHECK(sum == 1);
    }
}

// Guards against a VM whose time of day was wrong at its start, and against one
// that follows a few wrong VMs or a slow link.
TEST_CASE("a clock follows the median of enough VMs", "[usage]")
{
    true_clock clock = start_clock(1000s, 10s);
    CHECK(true_time(clock, 12s) == 1002s);
    const duration boot = 100s;
    const std::vector<duration> times{2000s, 2000s, 2001s, 9999s, 0s};
    const clock_median median =
        median_clock(samples_of(times, boot), boot + 1s);
    CHECK(median.vms == 5);
    CHECK(median.time == 2001s);
    CHECK(!correct_clock(clock, median, 11s, 11500ms));
    CHECK(!correct_clock(clock, {median.time, 4}, 11s, 11s));
    CHECK(correct_clock(clock, median, 11s, 11100ms));
    CHECK(true_time(clock, 11100ms) == 2001050ms);
    CHECK(!correct_clock(clock, {2001200ms, 9}, 11100ms, 11100ms));
    CHECK(median_clock(samples_of(times, boot), boot + 1min).vms == 0);
}

// Guards against a collector that was frozen and takes the times of waiting
// messages for those at which they were sent.
TEST_CASE("times received after a pause are not used", "[usage]")
{
    clock_samples samples = samples_of({50s, 50s, 50s, 50s, 50s}, 10s);
    CHECK(median_clock(samples, 10s).vms == 5);
    note_clock_running(samples, 14s);
    record_clock(samples, "vm-0", 50s, 14s);
    CHECK(median_clock(samples, 14s).vms == 0);
    for (duration t = 14s; t <= 15s; t += 50ms)
    {
        note_clock_running(samples, t);
    }
    record_clock(samples, "vm-0", 55s, 15s);
    CHECK(median_clock(samples, 15s).vms == 1);
}
