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
    lease_held, ///< 1 while this VM may act as an owner
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
    "lease_held"};

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
