#include "platform_budget.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr std::array<double, static_cast<std::size_t>(platform_call::count)>
    fleet_rates{config::idempotency_calls_per_second,
        config::table_calls_per_second, config::status_calls_per_second,
        config::lease_calls_per_second, config::list_calls_per_second};

double
seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Capacity of a bucket: one second of calls, but at least one call.
double
capacity(double rate)
{
    return std::max(rate, 1.0);
}

/// Fraction of the normal rate; grows linearly after an outage, from
/// `outage_ramp_start` to 1.
double
ramp_fraction(const platform_budget& budget, monotonic_time now)
{
    const double fraction =
        seconds(now - budget.ramp_since) / seconds(config::outage_ramp);
    return std::clamp(fraction, config::outage_ramp_start, 1.0);
}

} // namespace

duration
next_delay(backoff& b, std::mt19937_64& random)
{
    const duration cap = config::platform_outage_backoff_cap;
    // 20 doublings exceed the cap and cannot overflow.
    const duration limit =
        std::min<duration>(cap, config::platform_outage_backoff_base *
                                    (1 << std::min(b.failures, 20U)));
    ++b.failures;
    return duration(
        std::uniform_int_distribution<duration::rep>(0, limit.count())(random));
}

platform_budget
make_budget(std::size_t vm_count, monotonic_time now)
{
    platform_budget budget;
    budget.vm_count = std::max<std::size_t>(vm_count, 1);
    budget.ramp_since = now - config::outage_ramp;
    for (std::size_t k = 0; k < budget.buckets.size(); ++k)
    {
        budget.buckets[k] = {
            capacity(call_rate(budget, static_cast<platform_call>(k), now)),
            now};
    }
    return budget;
}

double
call_rate(const platform_budget& budget, platform_call kind, monotonic_time now)
{
    return fleet_rates[static_cast<std::size_t>(kind)] /
           static_cast<double>(budget.vm_count) * ramp_fraction(budget, now);
}

bool
take_call(platform_budget& budget, platform_call kind, monotonic_time now,
    std::mt19937_64& random)
{
    if (budget.in_outage)
    {
        if (now < budget.retry_at)
        {
            return false;
        }
        // This call probes the platform; further calls wait for its result or
        // its timeout.
        budget.retry_at = now + config::platform_timeout +
                          next_delay(budget.failures, random);
        return true;
    }
    token_bucket& bucket = budget.buckets[static_cast<std::size_t>(kind)];
    const double rate = call_rate(budget, kind, now);
    bucket.tokens = std::min(capacity(rate),
        bucket.tokens + rate * seconds(now - bucket.last_refill));
    bucket.last_refill = now;
    if (bucket.tokens < 1.0)
    {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

void
record_call(platform_budget& budget, bool is_reachable, monotonic_time now,
    std::mt19937_64& random)
{
    if (!is_reachable)
    {
        budget.in_outage = true;
        budget.retry_at = now + next_delay(budget.failures, random);
        return;
    }
    if (!budget.in_outage)
    {
        return;
    }
    // Empty buckets and the ramp keep the VMs from calling all at once; the
    // random debt spreads their next calls.
    std::uniform_real_distribution<double> debt(-1.0, 0.0);
    budget.in_outage = false;
    budget.failures = {};
    budget.ramp_since = now;
    for (token_bucket& bucket : budget.buckets)
    {
        bucket = {debt(random), now};
    }
}

shared_budget::shared_budget(platform_budget budget, std::uint64_t seed)
    : budget_(budget), random_(seed)
{
}

bool
shared_budget::take(platform_call kind, monotonic_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return take_call(budget_, kind, now, random_);
}

void
shared_budget::record(bool is_reachable, monotonic_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    record_call(budget_, is_reachable, now, random_);
}

bool
shared_budget::in_outage()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return budget_.in_outage;
}

void
shared_budget::set_vm_count(std::size_t vm_count)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_.vm_count = std::max<std::size_t>(vm_count, 1);
}

budgeted_platform::budgeted_platform(platform_api& platform,
    shared_budget& budget, platform_call kind,
    std::function<monotonic_time()> clock)
    : platform_(platform), budget_(budget), kind_(kind),
      clock_(std::move(clock))
{
}

template <class Result, class Call>
Result
budgeted_platform::call(Call&& send)
{
    if (!budget_.take(kind_, clock_()))
    {
        return budget_.in_outage() ? platform_errc::unavailable
                                   : platform_errc::rate_limited;
    }
    Result result = send();
    const bool is_reachable =
        result || (result.error() != platform_errc::unavailable &&
                      result.error() != platform_errc::reply_lost);
    budget_.record(is_reachable, clock_());
    return result;
}

platform_result<object>
budgeted_platform::get(const std::string& key)
{
    return call<platform_result<object>>([&] { return platform_.get(key); });
}

platform_result<std::uint64_t>
budgeted_platform::put(
    const std::string& key, const nlohmann::json& value, std::uint64_t expected)
{
    return call<platform_result<std::uint64_t>>(
        [&] { return platform_.put(key, value, expected); });
}

platform_result<void>
budgeted_platform::remove(const std::string& key, std::uint64_t expected)
{
    return call<platform_result<void>>(
        [&] { return platform_.remove(key, expected); });
}

platform_result<std::vector<object>>
budgeted_platform::list(const std::string& prefix)
{
    return call<platform_result<std::vector<object>>>(
        [&] { return platform_.list(prefix); });
}

platform_result<std::optional<object>>
budgeted_platform::watch(
    const std::string& key, std::uint64_t after, duration timeout)
{
    return call<platform_result<std::optional<object>>>(
        [&] { return platform_.watch(key, after, timeout); });
}

platform_result<std::vector<vm_list_entry>>
budgeted_platform::vms()
{
    return call<platform_result<std::vector<vm_list_entry>>>(
        [&] { return platform_.vms(); });
}

} // namespace bramleymux
