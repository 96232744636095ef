#pragma once

#include <array>
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
inline constexpr std::size_t max_edit_records = 256;
inline constexpr std::size_t max_edit_attempts = 16;
inline constexpr std::size_t max_name_bytes = 64;
inline constexpr std::size_t max_cause_bytes = 512;
inline constexpr std::uint32_t max_slots_per_target = 1024;
inline constexpr std::uint32_t max_connections_per_target = 1024;
inline constexpr std::uint32_t max_connect_cost_ms = 10'000;

inline constexpr auto default_deadline = 1000ms;
inline constexpr auto max_deadline = 30s;

// Ownership. Deadlines sent to targets never pass the end of the lease.
inline constexpr auto view_lease = 3s;
inline constexpr auto view_renewal = 500ms;
// Taken off the end of a lease, for the way of a request to its target, whose
// deadline travels as remaining time.
inline constexpr auto lease_margin = 50ms;
// Period of requests while a VM listens for peers that may hold a lease.
inline constexpr auto view_listen_period = 100ms;
// A VM listens this long before it relies on not having heard from a peer: a
// lease, in which every promise that a former run gave ends, and then five
// requests that a peer in the same state would take for a sign of life.
inline constexpr auto settle_time = view_lease + 5 * view_listen_period;
// A gap between two ticks that is treated as a pause of the process.
inline constexpr auto pause_gap = 1500ms;
// The same while listening, where each missed request weighs more.
inline constexpr auto listen_gap = 250ms;

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
// Successes of a cold target for each further slot. A failed attempt doubles
// the number, since the target warms up more slowly than assumed.
inline constexpr std::uint32_t successes_per_slot = 100;
inline constexpr std::uint32_t max_successes_per_slot = 1600;
// Step of the learned median latency for each reply, as a share of its value.
inline constexpr double latency_step = 0.05;
// Every eighth start takes the earliest deadline whatever its worth.
inline constexpr std::uint32_t fair_start_period = 8;
inline constexpr std::size_t failures_for_unreachable = 2;
inline constexpr auto first_probe_delay = 100ms;
inline constexpr auto max_probe_delay = 5s;

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
// HTTP clients.
inline constexpr std::size_t http_read_bytes = 16 * kib;
inline constexpr std::size_t platform_connections = 8;
inline constexpr auto target_cancel_timeout = 100ms;
inline constexpr auto target_status_timeout = 1s;

// Admission. One window holds enough replies to judge, and is short against
// the deadlines.
inline constexpr auto admission_window = 100ms;
inline constexpr std::size_t min_admission_samples = 20; // sub-replies
inline constexpr std::size_t max_admission_windows = 10; // until it is judged
inline constexpr double max_refused_share = 0.05;        // of sub-replies
inline constexpr double max_queue_ratio = 1.0;     // queue time / target time
inline constexpr double limit_decrease = 0.85;     // factor in a window
inline constexpr double limit_increase = 0.03;     // of the limit, in a window
inline constexpr double min_limit_increase = 0.25; // queries, in a window
// Routes above the threshold may exceed the limit for a moment, since a VM's
// limit can be as low as a few queries.
inline constexpr double burst_factor = 1.5;     // of the limit
inline constexpr double burst_queries = 2;      // in addition
inline constexpr double admission_gain = 0.3;   // weight of a new window
inline constexpr double route_time_gain = 0.05; // weight of a new query
inline constexpr auto initial_route_time = 20ms;
// Threads kept for refusals; services below their floor may use some of them.
inline constexpr std::size_t reserved_caller_threads = 8;
inline constexpr std::size_t refusal_threads = 2;
// Readiness waits this long after the start for a snapshot of every service;
// a service that has lost all targets must not keep a VM unready.
inline constexpr auto ready_grace = 10s;
// Sum of the floors of services whose row sets none.
inline constexpr double default_floor_total = 0.05;

// Platform.
inline constexpr auto platform_timeout = 2s;
inline constexpr auto idempotency_expiry = 24h;
inline constexpr auto controller_lease = 5s;
inline constexpr auto lease_renewal = 1500ms;
// A holder stops this long before its lease ends, for clocks that drift.
inline constexpr auto controller_lease_margin = 500ms;
inline constexpr auto backoff_base = 100ms;
inline constexpr auto backoff_cap = 10s;
// Time over which call rates grow back to normal after an outage.
inline constexpr auto outage_ramp = 10s;
inline constexpr double outage_ramp_start = 0.1;
// Calls a second of the whole fleet by kind: below the platform's several
// hundred writes and two thousand reads a second.
inline constexpr double idempotency_call_rate = 300.0;
inline constexpr double table_call_rate = 50.0;
inline constexpr double status_call_rate = 20.0;
inline constexpr double lease_call_rate = 100.0;
inline constexpr double list_call_rate = 50.0;

// Idempotency records.
inline constexpr std::size_t max_claim_attempts = 4;
inline constexpr std::size_t max_pending_records = 4096;
inline constexpr std::size_t max_outcome_bytes = 64 * kib;
inline constexpr std::size_t expiry_batch = 50;
inline constexpr std::size_t pending_batch = 16;

// Version moves. Shares of the steps; the new version gets at most the share
// of `last_unproven_step` until its routes are proven.
inline constexpr std::array<double, 7> move_steps{
    0.01, 0.02, 0.05, 0.10, 0.25, 0.50, 1.00};
inline constexpr std::size_t last_unproven_step = 2;
// Traffic left with the old version at the last step until the soak ends, so
// that an overload of both can be told from a late fault of the new version.
inline constexpr double control_share = 0.05;
inline constexpr auto min_step_time = 2s;
inline constexpr auto max_step_time = 600s;
inline constexpr auto move_rate_window = 4s;
inline constexpr std::size_t max_withdrawals = 256;
inline constexpr std::size_t max_evidence_cells = 8192;
inline constexpr auto evidence_period = 200ms;
inline constexpr auto evidence_gap = 2s;
inline constexpr auto evidence_expiry = 600s;

// Tests of a new version. A rate of bad replies up to factor * old + margin is
// accepted; above it the log-likelihood ratio decides. 14 = ln(1e6) bounds the
// error of one test at about 1e-6 (Wald 1945).
inline constexpr double error_bound_factor = 1.5;
inline constexpr double error_bound_margin = 0.01;
inline constexpr double slow_bound_factor = 2.0;
inline constexpr double slow_bound_margin = 0.03;
inline constexpr double withdraw_evidence = 14.0;
// Evidence that must remain without the worst group of targets.
inline constexpr double spread_evidence = 3.0;
// Relative change of the share at which the tests start again.
inline constexpr double share_change = 0.2;
inline constexpr double controls_per_reply = 20.0;
inline constexpr auto control_wait = 1s;
// One crash loses at most about four running requests.
inline constexpr double min_bad_replies = 6.0;
inline constexpr auto shortest_test_window = 250ms;
inline constexpr int test_window_ratio = 4;

// A step is left when rates above these bounds are refuted: 6.9 = ln(1000).
inline constexpr double serious_bound_factor = 2.0;
inline constexpr double serious_error_margin = 0.05;
inline constexpr double serious_slow_margin = 0.08;
inline constexpr double clear_evidence_needed = 6.9;
inline constexpr double route_clear_evidence_needed = 3.0;
// Replies that reach `clear_evidence_needed` when none is bad.
inline constexpr double step_replies_needed = 135.0;
// Routes below this share of the service's replies do not hold a move up.
inline constexpr double rare_route_share = 0.01;

// Slow replies: above factor times the tracked quantile of the old version.
inline constexpr double slow_quantile = 0.95;
inline constexpr double slow_threshold_factor = 2.0;
inline constexpr std::size_t slow_threshold_warmup = 20;

// A forwarded sub-request without a reply is dropped this long after its
// deadline.
inline constexpr auto forwarded_grace = 5s;

inline constexpr std::size_t poller_threads = 4;

// Control thread of a daemon.
inline constexpr auto control_period = 25ms;
inline constexpr auto owners_period = 100ms;
inline constexpr auto reports_repeat_period = 30s;
inline constexpr auto table_watch_timeout = 2s;
inline constexpr auto vm_list_period = 5s;
inline constexpr auto platform_backoff_base = 50ms;
inline constexpr auto platform_backoff_cap = 2s;

// Duties of the controller thread.
inline constexpr auto duties_period = 250ms;
inline constexpr auto save_by_others_delay = 3s;
inline constexpr auto status_period = 10s;
inline constexpr auto expiry_period = 1s;
inline constexpr std::size_t void_copies = 2;

// Entry VM. Time kept back from a caller's deadline for the merge and the
// way back of the answer.
inline constexpr auto entry_hop_cost = 2ms;
inline constexpr std::size_t max_attempts_per_shard = 4;
inline constexpr std::size_t max_snapshot_restarts = 2;
inline constexpr auto retry_delay_base = 5ms;
inline constexpr auto retry_delay_cap = 100ms;

// Traces.
inline constexpr std::size_t max_pending_spans = 4096;
inline constexpr auto span_export_period = 1s;

// Entry path over an event loop.
inline constexpr std::size_t record_bytes = 16;
inline constexpr std::size_t extra_load_buckets = 21;
// Covers sends that reach a target in another window than they were counted in.
inline constexpr double extra_load_margin = 0.9;
// Network and processing time between a decision and the caller's receipt.
inline constexpr auto answer_margin = 14ms;
inline constexpr auto give_up_margin = 12ms;
inline constexpr auto connect_timeout = 250ms;
inline constexpr auto health_timeout = 1s;
// An abandoned sub-request may finish within this time, which keeps its
// connection; a new one costs the target more than the rest of the work.
inline constexpr auto abandon_linger = 250ms;
inline constexpr auto silent_target = 1500ms; // without a reply: unreachable
inline constexpr auto idle_connection_max = 8s;
inline constexpr auto keep_alive_margin = 500ms;
inline constexpr auto maintenance_period = 50ms;
// Probes and unacknowledged data find a peer that is gone without a reset.
inline constexpr int keep_alive_idle_s = 2;
inline constexpr int keep_alive_interval_s = 1;
inline constexpr int keep_alive_probes = 2;
inline constexpr auto silent_peer = 3s;
inline constexpr std::size_t max_reply_header_bytes = 32 * kib;
inline constexpr int listen_backlog = 512;
inline constexpr auto settings_check_period = 2s;
// Before the process is killed at the end of its grace time.
inline constexpr auto exit_margin = 500ms;
inline constexpr std::size_t socket_read_bytes = 16 * kib;
inline constexpr std::size_t max_pipelined_bytes = 64 * kib;
inline constexpr auto close_drain_time = 1s;

// Connections of a VM to one target, out of those that the target accepts.
inline constexpr double connection_share = 0.9;
inline constexpr std::size_t min_links_per_target = 2;
inline constexpr std::size_t max_links_per_target = 8;
// Before the VMs have been counted, shared sums are divided by this many.
inline constexpr std::size_t assumed_vms = 64;

// Decision log: lines of each event.
inline constexpr double log_lines_per_second = 20.0;
inline constexpr double log_lines_burst = 100.0;
inline constexpr std::size_t max_pending_log_bytes = 256 * kib;

// Before a desired state says otherwise.
inline constexpr std::size_t default_header_bytes = 16 * kib;
inline constexpr auto default_header_timeout = 5s;
inline constexpr auto default_idle_timeout = 30s;

// Changes of the store that VMs pass on.
inline constexpr std::size_t change_relays_per_zone = 3;
inline constexpr std::size_t min_healthy_relays = 2;
inline constexpr auto relay_poll_wait = 2s;
inline constexpr auto relay_poll_margin = 600ms;
inline constexpr auto relay_retry = 400ms;
inline constexpr std::uint32_t relay_max_failures = 3; // in a row
inline constexpr auto relay_batch_delay = 30ms;
inline constexpr auto relay_max_age = 6s; // above the wait of a watch
inline constexpr auto min_follow_store_time = 8s;
inline constexpr auto deletion_retention = 60s;

// Orders to VMs of other zones to ask several shards. Below the group size a
// direct sub-request costs less than an order.
inline constexpr std::size_t min_group_shards = 2;
inline constexpr std::size_t delegates_per_zone = 3;
inline constexpr std::size_t max_delegated_body_bytes = 64 * kib;
inline constexpr std::size_t max_order_bytes = mib;
inline constexpr auto max_order_time = 1h;
// Way and processing of an order and its reply, beyond the time it is given.
inline constexpr double order_margin_share = 0.15; // of the target latency
inline constexpr auto order_margin_min = 10ms;
inline constexpr double order_overhead_gain = 0.2;
inline constexpr auto order_overhead_unit = 4ms; // weighs like one more order
inline constexpr double handed_back_factor = 4.0;
inline constexpr double handed_back_gain = 0.1;
inline constexpr auto delegate_block_base = 500ms;
inline constexpr auto delegate_block_max = 4s;
inline constexpr auto delegate_probe_timeout = 500ms;

// Requests that wait for a target of one service with room.
inline constexpr std::size_t max_waiting_per_service = 256;
// A VM that hears no target of another zone for this long, although it probes
// them, is cut off.
inline constexpr auto reach_probe_period = 200ms;
inline constexpr auto cut_off_after = 800ms;

// Choice of a target.
inline constexpr double other_zone_factor = 7.0; // above the spread of speeds
inline constexpr double choice_jitter = 0.15;
inline constexpr double stalled_factor = 12.0;
inline constexpr double cold_factor = 4.0;
// Of the rate that a cold target bears, for requests of several VMs that meet.
inline constexpr double cold_rate_share = 0.6;
inline constexpr double error_factor = 8.0;
inline constexpr double shed_factor = 3.0;
inline constexpr auto shed_memory = 300ms;
inline constexpr auto load_memory = 100ms;
inline constexpr double target_stats_gain = 0.3;
inline constexpr double max_relative_latency = 20.0;
inline constexpr auto target_stats_half_life = 2s;
inline constexpr auto stall_floor = 20ms;
inline constexpr double stall_multiple = 3.0; // of the expected latency
inline constexpr auto block_base = 200ms;
inline constexpr auto block_max = 1000ms;
// A removed registration is kept this long as a last resort: registrations can
// lapse by mistake and come back.
inline constexpr auto lapsed_grace = 1800ms;
// Of the time in which a leaving target must be free of new work.
inline constexpr double lapsed_grace_share = 0.5;
inline constexpr auto default_leave_bound = 3s;

// A caller with less of its usual time left than this share is repeating.
inline constexpr double least_spent_share = 0.03;

// Rollouts of the entry path. Times are parts of the order's time limit.
inline constexpr double rollout_canary_part = 0.5; // of the allowed share
inline constexpr double rollout_ramp_share = 0.4;
inline constexpr double rollout_ramp_at = 0.45;
inline constexpr double rollout_full_at = 0.6;
inline constexpr double rollout_complete_at = 0.75;
inline constexpr double rollout_withdraw_at = 0.9;
inline constexpr double rollout_bad_margin = 0.05;   // errors and slow replies
inline constexpr double rollout_suspicion = 3.0;     // 14 withdraws
inline constexpr double rollout_slow_multiple = 4.0; // of the usual latency
inline constexpr auto rollout_turn = 300ms;          // between writers
inline constexpr std::ptrdiff_t rollout_max_turns = 6;
inline constexpr auto rollout_write_retry = 1s;
// Reports of one VM, and of all VMs together.
inline constexpr auto rollout_report_period = 500ms;
inline constexpr auto rollout_report_gap = 25ms;

// Hedging of the entry path.
inline constexpr double entry_hedge_quantile = 0.95;
inline constexpr double hedge_stretch = 1.2;
inline constexpr double hedge_latest_share = 0.45; // of the target latency
inline constexpr auto hedge_floor = 8ms;
inline constexpr std::uint32_t max_rejections = 2; // a shard, besides attempts

// Refusals name the time after which a retry is worth while.
inline constexpr auto retry_after_min = 100ms;
inline constexpr auto retry_after_spread = 200ms;

} // namespace bramleymux::config
