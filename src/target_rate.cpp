#include "target_rate.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

double
rate_part(const vm_split& vms)
{
    const auto near = static_cast<double>(vms.in_zone);
    const auto far = static_cast<double>(vms.elsewhere);
    if (near == 0.0 || far == 0.0)
    {
        return 1.0 / std::max(near + far, 1.0);
    }
    return vms.same_zone ? config::own_zone_rate_share / near
                         : (1.0 - config::own_zone_rate_share) / far;
}

duration
send_interval(double rate)
{
    const std::chrono::duration<double> longest = config::max_send_interval;
    const double seconds = 1.0 / std::max(rate, 1.0 / longest.count());
    const auto interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
    return std::max(interval, duration(1));
}

void
start_schedule(send_schedule& schedule, duration interval, monotonic_time now,
    std::mt19937_64& random)
{
    std::uniform_real_distribution<double> part(0.0, 1.0);
    schedule.next =
        now + std::chrono::duration_cast<duration>(part(random) * interval);
}

void
rescale_schedule(
    send_schedule& schedule, duration from, duration to, monotonic_time now)
{
    const duration left = schedule.next - now;
    if (left > duration::zero())
    {
        const double ratio =
            static_cast<double>(to.count()) / static_cast<double>(from.count());
        schedule.next =
            now + std::chrono::duration_cast<duration>(left * ratio);
    }
}

monotonic_time
next_send(const send_schedule& schedule, duration interval, monotonic_time now)
{
    const duration expired = now - config::unused_send_lifetime - schedule.next;
    if (expired <= duration::zero())
    {
        return schedule.next;
    }
    const duration::rep skipped =
        (expired.count() + interval.count() - 1) / interval.count();
    return schedule.next + skipped * interval;
}

void
record_send(send_schedule& schedule, duration interval, monotonic_time now)
{
    schedule.next = next_send(schedule, interval, now) + interval;
}

} // namespace bramleymux
