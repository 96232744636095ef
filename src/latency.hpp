#pragma once

#include "config.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <random>

/// Latency measurements of an entry VM, and the budgets that bound the extra
/// load of its hedges and retries.
namespace bramleymux
{

/// Histogram with logarithmically spaced buckets, whose samples decay
/// exponentially.
struct latency_sketch
{
    std::array<double, config::latency_buckets> counts{};
    monotonic_time decayed_at{};
};

/// Decays the samples to `now`. Does nothing within
/// `config::latency_decay_step` of the previous decay.
void
decay(latency_sketch& sketch, monotonic_time now);

void
record(latency_sketch& sketch, duration sample, monotonic_time now);

/// Returns the number of samples, weighted by their decay.
double
total(const latency_sketch& sketch);

/// Returns the latency below which the share `q` (0 to 1) of the samples lies,
/// or zero if there are none.
duration
quantile(const latency_sketch& sketch, double q);

/// Adds the samples of `other`, with both decayed to `now`.
void
merge(latency_sketch& sketch, const latency_sketch& other, monotonic_time now);

/// Compact form: [bucket, count, bucket, count, ...] of the non-empty buckets.
nlohmann::json
to_json(const latency_sketch& sketch);

/// Parses the compact form into a sketch decayed to `now`. Returns false, and
/// leaves `out` unchanged, if the value is not valid.
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

/// Records a request that was cancelled or timed out after `elapsed`. Raises
/// the mean but never lowers it, since the true latency is unknown but larger.
void
record_at_least(latency_mean& mean, duration elapsed, monotonic_time now);

/// Returns the mean in microseconds, decayed over the time without samples so
/// that a target that was slow is tried again; 0 if not measured.
double
expected_us(const latency_mean& mean, monotonic_time now);

/// Returns the time after which a sub-request of the route is hedged: a high
/// quantile of its latency, or a fixed delay while there are few samples.
duration
hedge_delay(const latency_sketch& route);

/// Token bucket that bounds the hedges and retries of a VM. A token pays for
/// one shard.
struct extra_load_budget
{
    double share = config::extra_load_share; ///< earned per requested shard
    double tokens = 0.0;
    monotonic_time penalty_until{};
};

/// Records that a target shed a sub-request: halves the earnings and the size
/// of the bucket for `config::shed_penalty`.
void
record_shed(extra_load_budget& budget, monotonic_time now);

/// Adds the tokens earned by a query over `shards` shards.
void
earn(extra_load_budget& budget, std::size_t shards, monotonic_time now);

/// Takes `shards` tokens. Returns false, and takes none, if fewer are left.
bool
spend(extra_load_budget& budget, std::size_t shards);

/// Token bucket for the retries of one service. A token pays for one shard. The
/// bucket starts full, so that the loss of a replica costs no coverage.
struct retry_budget
{
    double tokens = config::max_retry_tokens;
};

void
earn(retry_budget& budget, std::size_t shards);

bool
spend(retry_budget& budget, std::size_t shards);

/// Pays for a retry of a sub-request with run state `run`. A retry after a
/// truthful not_run spends from `retries` only, since nothing was executed; any
/// other spends from `extra` or, if that is too low, from `retries`. Returns
/// false if neither budget suffices.
bool
spend_retry(extra_load_budget& extra, retry_budget& retries, run_state run,
    std::size_t shards);

/// Exponential backoff with full jitter: uniform in
/// [0, min(cap, base * 2^(attempt - 1))], where `attempt` starts at 1.
duration
full_jitter(std::uint32_t attempt, duration base, duration cap,
    std::mt19937_64& random);

} // namespace bramleymux
