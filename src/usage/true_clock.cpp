#include "usage/true_clock.hpp"

#include "config/usage.hpp"

#include <algorithm>
#include <vector>

namespace bramleymux
{

true_clock
start_clock(duration time_of_day, duration boot)
{
    return {time_of_day - boot};
}

duration
true_time(const true_clock& clock, duration boot)
{
    return boot + clock.offset;
}

std::optional<duration>
correct_clock(true_clock& clock, const clock_median& median, duration sent,
    duration received)
{
    const duration round_trip = received - sent;
    if (median.vms < config::min_clock_vms ||
        round_trip > config::max_clock_round_trip)
    {
        return std::nullopt;
    }
    const duration correction =
        median.time + round_trip / 2 - true_time(clock, received);
    if (correction <= config::max_clock_deviation &&
        correction >= -duration(config::max_clock_deviation))
    {
        return std::nullopt;
    }
    clock.offset += correction;
    return correction;
}

void
note_clock_running(clock_samples& samples, duration boot)
{
    if (boot - samples.checked_at > config::clock_pause_threshold)
    {
        samples.by_vm.clear();
        samples.unreliable_until = boot + config::clock_pause_recovery;
    }
    samples.checked_at = boot;
}

void
record_clock(
    clock_samples& samples, const std::string& vm, duration time, duration boot)
{
    const bool known = samples.by_vm.count(vm) != 0;
    const bool room = samples.by_vm.size() < config::max_usage_sources;
    if (boot >= samples.unreliable_until && (known || room))
    {
        samples.by_vm[vm] = {time - boot, boot};
    }
}

clock_median
median_clock(const clock_samples& samples, duration boot)
{
    std::vector<duration> offsets;
    for (const auto& [vm, s] : samples.by_vm)
    {
        if (boot - s.received_at <= config::clock_sample_max_age)
        {
            offsets.push_back(s.offset);
        }
    }
    if (offsets.empty())
    {
        return {};
    }
    const auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return {boot + *middle, offsets.size()};
}

} // namespace bramleymux
