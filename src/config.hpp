#pragma once

#include "config/entry.hpp"
#include "config/units.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// Compile-time limits: sizes of fixed arrays, bounds on input, periods,
/// timeouts and the parameters of the control loops. Shares and factors have
/// no unit; a share is a part of 1.
namespace bramleymux::config
{

// Registry sizes. They cover the design target of 410 VMs, 1,800 searchers and
// 8 zones, with two versions of each target during a move.
inline constexpr std::size_t max_vms = 512;
inline constexpr std::size_t max_zones = 16;
inline constexpr std::size_t max_services = 128;
inline constexpr std::size_t max_routes = 512;
inline constexpr std::size_t max_versions = 512;
inline constexpr std::size_t max_targets = 4096;
inline constexpr std::size_t max_shards = 8192;
inline constexpr std::size_t max_moves = 64;

// Lock shards of the per-target state, not shards of a service.
inline constexpr std::size_t target_state_shards = 16;
inline constexpr std::size_t max_queue_per_target = 256; // sub-requests
inline constexpr std::size_t max_worker_threads = 128;
inline constexpr std::size_t max_caller_threads = 64;

inline constexpr std::size_t max_request_body_bytes = 256 * kib;
inline constexpr std::size_t max_reply_body_bytes = 4 * mib;
inline constexpr std::size_t max_peer_message_bytes = 8 * mib;
inline constexpr std::size_t max_table_bytes = mib;
inline constexpr std::size_t max_edit_records = 256; // kept in the table
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
inline constexpr auto view_renewal_period = 500ms;
// Subtracted from the end of a lease to cover the transit time of a request to
// its target: deadlines are sent as remaining time, so the target's copy starts
// only on arrival.
inline constexpr auto view_lease_margin = 50ms;
// Period of view requests while a VM listens for peers that may hold a lease.
inline constexpr auto view_listen_period = 100ms;
// Time a VM listens before it treats the silence of a peer as absence. One
// lease covers every promise made by an earlier run; five more request periods
// let a peer in the same state receive a request, which it takes for a sign of
// life.
inline constexpr auto ownership_settle_time =
    view_lease + 5 * view_listen_period;
// A longer gap between two ticks is treated as a pause of the process.
inline constexpr auto process_pause_threshold = 1500ms;
// Stricter limit on that gap while listening, since each missed request counts
// more then. After a longer gap, at least five more request periods of
// listening follow.
inline constexpr auto listening_pause_threshold = 250ms;

// Membership.
inline constexpr auto probe_period = 500ms;
inline constexpr auto probe_timeout = 250ms;
inline constexpr auto suspicion_timeout = 2s; // suspect to dead
inline constexpr std::size_t max_indirect_probes = 2;
inline constexpr std::size_t max_gossip_bytes = 1200; // in one message
// A VM watches the platform's table unless this many higher-ranked VMs of its
// zone reach the platform.
inline constexpr std::size_t watchers_per_zone = 2;
inline constexpr std::size_t max_zone_probes = 8;   // per probe period
inline constexpr std::size_t max_hint_probes = 8;   // per probe period
inline constexpr std::size_t max_urgent_probes = 8; // per probe period
inline constexpr std::size_t max_probe_relays = 64; // indirect probes for peers
inline constexpr std::size_t max_leave_messages = 16;
inline constexpr std::size_t max_digest_counter_bytes = 128;
inline constexpr auto hint_retry_max = 10s;
inline constexpr auto dead_member_probe_period = 2s;
// Least time between two reports that contradict the state of one member.
inline constexpr auto contradiction_period = 5s;
inline constexpr auto forget_dead_after = 1h;
// A longer gap between two ticks is treated as a pause of this VM, during which
// no peer could answer it.
inline constexpr auto membership_pause_threshold = 1s;
// Each update is sent factor * ceil(log10(members + 1)) times.
inline constexpr std::size_t state_retransmit_factor = 4;
inline constexpr std::size_t digest_retransmit_factor = 2;

// Table distribution.
inline constexpr std::size_t max_watchers_per_zone = 8;
inline constexpr std::size_t table_relays_per_zone = 2;
// Offers of one table version to one VM.
inline constexpr std::size_t max_table_offer_attempts = 6;
inline constexpr auto table_offer_period = 250ms;
inline constexpr auto table_request_timeout = 500ms;

// Peer link.
inline constexpr std::size_t max_peer_message_depth = 32;
inline constexpr std::size_t max_peer_message_items = 512 * kib;
inline constexpr std::size_t max_peer_send_queue_bytes = 16 * mib;
inline constexpr std::size_t max_vm_field_bytes = 64; // id, zone or address
inline constexpr auto peer_reconnect_min = 50ms;
inline constexpr auto peer_reconnect_max = 2s;
inline constexpr auto peer_hello_timeout = 3s;
// TCP_USER_TIMEOUT of the link. A peer that vanished sends no reset, and the
// kernel would retransmit for about 15 minutes.
inline constexpr auto peer_unacked_timeout = 5s;
inline constexpr auto peer_close_timeout = 1s;

// Targets.
inline constexpr auto status_poll_period = 500ms;
inline constexpr std::size_t slow_reply_window = 8; // latest replies
// Within the window, for a return to the cold-start limit.
inline constexpr std::size_t slow_replies_for_cold = 3;
inline constexpr double slow_reply_factor = 5.0; // of the median latency
inline constexpr std::size_t sheds_for_cold = 2;
// Successful replies of a cold target for each further slot. The number doubles
// when the target falls cold again before all slots are open, since it warms up
// more slowly than assumed.
inline constexpr std::uint32_t successes_per_slot = 100;
inline constexpr std::uint32_t max_successes_per_slot = 1600;
// Change of the learned median latency per reply, as a share of its value.
inline constexpr double median_latency_step = 0.05;
// Every eighth start takes the queued sub-request with the earliest deadline,
// whatever its worth.
inline constexpr std::uint32_t fair_start_period = 8;
inline constexpr std::size_t failures_for_unreachable = 2; // in a row
// Delay before a health probe of a failing target; doubles up to the maximum.
inline constexpr auto first_target_probe_delay = 100ms;
inline constexpr auto max_target_probe_delay = 5s;

// Extra load from hedges and retries, as a share of the shards asked.
inline constexpr double extra_load_share = 0.05;
inline constexpr double hedge_quantile = 0.97;
// Time after a shed reply during which the budget of extra load is halved.
inline constexpr auto shed_penalty = 10s;

// Routing.
inline constexpr std::size_t max_snapshots_per_service = 16;
inline constexpr std::size_t max_candidates = 64; // replicas compared per shard
// Backoff of the entry VM from a target, with full jitter: `overload_` after a
// refusal, `failure_` if the target was unreachable or had no owner.
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
// A slow target is tried again once its mean has decayed; for a target that is
// 50 times slower this takes 28 s.
inline constexpr auto latency_mean_half_life = 5s;

// Hedges.
inline constexpr auto initial_hedge_delay = 50ms; // below `min_hedge_samples`
inline constexpr auto min_hedge_delay = 1ms;
inline constexpr double min_hedge_samples = 50;

// Budgets; one token pays for one shard. Retries after a refusal cause no
// execution, so their budget is larger than the one for extra load.
inline constexpr double max_extra_load_tokens = 1000;
inline constexpr double retry_share = 0.2;
inline constexpr double max_retry_tokens = 2000;
// HTTP clients.
inline constexpr std::size_t http_read_buffer_bytes = 16 * kib;
inline constexpr std::size_t platform_connections = 8; // of each pool
inline constexpr auto target_cancel_timeout = 100ms;
inline constexpr auto target_status_timeout = 1s;

// Admission. The window is long enough for a sufficient number of replies and
// short compared with the deadlines.
inline constexpr auto admission_window = 100ms;
inline constexpr std::size_t min_admission_samples = 20; // sub-replies
// With fewer samples, windows are joined up to this number.
inline constexpr std::size_t max_admission_windows = 10;
// Sub-replies that report overload, as a share; above it a service is
// congested.
inline constexpr double max_overloaded_share = 0.05;
inline constexpr double max_queue_ratio = 1.0; // queue time / target time
// Changes of a service's limit in one window. An increase is a share of the
// limit, but at least a part of a query.
inline constexpr double limit_decrease_factor = 0.85;
inline constexpr double limit_increase_share = 0.03;
inline constexpr double min_limit_increase_queries = 0.25;
// Routes above the worth threshold may exceed the limit for a moment, since a
// VM's limit can be as low as a few queries.
inline constexpr double admission_burst_factor = 1.5; // of the limit
inline constexpr double admission_burst_queries = 2;  // in addition
inline constexpr double admission_gain = 0.3;         // weight of a new window
inline constexpr double route_time_gain = 0.05;       // weight of a new query
inline constexpr auto initial_route_time = 20ms;
// Caller threads kept free so that refusals are answered at once. A service
// below its floor may use all of them but `refusal_threads`.
inline constexpr std::size_t reserved_caller_threads = 8;
inline constexpr std::size_t refusal_threads = 2;
// Longest time after the start that readiness waits for a snapshot of every
// service; a service that has lost all targets must not keep a VM unready.
inline constexpr auto ready_grace = 10s;
// Sum of the floors of services whose row sets none.
inline constexpr double default_floor_share_total = 0.05;

// Platform.
inline constexpr auto platform_timeout = 2s;
inline constexpr auto idempotency_expiry = 24h;
inline constexpr auto controller_lease = 5s;
inline constexpr auto controller_lease_renewal_period = 1500ms;
// The holder stops acting this long before its lease ends, to allow for clock
// drift.
inline constexpr auto controller_lease_margin = 500ms;
// Delay between probes of the platform during an outage, with full jitter.
inline constexpr auto platform_outage_backoff_base = 100ms;
inline constexpr auto platform_outage_backoff_cap = 10s;
// After an outage, call rates grow back to normal over this time, starting at
// `outage_ramp_start` of the normal rate.
inline constexpr auto outage_ramp = 10s;
inline constexpr double outage_ramp_start = 0.1;
// Calls per second of the whole fleet, by kind. The sums stay below the
// platform's several hundred writes and two thousand reads per second.
inline constexpr double idempotency_calls_per_second = 300.0;
inline constexpr double table_calls_per_second = 50.0;
inline constexpr double status_calls_per_second = 20.0;
inline constexpr double lease_calls_per_second = 100.0;
inline constexpr double list_calls_per_second = 50.0;

// Idempotency records.
inline constexpr std::size_t max_claim_attempts = 4;
inline constexpr std::size_t max_pending_records = 4096;
inline constexpr std::size_t max_outcome_bytes = 64 * kib;
inline constexpr std::size_t expiry_batch_size = 50;  // deletions in one call
inline constexpr std::size_t pending_batch_size = 16; // writes in one call

// Version moves. Share of the new version at each step; it gets at most the
// share of `last_unproven_step` until its routes are proven.
inline constexpr std::array<double, 7> move_steps{
    0.01, 0.02, 0.05, 0.10, 0.25, 0.50, 1.00};
inline constexpr std::size_t last_unproven_step = 2;
// Traffic left with the old version at the last step until the soak ends, so
// that an overload of both versions can be told from a late fault of the new
// one.
inline constexpr double control_group_share = 0.05;
inline constexpr auto min_step_time = 2s;
inline constexpr auto max_step_time = 600s;
// Time constant of the measured reply rate.
inline constexpr auto move_rate_window = 4s;
inline constexpr std::size_t max_withdrawals = 256;
inline constexpr std::size_t max_evidence_cells = 8192;
inline constexpr auto evidence_period = 200ms;
// Growth of a peer's counters after a longer gap is not taken as recent
// evidence.
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
// Evidence that must remain without the worst group of targets if others have
// replied, so that a fault of one group does not withdraw a version.
inline constexpr double spread_evidence = 3.0;
// Relative change of the share at which the tests start again.
inline constexpr double retest_share_change = 0.2;
// Replies of the old version that are counted for each reply of the new one.
inline constexpr double old_replies_per_new_reply = 20.0;
// Time that new replies wait for old ones to be compared with.
inline constexpr auto old_reply_wait = 1s;
// Fewer bad replies never withdraw a version: one crash loses at most about
// four running requests.
inline constexpr double min_bad_replies = 6.0;
inline constexpr auto shortest_test_window = 250ms;
inline constexpr int test_window_ratio = 4; // of successive window lengths

// A move advances once rates above these bounds are refuted: 6.9 = ln(1000).
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
inline constexpr std::size_t slow_threshold_warmup = 20; // samples

// A forwarded sub-request without a reply is dropped this long after its
// deadline.
inline constexpr auto forwarded_sub_request_grace = 5s;

inline constexpr std::size_t poller_threads = 4;

// Control thread of a daemon.
inline constexpr auto control_period = 25ms;
inline constexpr auto owner_update_period = 100ms;
// All target reports are sent again at this period, since a message that the
// link accepted can still be lost with its connection.
inline constexpr auto reports_repeat_period = 30s;
inline constexpr auto table_watch_timeout = 2s;
inline constexpr auto vm_list_period = 5s;
// Delay before the table or the VM list is read again after a failure.
inline constexpr auto platform_read_backoff_base = 50ms;
inline constexpr auto platform_read_backoff_cap = 2s;

// Duties of the controller thread.
inline constexpr auto platform_writer_period = 250ms;
// Results of moves that the lease holder has not saved within this time are
// saved by any VM.
inline constexpr auto save_by_others_delay = 3s;
inline constexpr auto fleet_status_period = 10s;
inline constexpr auto idempotency_sweep_period = 1s;
// Peers that get each claim_void message.
inline constexpr std::size_t claim_void_copies = 2;

// Entry VM. Time reserved from a caller's deadline to merge and return the
// answer.
inline constexpr auto entry_hop_cost = 2ms;
inline constexpr std::size_t max_attempts_per_shard = 4;
inline constexpr std::size_t max_snapshot_restarts = 2;
inline constexpr auto retry_delay_base = 5ms;
inline constexpr auto retry_delay_cap = 100ms;

// Traces.
inline constexpr std::size_t max_pending_spans = 4096;
inline constexpr auto span_export_period = 1s;

} // namespace bramleymux::config
