#pragma once

#include "config.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <random>

/// Latency measurements of the entry VM, and the budgets of extra load.
namespace bramleymux
{

/// Histogram with log-spaced buckets whose old samples fade.
struct latency_sketch
{
    std::array<double, config::latency_buckets> counts{};
    monotonic_time decayed_at{};
};

/// Fades the samples to `now`.
void
decay(latency_sketch& sketch, monotonic_time now);

void
record(latency_sketch& sketch, duration sample, monotonic_time now);

/// Faded number of samples.
double
total(const latency_sketch& sketch);

/// Latency below which the share `q` of the samples lies; zero when empty.
duration
quantile(const latency_sketch& sketch, double q);

/// Adds the samples of `other`, both faded to `now`.
void
merge(latency_sketch& sketch, const latency_sketch& other, monotonic_time now);

/// Compact form: [bucket, count, bucket, count, ...] of non-empty buckets.
nlohmann::json
to_json(const latency_sketch& sketch);

/// False when the value is not a compact form; the sketch is `now` old.
bool
parse_sketch(
    const nlohmann::json& value, monotonic_time now, latency_sketch& out);

/// Exponentially weighted mean of the latency of one target.
struct latency_mean
{
    double value_us = 0.0; ///< 0 = not measured
    monotonic_time updated{};
};

void
record(latency_mean& mean, duration sample, monotonic_time now);

/// For a request that was cancelled or timed out after `elapsed`: raises the
/// mean, but never lowers it, since the true latency is unknown but larger.
void
record_at_least(latency_mean& mean, duration elapsed, monotonic_time now);

/// The mean, reduced while there are no samples, so that a target that was slow
/// is tried again.
double
expected_us(const latency_mean& mean, monotonic_time now);

/// Time after which a sub-request of the route is hedged.
duration
hedge_delay(const latency_sketch& route);

/// Token bucket in shards that bounds hedges and retries of a VM.
struct extra_load_budget
{
    double share = config::extra_load_share; ///< earned for each shard asked
    double tokens = 0.0;
    monotonic_time penalty_until{};
};

/// Halves earnings and the bucket for `config::shed_penalty`.
void
note_shed(extra_load_budget& budget, monotonic_time now);

void
earn(extra_load_budget& budget, std::size_t shards, monotonic_time now);

/// False, and nothing is spent, when fewer than `shards` tokens are left.
bool
spend(extra_load_budget& budget, std::size_t shards);

/// Token bucket in shards for retries of one service. It starts full, so that
/// the loss of a replica costs no coverage.
struct retry_budget
{
    double tokens = config::max_retry_tokens;
};

void
earn(retry_budget& budget, std::size_t shards);

bool
spend(retry_budget& budget, std::size_t shards);

/// A retry after a truthful not_run spends from `retries` only, since nothing
/// was executed; any other retry spends from `extra`, then from `retries`.
bool
spend_retry(extra_load_budget& extra, retry_budget& retries, run_state run,
    std::size_t shards);

/// Uniform in [0, min(cap, base x 2^(attempt - 1))] for attempts from 1.
duration
full_jitter(std::uint32_t attempt, duration base, duration cap,
    std::mt19937_64& random);

} // namespace bramleymux
