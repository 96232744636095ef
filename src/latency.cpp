#include "latency.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bramleymux
{

using nlohmann::json;

namespace
{

/// Resolution of counts in the compact form; lower counts are dropped.
constexpr double min_count = 0.01;
/// Highest count accepted from a peer, which no route can reach.
constexpr double max_count = 1e12;

double
microseconds_of(duration d)
{
    return std::chrono::duration<double, std::micro>(d).count();
}

duration
from_microseconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(value));
}

/// Returns the factor by which a value decays over `elapsed`.
double
decay_factor(duration elapsed, duration half_life)
{
    return elapsed <= duration::zero() ? 1.0
                                       : std::exp2(-microseconds_of(elapsed) /
                                                   microseconds_of(half_life));
}

std::size_t
bucket_of(duration sample)
{
    const double ratio =
        microseconds_of(sample) / microseconds_of(config::latency_first_bucket);
    if (ratio <= 1.0)
    {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(
        std::ceil(std::log(ratio) / std::log(config::latency_bucket_growth)));
    return std::min(bucket, config::latency_buckets - 1);
}

/// Returns the upper bound of a bucket; a fractional argument interpolates
/// within the bucket.
duration
bound_of(double bucket)
{
    return from_microseconds(microseconds_of(config::latency_first_bucket) *
                             std::pow(config::latency_bucket_growth, bucket));
}

double
max_tokens(const extra_load_budget& budget, monotonic_time now)
{
    return now < budget.penalty_until ? config::max_extra_load_tokens / 2
                                      : config::max_extra_load_tokens;
}

/// Takes one token per shard. Returns false, and takes none, if too few are
/// left.
bool
take_tokens(double& tokens, std::size_t shards)
{
    if (tokens < static_cast<double>(shards))
    {
        return false;
    }
    tokens -= static_cast<double>(shards);
    return true;
}

} // namespace

void
decay(latency_sketch& sketch, monotonic_time now)
{
    const auto elapsed = now - sketch.decayed_at;
    if (elapsed < config::latency_decay_step)
    {
        return;
    }
    const double factor = decay_factor(elapsed, config::latency_half_life);
    for (auto& count : sketch.counts)
    {
        count *= factor;
    }
    sketch.decayed_at = now;
}

void
record(latency_sketch& sketch, duration sample, monotonic_time now)
{
    decay(sketch, now);
    sketch.counts[bucket_of(sample)] += 1.0;
}

double
total(const latency_sketch& sketch)
{
    return std::accumulate(sketch.counts.begin(), sketch.counts.end(), 0.0);
}

duration
quantile(const latency_sketch& sketch, double q)
{
    const double all = total(sketch);
    if (all <= 0.0)
    {
        return duration::zero();
    }
    double left = std::clamp(q, 0.0, 1.0) * all;
    std::size_t last = 0;
    for (std::size_t i = 0; i < sketch.counts.size(); ++i)
    {
        const double count = sketch.counts[i];
        if (count <= 0.0)
        {
            continue;
        }
        last = i;
        if (left <= count)
        {
            return bound_of(static_cast<double>(i) - 1.0 + left / count);
        }
        left -= count;
    }
    return bound_of(static_cast<double>(last));
}

void
merge(latency_sketch& sketch, const latency_sketch& other, monotonic_time now)
{
    decay(sketch, now);
    const double factor =
        decay_factor(now - other.decayed_at, config::latency_half_life);
    for (std::size_t i = 0; i < sketch.counts.size(); ++i)
    {
        sketch.counts[i] += other.counts[i] * factor;
    }
}

json
to_json(const latency_sketch& sketch)
{
    json result = json::array();
    for (std::size_t i = 0; i < sketch.counts.size(); ++i)
    {
        if (sketch.counts[i] >= min_count)
        {
            result.push_back(i);
            result.push_back(
                std::round(sketch.counts[i] / min_count) * min_count);
        }
    }
    return result;
}

bool
parse_sketch(const json& value, monotonic_time now, latency_sketch& out)
{
    if (!value.is_array() || value.size() % 2 != 0 ||
        value.size() > 2 * config::latency_buckets)
    {
        return false;
    }
    latency_sketch result;
    result.decayed_at = now;
    for (std::size_t i = 0; i < value.size(); i += 2)
    {
        if (!value[i].is_number_unsigned() || !value[i + 1].is_number())
        {
            return false;
        }
        const auto bucket = value[i].get<std::uint64_t>();
        const auto count = value[i + 1].get<double>();
        if (bucket >= config::latency_buckets ||
            !(count >= 0.0 && count <= max_count))
        {
            return false;
        }
        result.counts[bucket] += count;
    }
    out = result;
    return true;
}

void
record(latency_mean& mean, duration sample, monotonic_time now)
{
    const double value = std::max(microseconds_of(sample), 1.0);
    // The older the mean, the lower its weight against the new sample.
    const double kept =
        (1.0 - config::latency_mean_gain) *
        decay_factor(now - mean.updated, config::latency_mean_half_life);
    mean.value_us = mean.value_us <= 0.0
                        ? value
                        : kept * mean.value_us + (1.0 - kept) * value;
    mean.updated = now;
}

void
record_at_least(latency_mean& mean, duration elapsed, monotonic_time now)
{
    if (microseconds_of(elapsed) > expected_us(mean, now))
    {
        record(mean, elapsed, now);
    }
}

double
expected_us(const latency_mean& mean, monotonic_time now)
{
    return mean.value_us *
           decay_factor(now - mean.updated, config::latency_mean_half_life);
}

duration
hedge_delay(const latency_sketch& route)
{
    if (total(route) < config::min_hedge_samples)
    {
        return config::initial_hedge_delay;
    }
    return std::max<duration>(
        quantile(route, config::hedge_quantile), config::min_hedge_delay);
}

void
record_shed(extra_load_budget& budget, monotonic_time now)
{
    budget.penalty_until = now + config::shed_penalty;
    budget.tokens = std::min(budget.tokens, max_tokens(budget, now));
}

void
earn(extra_load_budget& budget, std::size_t shards, monotonic_time now)
{
    const double share =
        now < budget.penalty_until ? budget.share / 2 : budget.share;
    budget.tokens =
        std::min(budget.tokens + share * static_cast<double>(shards),
            max_tokens(budget, now));
}

bool
spend(extra_load_budget& budget, std::size_t shards)
{
    return take_tokens(budget.tokens, shards);
}

void
earn(retry_budget& budget, std::size_t shards)
{
    budget.tokens = std::min(
        budget.tokens + config::retry_share * static_cast<double>(shards),
        config::max_retry_tokens);
}

bool
spend(retry_budget& budget, std::size_t shards)
{
    return take_tokens(budget.tokens, shards);
}

bool
spend_retry(extra_load_budget& extra, retry_budget& retries, run_state run,
    std::size_t shards)
{
    if (run != run_state::not_run && spend(extra, shards))
    {
        return true;
    }
    return spend(retries, shards);
}

duration
full_jitter(
    std::uint32_t attempt, duration base, duration cap, std::mt19937_64& random)
{
    auto bound = std::min(base, cap);
    for (std::uint32_t i = 1; i < attempt && bound < cap; ++i)
    {
        bound = std::min(bound * 2, cap);
    }
    return duration(
        std::uniform_int_distribution<duration::rep>(0, bound.count())(random));
}

} // namespace bramleymux
