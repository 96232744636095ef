#pragma once

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>

/// Counters and gauges of a VM, and a snapshot of their values.
namespace bramleymux
{

/// Names on `/metrics` are those in `counter_names`.
enum class counter
{
    requests,            ///< caller requests received
    answers_whole,       ///< answers with coverage 1
    answers_partial,     ///< answers with missing shards
    refused_not_run,     ///< refused before any target executed them
    refused_bad_request, ///< refused as invalid, with a 4xx status
    failed_unknown,      ///< outcome unknown to this VM
    shards_asked,
    shards_answered,
    sub_requests, ///< sent, including hedges and retries
    sub_requests_hedged,
    sub_requests_retried,
    sub_requests_cancelled,
    sub_requests_local,
    sub_requests_forwarded,
    sub_requests_received, ///< from peers, by this VM as the owner
    snapshot_restarts,
    idempotency_claims,
    idempotency_duplicates,
    platform_calls,
    platform_failures,
    peer_messages_in,
    peer_messages_out,
    peer_bytes_in,
    peer_bytes_out,
    control_bytes_in,
    control_bytes_out,
    control_cpu_us, ///< CPU time of the control threads
    table_version,
    live_vms,
    lease_held,            ///< 1 while this VM may act as an owner
    target_connections,    ///< connections opened to targets
    health_probes,         ///< sent to targets that stopped answering
    sub_requests_shed,     ///< refused by overloaded targets, not executed
    extra_load_refused,    ///< hedges and retries denied by the budget
    requests_late,         ///< answered after the route's target latency
    requests_gave_up,      ///< callers that closed before their answer
    log_lines_dropped,     ///< above the rate limit, or the pipe was full
    desired_state_version, ///< version in force on this VM
    desired_state_age_ms,  ///< since the last message of its source
    known_targets,         ///< registered targets known to this VM
    follows_store,         ///< 1 while this VM follows the store itself
    gather_orders_sent,    ///< orders sent to VMs of other zones
    gather_orders_received,
    gather_orders_refused, ///< received, but no target had room
    shards_handed_back,    ///< shards of sent orders without an answer
    delegates_lost,        ///< VMs of other zones that stopped answering
    requests_dropped,      ///< connections closed with a request unanswered
    keys_refused,          ///< requests without a known key of a workspace
    keys_not_current,      ///< refused, since known keys may be out of date
    keys_age_ms,      ///< age of what this VM knows of the workspaces' keys
    freshness_asked,  ///< questions to other VMs for that age
    freshness_failed, ///< those without a usable answer
    duty_held,        ///< 1 while this VM holds a duty
    duty_token,       ///< last token under which it held one
    duty_calls,       ///< to the platform's API
    duty_calls_failed,
    usage_windows_reported,
    usage_windows_skipped,
    usage_reports_received,  ///< counts of other VMs, as a collector
    store_era,               ///< restores of the store
    store_objects_rewritten, ///< after a restore
    caller_connections,      ///< open connections of callers
    memory_held_bytes,       ///< for callers, in requests and answers
    callers_evicted,         ///< closed to free memory or for slow reading
    connections_refused,     ///< above the limit of connections
    replies_faulty,          ///< of targets
    /// Failures of targets that were not passed on, since their status promises
    /// that the request has not run.
    promises_withheld,
    count
};

inline constexpr name_table<counter> counter_names{"requests", "answers_whole",
    "answers_partial", "refused_not_run", "refused_bad_request",
    "failed_unknown", "shards_asked", "shards_answered", "sub_requests",
    "sub_requests_hedged", "sub_requests_retried", "sub_requests_cancelled",
    "sub_requests_local", "sub_requests_forwarded", "sub_requests_received",
    "snapshot_restarts", "idempotency_claims", "idempotency_duplicates",
    "platform_calls", "platform_failures", "peer_messages_in",
    "peer_messages_out", "peer_bytes_in", "peer_bytes_out", "control_bytes_in",
    "control_bytes_out", "control_cpu_us", "table_version", "live_vms",
    "lease_held", "target_connections", "health_probes", "sub_requests_shed",
    "extra_load_refused", "requests_late", "requests_gave_up",
    "log_lines_dropped", "desired_state_version", "desired_state_age_ms",
    "known_targets", "follows_store", "gather_orders_sent",
    "gather_orders_received", "gather_orders_refused", "shards_handed_back",
    "delegates_lost", "requests_dropped", "keys_refused", "keys_not_current",
    "keys_age_ms", "freshness_asked", "freshness_failed", "duty_held",
    "duty_token", "duty_calls", "duty_calls_failed", "usage_windows_reported",
    "usage_windows_skipped", "usage_reports_received", "store_era",
    "store_objects_rewritten", "caller_connections", "memory_held_bytes",
    "callers_evicted", "connections_refused", "replies_faulty",
    "promises_withheld"};

/// Values of every counter at one moment.
struct stats
{
    std::array<std::uint64_t, static_cast<std::size_t>(counter::count)>
        values{};

    std::uint64_t
    operator[](counter c) const
    {
        return values[static_cast<std::size_t>(c)];
    }
};

} // namespace bramleymux
