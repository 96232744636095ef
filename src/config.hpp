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
inline constexpr std::size_t max_zone_probes = 8;   // per probe period
inline constexpr std::size_t max_hint_probes = 8;   // per probe period
inline constexpr std::size_t max_urgent_probes = 8; // per probe period
inline constexpr std::size_t max_probe_relays = 64;
inline constexpr std::size_t max_leave_messages = 16;
inline constexpr std::size_t max_digest_counter_bytes = 128;
inline constexpr auto hint_retry_max = 10s;
inline constexpr auto dead_retry_period = 2s;
inline constexpr auto contradiction_period = 5s;
inline constexpr auto forget_dead_after = 1h;
// A gap between two ticks above this limit means that this VM was paused.
inline constexpr auto membership_pause = 1s;
// Transmissions of one update: the factor times ceil(log10(members + 1)).
inline constexpr std::size_t state_retransmit_factor = 4;
inline constexpr std::size_t digest_retransmit_factor = 2;

// Table distribution.
inline constexpr std::size_t max_watchers_per_zone = 8;
inline constexpr std::size_t relays_per_zone = 2;
inline constexpr std::size_t max_table_offers = 6; // to one VM
inline constexpr auto table_offer_period = 250ms;
inline constexpr auto table_request_timeout = 500ms;

// Peer link.
inline constexpr std::size_t max_peer_message_depth = 32;
inline constexpr std::size_t max_peer_message_items = 512 * kib;
inline constexpr std::size_t max_peer_send_queue_bytes = 16 * mib;
inline constexpr std::size_t max_vm_text_bytes = 64; // id, zone or address
inline constexpr auto peer_reconnect_min = 50ms;
inline constexpr auto peer_reconnect_max = 2s;
inline constexpr auto peer_hello_timeout = 3s;
inline constexpr auto peer_unacked_timeout = 5s;
inline constexpr auto peer_close_timeout = 1s;

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

// Platform.
inline constexpr auto platform_timeout = 2s;
inline constexpr auto idempotency_expiry = 24h;
inline constexpr auto controller_lease = 5s;

} // namespace bramleymux::config
