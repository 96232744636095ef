#include "rollout_controller.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

bool
is_same_order(const rollout_order& a, const rollout_order& b)
{
    return a.version == b.version && a.created == b.created;
}

} // namespace

rollout_controller::rollout_controller(entry_context& context,
    std::string vm_id, rollout_limits limits, rollout_handlers handlers)
    : context_(context), vm_id_(std::move(vm_id)), limits_(limits),
      handlers_(std::move(handlers))
{
}

void
rollout_controller::set_limits(rollout_limits limits)
{
    limits_ = limits;
}

void
rollout_controller::put(const rollout_order& order)
{
    const monotonic_time now = monotonic_clock::now();
    const auto found = rollouts_.find(order.service);
    const bool known =
        found != rollouts_.end() && is_same_order(found->second.order, order);
    if (!known)
    {
        rollouts_[order.service] = {};
    }
    rollout& r = rollouts_[order.service];
    r.order = order;
    if (!known)
    {
        r.seen_at = now;
        r.decided_at = now;
    }
    // A verdict in the store overrides the verdict of this VM.
    const bool ended =
        order.acknowledged && order.state != rollout_state::running;
    if (ended && r.verdict != order.state)
    {
        r.verdict = order.state;
        r.decided_at = now;
        log_verdict(r, pooled_counts(order));
    }
    r.held = false;
    compare_with_store(r, now);
    decide(r, now);
}

void
rollout_controller::compare_with_store(rollout& r, monotonic_time now)
{
    const rollout_order& order = r.order;
    if (order.acknowledged && order.state == r.verdict)
    {
        r.stored_at = r.verdict == rollout_state::running
                          ? std::nullopt
                          : std::optional<store_revision>(order.revision);
        r.lost = false;
        return;
    }
    const bool lost = r.verdict != rollout_state::running && r.stored_at &&
                      order.revision.era > r.stored_at->era;
    if (lost && !r.lost)
    {
        r.lost = true;
        r.decided_at = now; // the ranks of the VMs stagger the write again
    }
}

void
rollout_controller::hold(const std::string& service)
{
    const auto found = rollouts_.find(service);
    if (found != rollouts_.end())
    {
        found->second.held = true;
    }
}

void
rollout_controller::repeat_report()
{
    reported_replies_ = -1;
}

void
rollout_controller::remove(const std::string& service)
{
    rollouts_.erase(service);
    context_.pool.set_version_share(service, std::nullopt);
}

void
rollout_controller::take_report(const std::string& vm, rollout_report&& report)
{
    if (vm != vm_id_)
    {
        reports_[vm] = std::move(report);
    }
}

void
rollout_controller::set_vms(std::vector<std::string> ids)
{
    vms_ = std::move(ids);
    std::sort(vms_.begin(), vms_.end());
}

rollout_counts
rollout_controller::own_counts(const rollout_order& order) const
{
    return context_.pool.version_counts(order.service);
}

rollout_counts
rollout_controller::pooled_counts(const rollout_order& order) const
{
    rollout_counts out = own_counts(order);
    for (const auto& [vm, report] : reports_)
    {
        for (const rollout_report::entry& e : report.entries)
        {
            if (e.service == order.service && e.version == order.version &&
                e.created == order.created)
            {
                out += e.counts;
            }
        }
    }
    return out;
}

bool
rollout_controller::is_active() const
{
    return std::any_of(rollouts_.begin(), rollouts_.end(),
        [](const auto& r)
        { return r.second.order.state == rollout_state::running; });
}

/// Returns the delay before this VM writes a verdict. It grows with the rank of
/// the VM, so that usually only the first VM writes.
duration
rollout_controller::write_delay() const
{
    const auto found = std::find(vms_.begin(), vms_.end(), vm_id_);
    const auto rank = std::min<std::ptrdiff_t>(
        found - vms_.begin(), config::rollout_max_stagger_steps);
    return rank * duration(config::rollout_write_stagger);
}

void
rollout_controller::decide(rollout& r, monotonic_time now)
{
    const rollout_counts counts = pooled_counts(r.order);
    const rollout_progress progress{now - r.seen_at, r.order.time_limit, counts,
        handlers_.is_evidence_current()};
    const bool written = r.order.acknowledged && r.order.state == r.verdict;
    const bool open =
        r.verdict == rollout_state::running ||
        (r.verdict == rollout_state::completed && !written && !r.lost);
    const rollout_state next = open ? verdict_of(progress, limits_) : r.verdict;
    if (next != r.verdict)
    {
        r.verdict = next;
        r.decided_at = now;
        if (next != rollout_state::running)
        {
            log_verdict(r, counts);
        }
    }
    switch (r.verdict)
    {
    case rollout_state::completed:
        apply_share(r, 1.0);
        break;
    case rollout_state::withdrawn:
        apply_share(r, 0.0);
        break;
    default:
        apply_share(r, share_at(progress, limits_));
    }
}

void
rollout_controller::apply_share(const rollout& r, double share)
{
    context_.pool.set_version_share(r.order.service,
        rollout_share{r.order.version, r.order.created, share});
}

/// Writes the verdict, with retries until the store shows it. The verdict
/// `running` is written as well, which acknowledges a new order.
void
rollout_controller::write_if_due(rollout& r, monotonic_time now)
{
    const bool written = r.order.acknowledged && r.order.state == r.verdict;
    if (written || r.held || now < r.decided_at + write_delay() ||
        now < r.next_write_at)
    {
        return;
    }
    r.next_write_at = now + config::rollout_write_retry;
    handlers_.write_state(r.order, r.verdict, r.lost);
}

/// Writes a report if there are new replies. The period grows with the number
/// of VMs, which bounds the rate of writes of all VMs together.
void
rollout_controller::report_if_due(monotonic_time now)
{
    if (now < next_report_at_)
    {
        return;
    }
    next_report_at_ =
        now + std::max<duration>(config::rollout_report_period,
                  vms_.size() * duration(config::rollout_report_gap));
    rollout_report report;
    double replies = 0;
    for (const auto& [service, r] : rollouts_)
    {
        if (r.order.state == rollout_state::running)
        {
            const rollout_counts counts = own_counts(r.order);
            replies += counts.fresh.replies + counts.former.replies;
            report.entries.push_back(
                {service, r.order.version, r.order.created, counts});
        }
    }
    if (!report.entries.empty() && replies != reported_replies_)
    {
        reported_replies_ = replies;
        handlers_.write_report(report);
    }
}

void
rollout_controller::tick()
{
    const monotonic_time now = monotonic_clock::now();
    const bool active = is_active();
    if (active != following_)
    {
        following_ = active;
        handlers_.follow_reports(active);
    }
    if (!active)
    {
        reports_.clear();
        return;
    }
    for (auto& [service, r] : rollouts_)
    {
        decide(r, now);
        write_if_due(r, now);
    }
    report_if_due(now);
}

void
rollout_controller::log_verdict(const rollout& r, const rollout_counts& counts)
{
    const monotonic_time now = monotonic_clock::now();
    const event what = r.verdict == rollout_state::completed
                           ? event::move_done
                           : event::move_withdrawn;
    if (context_.log.try_admit(what, now))
    {
        context_.log.write(what,
            {{"service", r.order.service}, {"version", r.order.version},
                {"state",
                    rollout_state_names[static_cast<std::size_t>(r.verdict)]},
                {"from_store", r.order.state == r.verdict},
                {"fresh_replies", counts.fresh.replies},
                {"fresh_bad", counts.fresh.bad},
                {"former_replies", counts.former.replies},
                {"former_bad", counts.former.bad},
                {"elapsed_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - r.seen_at)
                        .count()},
                {"revision", r.order.revision.number}});
    }
}

} // namespace bramleymux
