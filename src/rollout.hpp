#pragma once

#include "version_test.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <string>

/// Decisions of a rollout: the move of a service's traffic to targets of
/// another version within a time limit. Every VM decides alike from the order
/// and the pooled evidence; nothing is elected.
namespace bramleymux
{

enum class rollout_state
{
    running,
    completed, ///< the former targets may stop at once
    withdrawn, ///< the new targets may leave
    count
};

inline constexpr name_table<rollout_state> rollout_state_names{
    "running", "completed", "withdrawn"};

/// What an operator ordered, and how far it is according to the store.
struct rollout_order
{
    std::string service;
    std::string version; ///< that gets the traffic
    duration time_limit{};
    std::uint64_t revision = 0; ///< of the object, for conditional writes
    std::uint64_t created = 0;  ///< with the version, names the order
    rollout_state state = rollout_state::running;
    bool acknowledged = false; ///< the state was written for this version
};

/// Bound on the part of a service's requests that a bad version gets between
/// its order and its time limit.
struct rollout_limits
{
    double share = 0.1;
    double slack = 50.0; ///< requests besides
};

/// Replies of both versions since the order. A reply is bad when the target
/// failed, broke off, fell silent or took much longer than usual.
struct rollout_counts
{
    bad_counts fresh; ///< of the ordered version
    bad_counts former;
};

rollout_counts&
operator+=(rollout_counts& a, const rollout_counts& b);

struct rollout_progress
{
    duration elapsed{}; ///< since the order was seen
    duration time_limit{};
    rollout_counts counts;
};

/// The new version fails or is slow more often than the former one.
bool
is_bad(const rollout_counts& counts);

/// Part of the service's requests that goes to the new version: a small one
/// while evidence is collected, a large one to see it under load, and all of
/// them well before the time limit. A suspicion holds the share.
double
share_at(const rollout_progress& progress, const rollout_limits& limits);

/// What the rollout has come to.
rollout_state
verdict_of(const rollout_progress& progress, const rollout_limits& limits);

} // namespace bramleymux
