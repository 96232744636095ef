#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// Compile-time limits: sizes of fixed arrays, bounds on input, periods,
/// timeouts and the parameters of the control loops. Shares and factors have
/// no unit; a share is a part of 1.
namespace bramleymux::config
{

using namespace std::chrono_literals;

inline constexpr std::size_t kib = 1024;
inline constexpr std::size_t mib = 1024 * kib;

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

// Entry path over an event loop.
inline constexpr std::size_t result_record_bytes = 16;
inline constexpr std::size_t extra_load_buckets = 21;
// Share of the allowed extra load that is used. The rest covers sends that
// reach a target in a later window than the one they were counted in.
inline constexpr double usable_extra_load_share = 0.9;
// Network and processing time between a decision and the caller's receipt.
inline constexpr auto answer_margin = 14ms;
inline constexpr auto give_up_margin = 12ms;
inline constexpr auto connect_timeout = 250ms;
inline constexpr auto health_timeout = 1s;
// An abandoned sub-request may finish within this time so that its connection
// stays usable; a new connection costs the target more than the remaining work.
inline constexpr auto abandon_linger = 250ms;
// A target that sends no reply for this time, plus four times the expected
// latency, is unreachable.
inline constexpr auto target_silence_limit = 1500ms;
inline constexpr auto max_idle_connection_time = 8s;
// Subtracted from the idle timeout that a target announces, to avoid sending a
// request on a connection that the target is closing.
inline constexpr auto keep_alive_margin = 500ms;
inline constexpr auto maintenance_period = 50ms;
// TCP keep-alive probes and TCP_USER_TIMEOUT detect a peer that is gone without
// a reset.
inline constexpr int tcp_keep_alive_idle_s = 2;
inline constexpr int tcp_keep_alive_interval_s = 1;
inline constexpr int tcp_keep_alive_probes = 2;
inline constexpr auto tcp_user_timeout = 3s;
inline constexpr std::size_t max_reply_header_bytes = 32 * kib;
inline constexpr int listen_backlog = 512;
// At a start, a port may still be held by the process before this one.
inline constexpr auto listen_retry_time = 10s;
inline constexpr auto listen_retry_period = 200ms;
// Pause after a failed accept, which fails at once while no descriptor is left.
inline constexpr auto accept_retry_delay = 50ms;
// At a start, the settings file may still be being written.
inline constexpr auto settings_retry_time = 2s;
inline constexpr auto settings_retry_period = 50ms;
inline constexpr auto settings_check_period = 2s;
// The process exits this long before the end of its grace time, at which it
// would be killed.
inline constexpr auto exit_margin = 500ms;
inline constexpr std::size_t socket_read_buffer_bytes = 16 * kib;
// Input buffered beyond the longest body, after which reading pauses.
inline constexpr std::size_t max_pipelined_bytes = 64 * kib;
inline constexpr auto close_drain_time = 1s;
// Share of the idle timeout that answers announce, so that callers stop using a
// connection before it closes and no request crosses the close.
inline constexpr double announced_idle_share = 0.8;
// A caller that reads nothing of its answer for this time loses the rest.
inline constexpr auto write_stall_timeout = 10s;
// Idle timeout during a graceful stop. Longer than a caller takes to send the
// first request on a new connection.
inline constexpr auto stop_idle_timeout = 1s;
// A stop of an HTTP server of `bramleymuxd` serves waiting requests for this
// time.
inline constexpr auto http_stop_wait = 1s;

// Share of a target's accepted connections that all VMs may use together.
inline constexpr double target_connection_share = 0.9;
// Part of them for the VMs of the target's zone, if there are too few for
// `min_links_per_target` of every VM.
inline constexpr double own_zone_connection_share = 0.6;
// Connections of one VM to one target.
inline constexpr std::size_t min_links_per_target = 2;
inline constexpr std::size_t max_links_per_target = 8;
// Number of VMs assumed until they have been counted; fleet-wide limits are
// divided by it.
inline constexpr std::size_t assumed_vms = 64;

// Decision log: lines of each event.
inline constexpr double log_lines_per_second = 20.0;
inline constexpr double log_lines_burst = 100.0;
inline constexpr std::size_t max_pending_log_bytes = 256 * kib;
// Period of the log lines on the rate of a target with a rate limit.
inline constexpr auto rate_log_period = 1s;

// A process that did not run for this time was stopped or suspended; what it
// knows may have changed meanwhile.
inline constexpr auto entry_pause_threshold = 1s;
// A rollout is completed only on reports of other VMs received within this
// time.
inline constexpr auto rollout_evidence_max_age = 3s;

// Caller connections, until a desired state sets other values.
inline constexpr std::size_t default_header_bytes = 16 * kib;
inline constexpr auto default_header_timeout = 5s;
inline constexpr auto default_idle_timeout = 30s;

// Objects of the platform's store. Other programs write there as well.
inline constexpr std::size_t max_json_depth = 32;
inline constexpr std::size_t max_object_name_bytes = kib;

// Relays: VMs that follow the store and serve its changes to other VMs.
inline constexpr std::size_t change_relays_per_zone = 3;
// A VM with fewer healthy relays follows the store itself.
inline constexpr std::size_t min_healthy_relays = 2;
// A relay holds a poll for this time until there are changes; the poller waits
// `relay_poll_margin` longer.
inline constexpr auto relay_poll_wait = 2s;
inline constexpr auto relay_poll_margin = 600ms;
inline constexpr auto relay_retry_delay = 400ms;
inline constexpr auto relay_refused_delay = 100ms;     // after a refusal
inline constexpr std::uint32_t relay_max_failures = 3; // in a row
// Polls are answered once the view has not changed for this time, so that
// changes in quick succession go out in one reply.
inline constexpr auto relay_batch_delay = 30ms;
// Shares of the bound on requests to leaving targets: a relay whose last reply
// from the store is older than the first probes the store, and refuses polls
// once it is older than the second. The rest of the bound is left to followers,
// which then list the store themselves.
inline constexpr double store_probe_age_share = 0.25;
inline constexpr double relay_data_age_share = 0.4;
// Least time that a VM follows the store itself, so that an unsteady relay
// causes few calls.
inline constexpr auto min_follow_store_time = 8s;
inline constexpr auto deletion_retention = 60s;

// Orders to VMs of other zones to ask several shards. Below the group size a
// direct sub-request costs less than an order.
inline constexpr std::size_t min_group_shards = 2;
inline constexpr std::size_t delegates_per_zone = 3;
inline constexpr std::size_t max_delegated_body_bytes = 64 * kib;
inline constexpr std::size_t max_order_bytes = mib;
inline constexpr auto max_order_time = 1h;
// Transit and processing time of an order and its reply, in addition to the
// time that the order allows.
inline constexpr double order_margin_share = 0.15; // of the target latency
inline constexpr auto order_margin_min = 10ms;
inline constexpr double order_overhead_gain = 0.2; // weight of a new sample
// Overhead that counts like one more running order in the choice of a delegate.
inline constexpr auto order_overhead_unit = 4ms;
// Cost of a zone grows by this factor times its share of handed back shards.
inline constexpr double handed_back_factor = 4.0;
inline constexpr double handed_back_gain = 0.1; // weight of a new order
// Delay before a failed delegate is probed; doubles up to the maximum.
inline constexpr auto delegate_block_base = 500ms;
inline constexpr auto delegate_block_max = 4s;
inline constexpr auto delegate_probe_timeout = 500ms;

// Sub-requests that wait until a target of the service has room.
inline constexpr std::size_t max_waiting_per_service = 256;
// Requests that may turn down the room of one finished sub-request, in turn.
inline constexpr std::size_t max_offers_per_room = 4;
// A gathered query waits for room up to this share of the caller's time, or up
// to its target latency if that is longer.
inline constexpr double room_wait_share = 0.4;
// A VM whose probes get no reply from any target of another zone for
// `cut_off_after` is cut off.
inline constexpr auto reach_probe_period = 200ms;
inline constexpr auto cut_off_after = 800ms;

// Choice of a target. The factors multiply the cost of a target in the state
// that they name; the surcharge of another zone is added to it and is above the
// spread of speeds.
inline constexpr double other_zone_cost = 6.0;
// Surcharge of a target to which this VM should keep no connection. It is used
// when all others are slower by more than this or unusable.
inline constexpr double unplanned_cost = 6.0;
inline constexpr double choice_jitter = 0.15;
inline constexpr double stalled_cost_factor = 12.0;
inline constexpr double cold_cost_factor = 4.0;
// Share of the request rate that a cold target bears. The rest allows for
// requests of several VMs that arrive at once.
inline constexpr double cold_rate_share = 0.6;
// Share of the rate limit that a target names which the VMs use. The rest
// allows for requests that are sent late, and for VMs that join.
inline constexpr double rate_limit_share = 0.9;
// A lower limit counts as this rate, so that some reply tells when it ends.
inline constexpr double min_rate_limit = 0.1; // requests/s
// Part of a shared rate for the VMs of the target's zone.
inline constexpr double own_zone_rate_share = 0.6;
inline constexpr auto max_send_interval = 1h;
// Time for which VMs tell each other that a target's rate limit has ended.
inline constexpr auto rate_limit_end_notice = 10s;
// A time to send at a shared rate expires this long after it has passed unused.
inline constexpr auto unused_send_lifetime = 500ms;
// Times the error or shed rate, added to 1. A rate of one in four outweighs the
// surcharge of another zone.
inline constexpr double error_cost_factor = 24.0;
inline constexpr double shed_cost_factor = 24.0;
inline constexpr auto load_report_max_age = 100ms; // for saturation
inline constexpr auto load_cost_max_age = 2s;
// Weight of a new sample: it halves the weight of older ones if it comes this
// long after the previous one, within the bounds. A VM of a large fleet sees a
// target seldom and must learn from one reply, while a VM with many replies
// must not take one pause for a slow target.
inline constexpr auto target_sample_half_life = 300ms;
inline constexpr double min_target_sample_weight = 0.1;
inline constexpr double max_target_sample_weight = 0.5;
inline constexpr double max_relative_latency = 20.0;
inline constexpr auto target_stats_half_life = 5s;
// A target is stalled while a send runs longer than the floor plus the multiple
// of its expected latency.
inline constexpr auto min_stall_time = 20ms;
inline constexpr double stall_latency_multiple = 3.0;
// Delay before an unreachable target is probed; doubles up to the maximum.
inline constexpr auto target_block_base = 200ms;
inline constexpr auto target_block_max = 1000ms;
// A target whose registration was removed is kept this long as a last resort,
// since registrations can lapse by mistake and come back.
inline constexpr auto lapsed_grace = 1800ms;
// Upper bound of that time, as a share of the time in which a leaving target
// must be free of new work.
inline constexpr double lapsed_grace_share = 0.5;
inline constexpr auto default_leave_bound = 3s;
// Time for which it is known that a process said it leaves, beyond the time
// that it takes to exit.
inline constexpr auto departure_retention = 10min;

// Time that a caller has already spent is ignored below this share of the
// route's longest time left; above it the request is taken for a repetition.
inline constexpr double min_spent_share = 0.03;

// Rollouts of the entry path. The constants named `_at` are shares of the
// order's time limit.
inline constexpr double rollout_canary_part = 0.5; // of the allowed share
inline constexpr double rollout_ramp_share = 0.4;  // of the traffic
inline constexpr double rollout_ramp_at = 0.45;
inline constexpr double rollout_full_at = 0.6;
inline constexpr double rollout_complete_at = 0.75;
inline constexpr double rollout_withdraw_at = 0.9;
inline constexpr double rollout_bad_margin = 0.05; // errors and slow replies
// Evidence that stops the ramp; `withdraw_evidence` withdraws the version.
inline constexpr double rollout_suspicion_evidence = 3.0;
inline constexpr double rollout_slow_multiple = 4.0; // of the expected one
// Delay between the writes of VMs of successive ranks, so that usually only the
// first one writes.
inline constexpr auto rollout_write_stagger = 300ms;
inline constexpr std::ptrdiff_t rollout_max_stagger_steps = 6;
inline constexpr auto rollout_write_retry = 1s;
// Period of the reports of one VM, but at least the gap times the number of
// VMs, which bounds the rate of the reports of all VMs.
inline constexpr auto rollout_report_period = 500ms;
inline constexpr auto rollout_report_gap = 25ms;

// Hedging of the entry path: after the quantile of the route's latency times
// the factor, at least the minimum and at most the share of the target latency.
inline constexpr double entry_hedge_quantile = 0.95;
inline constexpr double entry_hedge_delay_factor = 1.2;
inline constexpr double max_entry_hedge_delay_share = 0.45;
inline constexpr auto min_entry_hedge_delay = 8ms;
// Time in which nearly every sub-request is answered: the quantile of the
// route's latency times the factor.
inline constexpr double completion_quantile = 0.99;
inline constexpr double completion_factor = 2.0;
// Rejections of one shard that are tolerated in addition to its attempts.
inline constexpr std::uint32_t max_shard_rejections = 2;

// Refusals name the time after which a retry is useful: the minimum plus a
// random part of the spread, so that callers do not return all at once.
inline constexpr auto retry_after_min = 100ms;
inline constexpr auto retry_after_spread = 200ms;

} // namespace bramleymux::config
