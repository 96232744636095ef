#pragma once

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>

namespace bramleymux
{

enum class counter
{
    requests,            ///< caller requests received
    answers_whole,       ///< answered with coverage 1
    answers_partial,     ///< answered with missing shards
    refused_not_run,     ///< refused, no target was reached
    refused_bad_request, ///< 4xx
    failed_unknown,      ///< outcome unknown to this VM
    shards_asked,
    shards_answered,
    sub_requests, ///< sent, with hedges and retries
    sub_requests_hedged,
    sub_requests_retried,
    sub_requests_cancelled,
    sub_requests_local,
    sub_requests_forwarded,
    sub_requests_received, ///< from peers, as the owner
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
    control_cpu_us, ///< processor time of the control threads
    table_version,
    live_vms,
    lease_held,            ///< 1 while this VM may act as an owner
    target_connections,    ///< opened to targets
    health_probes,         ///< sent to targets that did not answer
    sub_requests_shed,     ///< refused by targets without running them
    extra_load_refused,    ///< hedges and retries that the budget refused
    requests_late,         ///< answered after the route's target latency
    requests_gave_up,      ///< callers that left before their answer
    log_lines_dropped,     ///< above the rate, or not taken by the pipe
    desired_state_version, ///< in force on this VM
    desired_state_age_ms,  ///< since the source was last heard
    known_targets,         ///< registered, as this VM knows
    follows_store,         ///< 1 while this VM follows the store itself
    gather_orders_sent,    ///< to VMs of other zones
    gather_orders_received,
    gather_orders_refused, ///< received, without a target that has room
    shards_handed_back,    ///< of sent orders, without an answer
    delegates_lost,        ///< VMs of other zones that became silent
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
    "delegates_lost"};

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
