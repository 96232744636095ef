#pragma once

#include "config/units.hpp"

#include <cstddef>
#include <cstdint>

/// Limits of the entry path, which runs on an event loop.
namespace bramleymux::config
{

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

// The longest time left counts for one to two of these spans: longer than a
// caller goes on with its attempts, so that a first attempt is within them.
inline constexpr auto time_left_span = 30s;

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
