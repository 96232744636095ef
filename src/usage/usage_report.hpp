#pragma once

#include "usage/usage_collector.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

/// Decides which report the holder of the duty makes next, so that two
/// different counts are never sent for one window.
namespace bramleymux
{

struct usage_limits
{
    duration window{};
    double tolerance = 0; ///< share by which a count may be off
    duration due_after{}; ///< the end of the window
};

/// Counts of one window from the collectors of all zones.
struct window_evidence
{
    std::map<std::pair<std::string, std::uint64_t>, source_usage> sources;
    /// VMs that run nothing any more: they accept no connection, or have sent
    /// and answered nothing since the collection began.
    std::set<std::string> stopped;
    std::map<std::string, std::uint32_t> unanswered; ///< questions, by VM
};

/// Adds the reply of one collector. Of two states of a process, the complete
/// one counts, then the one of the later message.
void
merge_sources(window_evidence& evidence, std::vector<source_usage>&& sources);

/// Records that a VM that its collectors lack did not answer a question itself.
/// `refused`: it accepted no connection.
void
record_no_answer(
    window_evidence& evidence, const std::string& vm, bool refused);

/// What the evidence of a window says about its counts.
struct window_summary
{
    workspace_counts counts;
    std::vector<std::string> missing; ///< VMs whose counts are not complete
    /// Estimated share of the requests that the counts lack.
    double missing_share = 0;
    bool known = false; ///< some VM counted in the window
};

/// `live` are the registered VMs. The estimate takes a VM that is missing for
/// one with the mean count of the others; one that stopped, or
/// is registered no more, lacks at most the time between two of its messages.
window_summary
summarize(const window_evidence& evidence, const std::vector<std::string>& live,
    const usage_limits& limits);

enum class report_verdict
{
    wait,
    report,
    skip,
    count
};

/// `now` is the true time.
report_verdict
judge_window(window_id window, const window_summary& summary,
    const usage_limits& limits, duration now);

/// A report as the lease object holds it.
struct usage_record
{
    window_id window = 0;
    std::string body; ///< a repeat sends these bytes
};

enum class report_progress
{
    open,
    answered,
    given_up,
    count
};

enum class plan_step_kind
{
    none,
    write, ///< write `records` into the lease object
    send,  ///< send the report of `window`
    count
};

struct plan_step
{
    plan_step_kind kind = plan_step_kind::none;
    window_id window = 0;
    std::vector<usage_record> records;
    std::string body;
};

/// Windows that are not reported, and why.
struct skipped_windows
{
    window_id first = 0;
    window_id last = 0;
    std::string_view reason;
};

/// Reports of this VM as the holder. A window is sent only with the bytes that
/// the lease object holds, and a new one is written only if it is later than
/// all that the object holds, so no window gets a second count, whoever holds
/// the duty.
struct usage_plan
{
    struct report
    {
        usage_record record;
        report_progress progress = report_progress::open;
        std::uint32_t attempts = 0;
        duration retry_at{}; ///< true time
        bool own = false;    ///< decided by this process
    };

    usage_limits limits;
    bool holding = false;
    std::uint64_t era = 0;
    duration era_seen_at{};               ///< true time; set in eras above 0
    std::vector<report> written;          ///< ascending; in the lease object
    std::optional<usage_record> draft;    ///< not known to be written
    std::size_t kept = 0;                 ///< records in the next write
    window_id next = 0;                   ///< to be decided
    std::vector<skipped_windows> skipped; ///< not logged yet
};

/// This VM holds the duty from now on, in an era of the store; `records` are
/// those of the lease object.
void
begin_holding(usage_plan& plan, std::uint64_t era,
    std::vector<usage_record> records, duration now);

void
end_holding(usage_plan& plan);

/// Returns whether the counts of the window `plan.next` shall be collected.
/// Then `put_report` or `skip_window` decides it.
bool
is_window_due(usage_plan& plan, duration now);

plan_step
next_plan_step(usage_plan& plan, duration now);

/// Sets the body of the report of the window to be decided.
void
put_report(usage_plan& plan, window_id window, std::string body);

void
skip_window(usage_plan& plan, window_id window, std::string_view reason);

/// Records the result of a `write` step.
void
record_written(usage_plan& plan);
void
record_write_refused(usage_plan& plan);

/// Records the result of a `send` step.
void
record_sent(usage_plan& plan, window_id window, bool accepted, duration now);

/// Returns the report of a window; null if the lease object has none.
const usage_plan::report*
find_report(const usage_plan& plan, window_id window);

} // namespace bramleymux
