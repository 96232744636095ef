#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>
#include <random>

/// Divides a request rate that all VMs share among them, without messages
/// between the VMs.
///
/// Answers the load of many VMs on one target: each VM sends at evenly spaced
/// times of its own, from a random start, so that the requests of all VMs are
/// spread. A time that passes unused soon expires. Otherwise VMs that had no
/// use for the target would all keep one, and use them at the same moment when
/// its replicas fail.
namespace bramleymux
{

/// Registered VMs that share what a target takes from all of them.
struct vm_split
{
    std::size_t in_zone = 0; ///< in the target's zone
    std::size_t elsewhere = 0;
    bool same_zone = false; ///< this VM is in the target's zone
};

/// Returns this VM's part of a rate, 0 to 1; the parts of all VMs add up to 1.
/// The VMs of the target's zone get most of it, as they send most of its
/// requests.
double
rate_part(const vm_split& vms);

/// Evenly spaced times at which one VM may send to a target.
struct send_schedule
{
    monotonic_time next{}; ///< earliest unused time
};

/// Returns the time between two requests at `rate` requests/s: more than zero,
/// and at most `config::max_send_interval`.
duration
send_interval(double rate);

/// Starts a schedule at a random time within one interval from `now`.
void
start_schedule(send_schedule& schedule, duration interval, monotonic_time now,
    std::mt19937_64& random);

/// Changes the interval of a schedule. The wait for its next time changes in
/// proportion, so that a rate that changes often is kept, and the VMs stay
/// spread.
void
rescale_schedule(
    send_schedule& schedule, duration from, duration to, monotonic_time now);

/// Returns the earliest time of the schedule that has not expired by `now`.
monotonic_time
next_send(const send_schedule& schedule, duration interval, monotonic_time now);

/// Uses up the time that `next_send` returns.
void
record_send(send_schedule& schedule, duration interval, monotonic_time now);

} // namespace bramleymux
