#include "extra_load_window.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

// The ring holds one bucket more than the window spans, so that the buckets
// always cover at least the whole window.
constexpr std::int64_t buckets_of_window =
    static_cast<std::int64_t>(config::extra_load_buckets) - 1;

std::int64_t
epoch_of(const extra_load_limits& limits, monotonic_time now)
{
    const auto width =
        std::max<std::int64_t>(limits.window.count() / buckets_of_window, 1);
    return now.time_since_epoch().count() / width;
}

extra_load_window::bucket&
current(extra_load_window& window, std::int64_t epoch)
{
    auto& bucket = window.buckets[static_cast<std::size_t>(epoch) %
                                  config::extra_load_buckets];
    if (bucket.epoch != epoch)
    {
        bucket = {epoch, 0, 0};
    }
    return bucket;
}

} // namespace

void
record_first_send(extra_load_window& window, const extra_load_limits& limits,
    monotonic_time now)
{
    ++current(window, epoch_of(limits, now)).first;
}

bool
has_extra_budget(const extra_load_window& window,
    const extra_load_limits& limits, std::size_t vms, std::size_t sends,
    monotonic_time now)
{
    const std::int64_t epoch = epoch_of(limits, now);
    double first = 0;
    double extra = 0;
    for (const auto& b : window.buckets)
    {
        if (b.epoch > epoch - static_cast<std::int64_t>(window.buckets.size()))
        {
            first += b.first;
            extra += b.extra;
        }
    }
    // The ring covers up to one bucket more than the window. Scales the first
    // sends down, since those of the oldest bucket may be outside the window.
    const double counted = first * static_cast<double>(buckets_of_window) /
                           static_cast<double>(window.buckets.size());
    const double slack =
        limits.slack / static_cast<double>(std::max<std::size_t>(vms, 1));
    const double allowed =
        config::usable_extra_load_share * (limits.ratio * counted + slack);
    return extra + static_cast<double>(sends) <= allowed;
}

bool
take_extra_budget(extra_load_window& window, const extra_load_limits& limits,
    std::size_t vms, monotonic_time now)
{
    if (!has_extra_budget(window, limits, vms, 1, now))
    {
        return false;
    }
    ++current(window, epoch_of(limits, now)).extra;
    return true;
}

} // namespace bramleymux
