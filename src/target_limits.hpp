#pragma once

#include "catalog.hpp"
#include "config.hpp"
#include "target_report.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// How much work a target may get from its owner: effective limit, queue,
/// cold start, drains and unreachable targets (D1, D7, D9).
namespace bramleymux
{

enum class limit_policy
{
    baseline, ///< one fixed limit, no cold start; the reference to measure by
    adaptive,
    count
};

inline constexpr name_table<limit_policy> limit_policy_names{
    "baseline", "adaptive"};

struct queue_entry
{
    std::uint64_t key = 0;
    double worth = 1.0;
    monotonic_time deadline;
};

/// An entry that was not started; it was not run.
struct queue_refusal
{
    std::uint64_t key = 0;
    miss_reason reason = miss_reason::none;
};

using queue_refusals = std::vector<queue_refusal>;

enum class reply_kind
{
    fast,
    slow,
    shed,
    count
};

/// The last replies of a target and the median of their times.
struct reply_history
{
    std::array<reply_kind, config::slow_reply_window> window{};
    std::array<duration, config::slow_reply_window> first_times{};
    std::size_t replies = 0; ///< in the window, or all if fewer
    std::size_t next = 0;
    std::size_t learned_from = 0;
    duration median{}; ///< 0 = not learned yet
};

struct target_state
{
    limit_policy policy = limit_policy::adaptive;
    std::uint32_t baseline_limit = 1;

    // From the table and the VM list.
    std::uint32_t slots = 0;
    std::uint32_t cold_limit = 1;
    bool zone_out = false;
    bool table_draining = false;
    bool leaving = false;

    // From the target.
    std::string instance;
    bool self_draining = false;
    std::uint32_t reported_limit = 0; ///< 0 = none
    /// False after another owner's report, until this VM has polled the target
    /// itself: it may have begun to leave while it had no owner.
    bool is_polled = true;

    // Cold start.
    std::uint32_t cold_start_limit = 0; ///< 0 = cold
    std::uint32_t successes = 0;        ///< since the last further slot
    std::uint32_t successes_needed = config::successes_per_slot;
    std::uint64_t cold_falls = 0;
    reply_history history;

    // Reachability.
    std::uint32_t failures = 0; ///< in a row
    monotonic_time next_probe{};

    std::uint32_t running = 0;
    std::uint32_t worst_running = 0;
    std::uint64_t starts = 0;
    std::vector<queue_entry> queue; ///< by worth, then deadline
};

/// Applies a catalog row. A zone or a target that returns starts cold.
queue_refusals
configure(target_state& state, const catalog_target& row);

/// The VM list says that the target's machine is leaving.
queue_refusals
set_leaving(target_state& state, bool leaving);

/// Applies a poll by this VM.
queue_refusals
on_status(target_state& state, const target_report& report, monotonic_time now,
    std::mt19937_64& random);

/// Applies the report of the present owner, so that this VM continues from its
/// limit if it becomes the owner.
void
inherit(target_state& state, const target_report& report);

/// Queues an entry, or refuses it or one of lower worth.
queue_refusals
offer(target_state& state, const queue_entry& entry, monotonic_time now);

/// Takes the next entry to send, if the limit allows one more beside
/// `foreign` requests of other VMs. Entries that cannot meet their deadline
/// are added to `refused`.
std::optional<queue_entry>
start_next(target_state& state, std::uint32_t foreign, monotonic_time now,
    queue_refusals& refused);

/// Removes a queued entry; false when it is not queued.
bool
remove_entry(target_state& state, std::uint64_t key);

queue_refusals
refuse_all(target_state& state, miss_reason reason);

/// What is learned from one finished request.
struct reply_sample
{
    miss_reason error = miss_reason::none;
    std::string instance; ///< empty = unknown
    duration time{};
    bool sent = true; ///< false: the slot was given back without a send
};

queue_refusals
on_reply(target_state& state, const reply_sample& sample, monotonic_time now,
    std::mt19937_64& random);

/// Concurrent requests allowed now, before those of other VMs are taken off.
std::uint32_t
current_limit(const target_state& state);

/// Cold-start limit for the target report; 0 = cold.
std::uint32_t
proven_limit(const target_state& state);

/// Why no new work is accepted; `none` when it is.
miss_reason
refusal_reason(const target_state& state);

bool
is_unreachable(const target_state& state);

/// Whether an unreachable target should be polled; always true otherwise.
bool
is_probe_due(const target_state& state, monotonic_time now);

} // namespace bramleymux
