#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the system. Every fixed array and every bound takes its size here.
namespace bramleymux::config
{

using namespace std::chrono_literals;

inline constexpr std::size_t kib = 1024;
inline constexpr std::size_t mib = 1024 * kib;

// Registry sizes: the target of 410 VMs, 1,800 searchers, 8 zones, with two
// versions of each target during a move.
inline constexpr std::size_t max_vms = 512;
inline constexpr std::size_t max_zones = 16;
inline constexpr std::size_t max_services = 128;
inline constexpr std::size_t max_routes = 512;
inline constexpr std::size_t max_versions = 512;
inline constexpr std::size_t max_targets = 4096;
inline constexpr std::size_t max_shards = 8192;
inline constexpr std::size_t max_moves = 64;

inline constexpr std::size_t target_state_shards = 16;
inline constexpr std::size_t max_queue_per_target = 256;
inline constexpr std::size_t max_worker_threads = 128;
inline constexpr std::size_t max_caller_threads = 64;

inline constexpr std::size_t max_request_body_bytes = 256 * kib;
inline constexpr std::size_t max_reply_body_bytes = 4 * mib;
inline constexpr std::size_t max_peer_message_bytes = 8 * mib;
inline constexpr std::size_t max_table_bytes = mib;

inline constexpr auto default_deadline = 1000ms;
inline constexpr auto max_deadline = 30s;

// Ownership. Deadlines sent to targets never pass the end of the lease.
inline constexpr auto view_lease = 3s;
inline constexpr auto view_renewal = 500ms;

// Membership.
inline constexpr auto probe_period = 500ms;
inline constexpr auto probe_timeout = 250ms;
inline constexpr auto suspicion_timeout = 2s;
inline constexpr std::size_t indirect_probes = 2;
inline constexpr std::size_t max_gossip_bytes = 1200;
inline constexpr std::size_t watchers_per_zone = 2;

// Targets.
inline constexpr auto status_poll_period = 500ms;
inline constexpr std::size_t slow_reply_window = 8;
inline constexpr std::size_t slow_replies_for_cold = 3;
inline constexpr double slow_reply_factor = 5.0;
inline constexpr std::size_t sheds_for_cold = 2;

// Extra load from hedges and retries, as a share of the shards asked.
inline constexpr double extra_load_share = 0.05;
inline constexpr double hedge_quantile = 0.97;
inline constexpr auto shed_penalty = 10s;

// Routing.
inline constexpr std::size_t max_snapshots_per_service = 16;
inline constexpr std::size_t max_candidates = 64; // replicas compared per shard
inline constexpr auto overload_block_base = 5ms;
inline constexpr auto overload_block_cap = 200ms;
inline constexpr auto failure_block_base = 50ms;
inline constexpr auto failure_block_cap = 1s;

// Latency sketch: 97 buckets that grow by 15% cover 50 us to 33 s, which is
// above `max_deadline`.
inline constexpr std::size_t latency_buckets = 97;
inline constexpr double latency_bucket_growth = 1.15;
inline constexpr auto latency_first_bucket = 50us;
inline constexpr auto latency_half_life = 30s;
inline constexpr auto latency_decay_step = 1s;
inline constexpr double latency_mean_gain = 0.1; // weight of a new sample
// A slow target is tried again once its mean has decayed; 50x takes 28 s.
inline constexpr auto latency_mean_half_life = 5s;

// Hedges.
inline constexpr auto initial_hedge_delay = 50ms;
inline constexpr auto min_hedge_delay = 1ms;
inline constexpr double min_hedge_samples = 50;

// Budgets in shards. Retries after a refusal cause no execution, so their
// budget is larger than the one for extra load.
inline constexpr double max_extra_load_tokens = 1000;
inline constexpr double retry_share = 0.2;
inline constexpr double max_retry_tokens = 2000;

// Platform.
inline constexpr auto platform_timeout = 2s;
inline constexpr auto idempotency_expiry = 24h;
inline constexpr auto controller_lease = 5s;

} // namespace bramleymux::config
