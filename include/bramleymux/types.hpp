#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

/// Vocabulary types that all modules share: clocks, handles, run states, miss
/// reasons and findings.
namespace bramleymux
{

using monotonic_clock = std::chrono::steady_clock;
using monotonic_time = monotonic_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using duration = monotonic_clock::duration;

/// Typed index into a fixed array of one kind of object; a default-constructed
/// handle is invalid.
template <class Tag>
struct handle
{
    static constexpr std::uint16_t invalid_index =
        std::numeric_limits<std::uint16_t>::max();

    std::uint16_t index = invalid_index;

    constexpr bool
    is_valid() const
    {
        return index != invalid_index;
    }

    friend constexpr bool
    operator==(handle a, handle b)
    {
        return a.index == b.index;
    }

    friend constexpr bool
    operator!=(handle a, handle b)
    {
        return a.index != b.index;
    }

    friend constexpr bool
    operator<(handle a, handle b)
    {
        return a.index < b.index;
    }
};

using vm_handle = handle<struct vm_tag>;
using zone_handle = handle<struct zone_tag>;
using service_handle = handle<struct service_tag>;
using route_handle = handle<struct route_tag>;
using version_handle = handle<struct version_tag>;
using target_handle = handle<struct target_tag>;

using shard_id = std::uint32_t;
using snapshot_sequence = std::uint64_t;

/// Names of the enumerators in order of declaration. The last enumerator of
/// `Enum` must be `count`.
template <class Enum>
using name_table =
    std::array<std::string_view, static_cast<std::size_t>(Enum::count)>;

/// Whether a target executed a request. Only `not_run` makes it safe to repeat
/// a request that is not idempotent.
enum class run_state
{
    not_run,
    run,
    unknown,
    count
};

inline constexpr name_table<run_state> run_state_names{
    "not_run", "run", "unknown"};

/// Why a shard is missing from an answer, or why a sub-request failed.
enum class miss_reason
{
    none,
    no_replica,    ///< no usable target holds the shard
    deadline,      ///< no complete reply before the deadline
    unreachable,   ///< connection failed or broke
    shed,          ///< the target refused because of its load
    draining,      ///< the target is leaving
    snapshot,      ///< the target does not hold the pinned snapshot
    malformed,     ///< truncated or unparsable reply
    mismatched,    ///< reply to another request
    failed,        ///< the target reported an error
    queue_full,    ///< the queue for the target is full
    owner_unknown, ///< no VM currently owns the target
    lease_lapsed,  ///< the owner's lease ended before the send
    zone_out,      ///< the zone takes no new work
    cancelled,     ///< another reply made this one unnecessary
    count
};

inline constexpr name_table<miss_reason> miss_reason_names{"none", "no_replica",
    "deadline", "unreachable", "shed", "draining", "snapshot", "malformed",
    "mismatched", "failed", "queue_full", "owner_unknown", "lease_lapsed",
    "zone_out", "cancelled"};

/// Returns the name of an enumerator.
constexpr std::string_view
to_string(run_state value)
{
    return run_state_names[static_cast<std::size_t>(value)];
}

constexpr std::string_view
to_string(miss_reason value)
{
    return miss_reason_names[static_cast<std::size_t>(value)];
}

/// Returns the enumerator with the given name, or `Enum::count` if there is
/// none.
template <class Enum>
constexpr Enum
from_name(const name_table<Enum>& names, std::string_view name)
{
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == name)
        {
            return static_cast<Enum>(i);
        }
    }
    return Enum::count;
}

/// One fault found in an input.
struct finding
{
    std::string place;   ///< path of the field, e.g. "target/exam-1-a/limit"
    std::string message; ///< what is wrong and what is allowed
};

using findings = std::vector<finding>;

} // namespace bramleymux
