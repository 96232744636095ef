#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Checks the invariants of a run from observations alone: what the targets
/// executed, which tables were accepted and which results callers received.
/// Shares no code with the decision modules, so that a fault in one can't hide
/// its own violation.
namespace bramleymux::fuzz
{

/// Invariants, with the numbers of the requirements in docs/design.md.
enum class invariant
{
    /// R1: the rows of an answer are of its snapshot.
    one_snapshot,
    /// R2: the coverage is consistent, and each shard that it does not list as
    /// missing has its row.
    true_coverage,
    /// R3: a target executes no more requests at a time than its limit.
    limit,
    /// R3: nor more than its cold-start limit.
    cold_limit,
    /// R4: no request is sent to a zone that has been out for the bound.
    zone_out,
    /// R5: queries avoid a version once its fault is visible, and an unproven
    /// version does not exceed its share.
    bad_version,
    /// R6: the rows of an answer are of its query.
    own_request,
    /// R7: a request that is reported as not_run is not executed.
    not_run_true,
    /// R8: each idempotency key is executed at most once.
    at_most_once,
    /// R9: no request is sent to a target that has been draining or leaving
    /// for the bound.
    leaving_target,
    /// R10: a VM that stops gracefully has no open queries and no running
    /// requests before their deadlines.
    graceful_stop,
    /// R11: each VM adopts each accepted table, or a newer one, within a bound
    /// and never returns to an older one.
    table_in_force,
    count
};

inline constexpr name_table<invariant> invariant_names{"R1 one_snapshot",
    "R2 true_coverage", "R3 limit", "R3 cold_limit", "R4 zone_out",
    "R5 bad_version", "R6 own_request", "R7 not_run_true", "R8 at_most_once",
    "R9 leaving_target", "R10 graceful_stop", "R11 table_in_force"};

struct violation
{
    invariant rule = invariant::count;
    monotonic_time at;
    std::string text;
};

/// Settings of a target in an accepted table.
struct table_target
{
    std::string zone;
    std::uint32_t slots = 0;
    std::uint32_t cold_limit = 0;
    bool draining = false;
};

/// A table that the platform accepted, reduced to what the invariants need.
struct accepted_table
{
    monotonic_time at;
    std::map<std::string, table_target> targets;
    std::set<std::string> zones_out;
};

/// A request that an owner sends to a target.
struct wire_send
{
    std::string id;
    std::string vm;
    std::string target;
    std::string query;
    std::uint64_t snapshot = 0;
    std::vector<std::uint32_t> shards;
    std::string idempotency_key; ///< empty for idempotent requests
    std::string version;
    monotonic_time deadline;
};

/// The answer to a query as its caller receives it.
struct caller_answer
{
    std::string query;
    std::uint64_t snapshot = 0;
    std::size_t asked = 0;    ///< shards
    std::size_t answered = 0; ///< shards
    std::vector<std::uint32_t> missing;
    std::size_t missing_without_reason = 0; ///< shards
    std::vector<std::string> rows;
};

/// Returns the one correct row of a shard for a query.
std::string
row_of(std::uint64_t snapshot, std::uint32_t shard, const std::string& query);

/// Collects the events of a run and records the violations that they show.
class oracle
{
public:
    // Fleet.
    void
    vm_started(const std::string& vm, monotonic_time now);
    /// `open_queries` includes non-idempotent requests.
    void
    vm_ended(const std::string& vm, bool graceful, std::size_t open_queries,
        monotonic_time now);
    /// The VM can't receive or act as usual until `until`. The bounds on its
    /// reactions count from then.
    void
    vm_disturbed(const std::string& vm, monotonic_time until);

    // Table.
    /// No VM can read the table from the platform until `until`.
    void
    platform_outage(monotonic_time until);
    void
    table_accepted(std::uint64_t version, accepted_table table);
    void
    table_adopted(
        const std::string& vm, std::uint64_t version, monotonic_time now);

    // Targets.
    void
    snapshot_made(std::uint64_t snapshot, std::uint32_t shard_count);
    void
    target_started(const std::string& target, const std::string& instance);
    void
    target_leaving(const std::string& target, bool leaving, monotonic_time now);
    /// A reply or a status report of the target reached the VM's limiter.
    /// A `reported_limit` of 0 leaves the last reported limit in force.
    void
    target_reported(const std::string& vm, const std::string& target,
        const std::string& instance, std::uint32_t reported_limit);
    void
    request_sent(const wire_send& send, monotonic_time now);
    void
    request_arrived(
        const std::string& wire_id, bool executed, monotonic_time now);
    void
    execution_ended(const std::string& wire_id, bool succeeded);

    // Versions.
    /// With `bad`, the version's targets fail all requests from now on;
    /// otherwise no version is faulty.
    void
    version_bad(const std::string& version, bool bad);
    /// Peer messages with evidence may be delayed or lost until `until`.
    void
    links_disturbed(monotonic_time until);
    /// An entry VM received a failed reply from a target of the faulty version.
    void
    bad_reply(const std::string& vm, monotonic_time now);
    /// The VM chose the version for a query.
    void
    version_chosen(
        const std::string& vm, const std::string& version, monotonic_time now);

    // Callers.
    /// The owner reported to the entry VM whether the request was executed.
    void
    outcome_reported(
        const std::string& wire_id, run_state run, monotonic_time now);
    void
    caller_answered(const caller_answer& answer, monotonic_time now);
    /// A caller received the outcome of an attempt at a non-idempotent request.
    void
    attempt_outcome_reported(
        const std::string& attempt, run_state run, monotonic_time now);

    /// Checks the bounds that can be missed without an event (R11).
    void
    check(monotonic_time now);

    const std::vector<violation>&
    violations() const
    {
        return violations_;
    }

    // Totals of the run.
    std::size_t executions = 0;
    std::size_t answers = 0;
    std::size_t complete_answers = 0;

private:
    struct observed_vm
    {
        monotonic_time disturbed_until; ///< the start time if undisturbed
        std::uint64_t version = 0;      ///< of the adopted table
        /// Instance id and reported limit by target name.
        std::map<std::string, std::pair<std::string, std::uint32_t>>
            known_targets;
    };

    struct observed_target
    {
        std::string instance;
        std::map<std::string, std::uint32_t> successes; ///< by instance id
        bool leaving = false;
        monotonic_time leaving_since;
    };

    /// A request to a target with the limits that apply to it.
    struct tracked_request
    {
        wire_send send;
        monotonic_time sent_at;
        std::uint32_t limit = 0;
        std::uint32_t cold_limit = 0;
        std::string instance; ///< of the target that executes it
        bool running = false;
        bool executed = false;
        bool reported_not_run = false;
    };

    void
    add_violation(invariant rule, monotonic_time now, const std::string& text);
    void
    check_closed_target(const tracked_request& request, monotonic_time now);
    void
    check_share(const std::string& version, monotonic_time now);
    void
    check_limits(const tracked_request& request, monotonic_time now);
    void
    check_rows(const caller_answer& answer, monotonic_time now);

    std::map<std::string, observed_vm> vms_;
    std::map<std::string, observed_target> targets_;
    std::map<std::uint64_t, accepted_table> tables_;
    std::map<std::uint64_t, std::uint32_t> snapshots_;
    std::map<std::string, tracked_request> requests_;
    std::map<std::string, std::set<std::string>>
        running_by_target_; ///< request ids
    std::map<std::string, std::size_t> executions_by_key_;
    std::set<std::string> attempts_executed_;
    std::set<std::string> attempts_reported_not_run_;
    std::set<std::string> executed_shards_; ///< "query/snapshot/shard"
    std::vector<violation> violations_;
    std::string bad_version_;     ///< empty if no version is faulty
    std::size_t bad_replies_ = 0; ///< of the faulty version, over all VMs
    std::map<std::string, std::size_t> sends_by_version_;
    /// When enough failed replies had been received to detect the faulty
    /// version; max() before.
    monotonic_time fault_visible_since_ = monotonic_time::max();
    monotonic_time links_disturbed_until_{};
    monotonic_time platform_out_until_{};
};

} // namespace bramleymux::fuzz
