#pragma once

#include "store_revision.hpp"
#include "version_test.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <string>

/// Decisions of a rollout, which moves the traffic of a service to targets of
/// another version within a time limit. All VMs reach the same decision from
/// the order and the pooled evidence, so no leader is elected.
namespace bramleymux
{

enum class rollout_state
{
    running,
    completed, ///< targets of the former version may stop at once
    withdrawn, ///< targets of the new version may stop
    count
};

inline constexpr name_table<rollout_state> rollout_state_names{
    "running", "completed", "withdrawn"};

/// Rollout requested by an operator, with its state in the store.
struct rollout_order
{
    std::string service;
    std::string version; ///< version that receives the traffic
    duration time_limit{};
    store_revision revision; ///< of the object, for conditional writes
    /// With `version`, identifies the order. Has no era: the store states only
    /// the number, also for an order from before a restore.
    std::uint64_t created = 0;
    rollout_state state = rollout_state::running;
    bool acknowledged = false; ///< `state` was written for this `version`
};

/// Bound on the requests that a bad version receives between its order and its
/// time limit: `share` of the service's requests, plus `slack`.
struct rollout_limits
{
    double share = 0.1;
    double slack = 50.0; ///< requests
};

/// Replies of both versions since the order. A reply is bad if the target
/// failed, aborted it, did not reply or took much longer than usual.
struct rollout_counts
{
    bad_counts fresh; ///< of the ordered version
    bad_counts former;
};

rollout_counts&
operator+=(rollout_counts& a, const rollout_counts& b);

struct rollout_progress
{
    duration elapsed{}; ///< since this VM first read the order
    duration time_limit{};
    rollout_counts counts;
    /// The reports of other VMs are recent. Without them, the version may have
    /// turned bad since.
    bool evidence_current = true;
};

/// Returns whether the evidence shows that the new version fails or is slow
/// more often than the former one.
bool
is_bad(const rollout_counts& counts);

/// Returns the share of the service's requests that goes to the new version: a
/// small one while evidence is collected, a larger one to test it under load,
/// and 1 well before the time limit. The larger one falls back to the small one
/// while the new version is near its bound, and any share does while the
/// version is suspected of being bad or the evidence is not current. Once it is
/// found bad, the share is 0.
double
share_at(const rollout_progress& progress, const rollout_limits& limits);

/// Returns the state that the rollout should have now. Without current evidence
/// it is `running`, unless the version is known to be bad.
rollout_state
verdict_of(const rollout_progress& progress, const rollout_limits& limits);

} // namespace bramleymux
