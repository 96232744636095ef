#include "usage/usage_report.hpp"

#include "config/usage.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

/// Leads are shorter where reports are due soon after the window.
duration
lead(duration wanted, double share, const usage_limits& limits)
{
    return std::min(
        wanted, std::chrono::duration_cast<duration>(limits.due_after * share));
}

duration
skip_lead(const usage_limits& limits)
{
    return lead(config::usage_skip_lead, config::usage_skip_lead_share, limits);
}

duration
decision_lead(const usage_limits& limits)
{
    return lead(
        config::usage_decision_lead, config::usage_decision_lead_share, limits);
}

/// Returns the first window whose report is not late at `now`.
window_id
first_in_time(const usage_limits& limits, duration now)
{
    return window_of(now - limits.due_after, limits.window);
}

} // namespace

void
merge_sources(window_evidence& evidence, std::vector<source_usage>&& sources)
{
    for (source_usage& s : sources)
    {
        const auto key = std::make_pair(s.vm, s.process);
        const auto [at, added] = evidence.sources.try_emplace(key, s);
        const source_usage& known = at->second;
        const bool better = s.complete != known.complete
                                ? s.complete
                                : s.sequence > known.sequence;
        if (!added && better)
        {
            evidence.stopped.erase(s.vm);
            evidence.unanswered.erase(s.vm);
            at->second = std::move(s);
        }
    }
}

void
record_no_answer(window_evidence& evidence, const std::string& vm, bool refused)
{
    const bool silent = ++evidence.unanswered[vm] >= config::usage_silent_after;
    if (refused || silent)
    {
        evidence.stopped.insert(vm);
    }
}

window_summary
summarize(const window_evidence& evidence, const std::vector<std::string>& live,
    const usage_limits& limits)
{
    window_summary out;
    const std::set<std::string> registered(live.begin(), live.end());
    std::map<std::string, double> counted;
    std::set<std::string> complete;
    for (const auto& [key, source] : evidence.sources)
    {
        double& of_vm = counted[source.vm];
        for (const auto& [workspace, count] : source.counts)
        {
            out.counts[workspace] += count;
            of_vm += static_cast<double>(count);
        }
        if (source.complete)
        {
            complete.insert(source.vm);
            out.known = out.known || source.sequence > 0;
        }
    }
    for (const std::string& vm : live)
    {
        counted.try_emplace(vm, 0.0);
    }
    double total = 0;
    double of_complete = 0;
    for (const auto& [vm, count] : counted)
    {
        total += count;
        of_complete += complete.count(vm) != 0 ? count : 0;
    }
    const double mean =
        of_complete / std::max(1.0, static_cast<double>(complete.size()));
    const double unsent_share =
        std::chrono::duration<double>(config::usage_message_period) /
        std::chrono::duration<double>(limits.window);
    double lacking = 0;
    double missing_vms = 0;
    for (const auto& [vm, count] : counted)
    {
        if (complete.count(vm) != 0)
        {
            continue;
        }
        out.missing.push_back(vm);
        const bool stopped =
            evidence.stopped.count(vm) != 0 || registered.count(vm) == 0;
        const double weight = stopped ? std::min(1.0, unsent_share) : 1.0;
        lacking += stopped ? mean * weight : std::max(mean, count);
        missing_vms += weight;
    }
    // Without any request the number of the VMs is the only measure.
    out.missing_share =
        total + lacking > 0
            ? lacking / (total + lacking)
            : missing_vms / std::max(1.0, static_cast<double>(counted.size()));
    return out;
}

report_verdict
judge_window(window_id window, const window_summary& summary,
    const usage_limits& limits, duration now)
{
    const duration due = end_of(window, limits.window) + limits.due_after;
    if (summary.known && summary.missing.empty())
    {
        return now < due ? report_verdict::report : report_verdict::skip;
    }
    if (now >= due - skip_lead(limits))
    {
        return report_verdict::skip;
    }
    const bool tolerable =
        summary.known && summary.missing_share <= limits.tolerance;
    return now >= due - decision_lead(limits) && tolerable
               ? report_verdict::report
               : report_verdict::wait;
}

namespace
{

usage_plan::report*
find(usage_plan& plan, window_id window)
{
    const auto found = std::find_if(plan.written.begin(), plan.written.end(),
        [&](const auto& r) { return r.record.window == window; });
    return found == plan.written.end() ? nullptr : &*found;
}

void
drop_oldest_reports(usage_plan& plan)
{
    while (plan.written.size() > config::max_pending_reports)
    {
        const auto oldest = plan.written.begin();
        if (oldest->progress == report_progress::open)
        {
            plan.skipped.push_back({oldest->record.window,
                oldest->record.window, "the report was not answered"});
        }
        plan.written.erase(oldest);
    }
}

/// Takes in the records of the lease object. Those that only this process knows
/// are from an era before, and are repeated if they were not answered.
void
take_records(usage_plan& plan, std::vector<usage_record>&& records)
{
    for (usage_record& record : records)
    {
        usage_plan::report* known = find(plan, record.window);
        if (known == nullptr)
        {
            plan.written.push_back({std::move(record)});
        }
        else if (known->record.body != record.body)
        {
            *known = {std::move(record)};
        }
    }
    std::sort(plan.written.begin(), plan.written.end(),
        [](const auto& a, const auto& b)
        { return a.record.window < b.record.window; });
    drop_oldest_reports(plan);
}

} // namespace

void
begin_holding(usage_plan& plan, std::uint64_t era,
    std::vector<usage_record> records, duration now)
{
    plan.holding = true;
    plan.draft.reset();
    plan.kept = config::max_pending_reports;
    if (era > plan.era)
    {
        plan.era = era;
        plan.era_seen_at = now;
    }
    const bool from_this_era = !records.empty() || era == 0;
    take_records(plan, std::move(records));
    const window_id in_time = first_in_time(plan.limits, now);
    const window_id known =
        plan.written.empty() ? in_time : plan.written.back().record.window + 1;
    plan.next = std::max(known, in_time);
    if (!from_this_era)
    {
        // What the holders of an earlier era sent is lost with their records.
        plan.next = std::max(
            plan.next, window_of(plan.era_seen_at + config::usage_clock_margin,
                           plan.limits.window));
    }
    if (plan.next > known)
    {
        plan.skipped.push_back({known, plan.next - 1,
            from_this_era ? "no VM held the duty in time"
                          : "the store was restored"});
    }
}

void
end_holding(usage_plan& plan)
{
    plan.holding = false;
    plan.draft.reset();
}

namespace
{

/// Returns the earliest report that is not answered and due to be sent, or
/// null. Gives up reports that are long overdue.
usage_plan::report*
report_to_send(usage_plan& plan, duration now)
{
    for (usage_plan::report& r : plan.written)
    {
        const duration last = end_of(r.record.window, plan.limits.window) +
                              plan.limits.due_after + config::usage_repeat_time;
        if (r.progress == report_progress::open && now >= last)
        {
            r.progress = report_progress::given_up;
            plan.skipped.push_back({r.record.window, r.record.window,
                "the report was not answered"});
        }
        if (r.progress == report_progress::open && now >= r.retry_at)
        {
            return &r;
        }
    }
    return nullptr;
}

std::vector<usage_record>
records_to_write(const usage_plan& plan)
{
    std::vector<usage_record> out;
    for (const usage_plan::report& r : plan.written)
    {
        out.push_back(r.record);
    }
    out.push_back(*plan.draft);
    if (out.size() > plan.kept)
    {
        out.erase(
            out.begin(), out.end() - static_cast<std::ptrdiff_t>(plan.kept));
    }
    return out;
}

} // namespace

bool
is_window_due(usage_plan& plan, duration now)
{
    if (!plan.holding || plan.draft)
    {
        return false;
    }
    const window_id in_time = first_in_time(plan.limits, now);
    if (plan.next < in_time)
    {
        plan.skipped.push_back(
            {plan.next, in_time - 1, "the counts were not collected in time"});
        plan.next = in_time;
    }
    return now >=
           end_of(plan.next, plan.limits.window) + config::usage_settle_time;
}

plan_step
next_plan_step(usage_plan& plan, duration now)
{
    plan_step out;
    if (!plan.holding)
    {
        return out;
    }
    if (plan.draft)
    {
        out.kind = plan_step_kind::write;
        out.window = plan.draft->window;
        out.records = records_to_write(plan);
        return out;
    }
    if (const usage_plan::report* r = report_to_send(plan, now))
    {
        out.kind = plan_step_kind::send;
        out.window = r->record.window;
        out.body = r->record.body;
        return out;
    }
    return out;
}

void
put_report(usage_plan& plan, window_id window, std::string body)
{
    if (plan.holding && !plan.draft && window == plan.next)
    {
        plan.draft = usage_record{window, std::move(body)};
        plan.next = window + 1;
    }
}

void
skip_window(usage_plan& plan, window_id window, std::string_view reason)
{
    if (plan.holding && window == plan.next)
    {
        plan.skipped.push_back({window, window, reason});
        plan.next = window + 1;
    }
}

void
record_written(usage_plan& plan)
{
    if (!plan.holding || !plan.draft)
    {
        return;
    }
    plan.written.push_back({std::move(*plan.draft)});
    plan.written.back().own = true;
    plan.draft.reset();
    plan.kept = config::max_pending_reports;
    drop_oldest_reports(plan);
}

void
record_write_refused(usage_plan& plan)
{
    if (!plan.holding || !plan.draft)
    {
        return;
    }
    if (plan.kept > 1)
    {
        plan.kept /= 2;
        return;
    }
    plan.skipped.push_back({plan.draft->window, plan.draft->window,
        "the counts do not fit the lease object"});
    plan.draft.reset();
    plan.kept = config::max_pending_reports;
}

void
record_sent(usage_plan& plan, window_id window, bool accepted, duration now)
{
    usage_plan::report* r = find(plan, window);
    if (r == nullptr)
    {
        return;
    }
    if (accepted)
    {
        r->progress = report_progress::answered;
        return;
    }
    constexpr std::uint32_t max_doublings = 3;
    const auto factor = 1U << std::min(r->attempts, max_doublings);
    ++r->attempts;
    r->retry_at = now + duration(config::usage_send_period) * factor;
}

const usage_plan::report*
find_report(const usage_plan& plan, window_id window)
{
    const auto found = std::find_if(plan.written.begin(), plan.written.end(),
        [&](const auto& r) { return r.record.window == window; });
    return found == plan.written.end() ? nullptr : &*found;
}

} // namespace bramleymux
