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

/// Concurrency limit and queue of a target at its owner: effective limit, cold
/// start, drains and unreachable targets (D1, D7, D9).
namespace bramleymux
{

enum class limit_policy
{
    baseline, ///< fixed limit without cold start, for comparison
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

/// Queue entry that was refused without having run.
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

/// Kinds of the latest replies of a target, and the median of its reply times.
struct reply_history
{
    std::array<reply_kind, config::slow_reply_window> window{}; ///< ring buffer
    std::array<duration, config::slow_reply_window> first_times{};
    std::size_t replies = 0;       ///< number of replies in the window
    std::size_t next = 0;          ///< position in the window to write next
    std::size_t learned_count = 0; ///< number of entries in `first_times`
    duration median{};             ///< 0 = not learned yet
};

/// State of a target at its owner. Not thread-safe.
struct owned_target_state
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
    /// False from the report of another owner until this VM's next poll. The
    /// target may have started to leave while it had no owner.
    bool is_polled = true;

    // Cold start.
    std::uint32_t cold_start_limit = 0; ///< 0 = cold
    std::uint32_t successes = 0;        ///< since the limit last changed
    std::uint32_t successes_needed = config::successes_per_slot;
    std::uint64_t cold_falls = 0; ///< resets from a limit above the cold one
    reply_history history;

    // Reachability.
    std::uint32_t failures = 0; ///< consecutive
    monotonic_time next_probe{};

    std::uint32_t running = 0;
    std::uint32_t worst_running = 0;
    std::uint64_t starts = 0;
    std::vector<queue_entry> queue; ///< highest worth, then earliest deadline
};

/// Applies a catalog row. A target starts cold when its zone returns to service
/// or its drain in the table ends. Returns the queue entries refused.
queue_refusals
configure(owned_target_state& state, const catalog_target& row);

/// Sets whether the VM list marks the target's machine as leaving.
queue_refusals
set_leaving(owned_target_state& state, bool leaving);

/// Applies the result of a poll by this VM.
queue_refusals
on_status(owned_target_state& state, const target_report& report,
    monotonic_time now, std::mt19937_64& random);

/// Applies a report of the current owner, so that this VM continues from the
/// limit reached if it becomes the owner.
void
apply_owner_report(owned_target_state& state, const target_report& report);

/// Adds an entry to the queue. Refuses it if the target accepts no work or the
/// entry cannot meet its deadline; a full queue refuses its last entry.
queue_refusals
offer(owned_target_state& state, const queue_entry& entry, monotonic_time now);

/// Removes and returns the next entry to send, and counts it as running.
/// Returns nullopt if there is none or if the limit, less the `foreign`
/// requests that other VMs have running, is reached. Entries that cannot meet
/// their deadline are moved to `refused`.
std::optional<queue_entry>
start_next(owned_target_state& state, std::uint32_t foreign, monotonic_time now,
    queue_refusals& refused);

/// Removes a queued entry. Returns false if it is not queued.
bool
remove_entry(owned_target_state& state, std::uint64_t key);

/// Refuses all queued entries.
queue_refusals
refuse_all(owned_target_state& state, miss_reason reason);

/// Outcome of a started entry.
struct reply_sample
{
    miss_reason error = miss_reason::none;
    std::string instance; ///< empty = unknown
    duration time{};
    bool sent = true; ///< false if the slot was released without a send
};

/// Releases the slot of a started entry and updates the cold-start limit and
/// the reachability of the target.
queue_refusals
on_reply(owned_target_state& state, const reply_sample& sample,
    monotonic_time now, std::mt19937_64& random);

/// Returns the number of concurrent requests that the target allows, including
/// those of other VMs.
std::uint32_t
current_limit(const owned_target_state& state);

/// Returns the cold-start limit reached, for the target report; 0 = cold.
std::uint32_t
proven_limit(const owned_target_state& state);

/// Returns the reason why the target accepts no new work, or `none` if it does.
miss_reason
refusal_reason(const owned_target_state& state);

/// Returns true after `config::failures_for_unreachable` consecutive failures.
/// Always false under the baseline policy.
bool
is_unreachable(const owned_target_state& state);

/// Returns true if a poll is due. Unreachable targets are polled with
/// exponential backoff; for all others a poll is always due.
bool
is_probe_due(const owned_target_state& state, monotonic_time now);

} // namespace bramleymux
