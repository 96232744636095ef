#include "slow_threshold.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

// Step size in units of log2. It decreases with the number of samples, so that
// the estimate converges fast at first and is stable later.
constexpr double first_step = 0.5;
constexpr double last_step = 0.05;

double
log_nanoseconds(duration value)
{
    return std::log2(static_cast<double>(
        std::max<std::int64_t>(std::chrono::nanoseconds(value).count(), 1)));
}

} // namespace

void
learn(slow_threshold& threshold, duration reply_time)
{
    const double sample = log_nanoseconds(reply_time);
    if (threshold.samples == 0)
    {
        threshold.log_quantile = sample;
    }
    const double step = std::max(last_step,
        first_step / (1.0 + static_cast<double>(threshold.samples) / 8.0));
    threshold.log_quantile += sample > threshold.log_quantile
                                  ? step * config::slow_quantile
                                  : -step * (1.0 - config::slow_quantile);
    ++threshold.samples;
}

bool
is_slow(const slow_threshold& threshold, duration reply_time)
{
    return threshold.samples >= config::slow_threshold_warmup &&
           log_nanoseconds(reply_time) >
               threshold.log_quantile +
                   std::log2(config::slow_threshold_factor);
}

} // namespace bramleymux
