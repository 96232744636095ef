#pragma once

#include <bramleymux/types.hpp>

#include <map>
#include <optional>
#include <string>

/// True time of day of a VM, as a duration since the start of 1970. It follows
/// the boot clock, so jumps of the time of day do not change it, and is
/// corrected if it differs from that of most other VMs.
namespace bramleymux
{

struct true_clock
{
    duration offset{}; ///< true time minus boot time
};

/// Times as durations: `time_of_day` since the start of 1970, `boot` since the
/// start of the machine.
true_clock
start_clock(duration time_of_day, duration boot);

duration
true_time(const true_clock& clock, duration boot);

/// Median of the times of several VMs at one moment.
struct clock_median
{
    duration time{};
    std::size_t vms = 0;
};

/// Sets the clock to a median that another VM sent, if it deviates too much.
/// `sent` and `received` are the boot times of the question and the reply.
/// Returns the correction, or nullopt if there was none.
std::optional<duration>
correct_clock(true_clock& clock, const clock_median& median, duration sent,
    duration received);

/// Times that other VMs sent to this one.
struct clock_samples
{
    struct sample
    {
        duration offset{};      ///< the sender's time minus this boot time
        duration received_at{}; ///< boot time
    };

    std::map<std::string, sample> by_vm;
    duration checked_at{};       ///< boot time at which the process last ran
    duration unreliable_until{}; ///< boot time
};

/// Call regularly, and before each message is handled. Drops all samples after
/// a pause of the process, since messages that arrived during it have waited.
void
note_clock_running(clock_samples& samples, duration boot);

void
record_clock(clock_samples& samples, const std::string& vm, duration time,
    duration boot);

/// Returns the median of the recent samples as of `boot`.
clock_median
median_clock(const clock_samples& samples, duration boot);

} // namespace bramleymux
