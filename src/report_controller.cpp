#include "report_controller.hpp"

#include "config.hpp"
#include "log_events.hpp"

#include <algorithm>

namespace bramleymux
{

using nlohmann::json;

namespace
{

/// Whether the reports are equal in all fields that other VMs act on; a report
/// that differs only in others is not sent to them.
bool
same_for_peers(const target_report& a, const target_report& b)
{
    return same_holdings(a, b) && a.instance == b.instance &&
           a.reachable == b.reachable && a.draining == b.draining &&
           a.slots_limit == b.slots_limit && a.proven_limit == b.proven_limit &&
           a.publisher == b.publisher;
}

} // namespace

report_controller::report_controller(
    blackboard& board, target_executor& executor, std::string self, bool direct)
    : board_(board), executor_(executor), self_(std::move(self)),
      direct_(direct), entries_(config::max_targets)
{
}

void
report_controller::publish(target_handle target, const target_report& report)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    store(target, report);
}

bool
report_controller::accepts(
    target_handle target, const entry& known, const target_report& report) const
{
    if (known.report.publisher == report.publisher)
    {
        return report.sequence > known.report.sequence;
    }
    // Sequence numbers of different publishers come from different clocks and
    // cannot be compared, so the report of the target's owner is accepted.
    const auto owners = board_.owners.get();
    const vm_handle owner = owners ? owner_of(*owners, target) : vm_handle{};
    return known.report.publisher.empty() ||
           (owner.is_valid() &&
               owners->vms[owner.index].id == report.publisher);
}

void
report_controller::store(target_handle target, const target_report& report)
{
    entry& known = entries_[target.index];
    if (!same_for_peers(known.report, report))
    {
        known.revision = ++revision_;
    }
    if (!same_holdings(known.report, report))
    {
        const auto topology = board_.topology.get();
        const catalog_target* row =
            topology ? find_target(*topology, target) : nullptr;
        if (row != nullptr)
        {
            changed_services_.push_back(row->service);
        }
    }
    if (report.draining && !known.report.draining)
    {
        log_event(event::target_draining, "target=" + report.target);
    }
    known.report = report;
}

void
report_controller::on_message(const peer_message& message)
{
    const auto items = message.body.find("items");
    if (items == message.body.end() || !items->is_array())
    {
        log_event(event::peer_message_invalid, "type=target_report");
        return;
    }
    const auto topology = board_.topology.get();
    for (const json& item : *items)
    {
        target_report report;
        if (!parse_report(item, report))
        {
            log_event(event::peer_message_invalid, "type=target_report");
            continue;
        }
        report.publisher = message.from;
        const auto row = topology
                             ? std::find_if(topology->targets.begin(),
                                   topology->targets.end(),
                                   [&](const catalog_target& t)
                                   { return t.name == report.target; })
                             : std::vector<catalog_target>::const_iterator();
        if (!topology || row == topology->targets.end() ||
            !row->self.is_valid())
        {
            continue;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        if (accepts(row->self, entries_[row->self.index], report))
        {
            executor_.apply_owner_report(row->self, report);
            store(row->self, report);
        }
    }
}

void
report_controller::refresh()
{
    const auto topology = board_.topology.get();
    if (!topology)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<target_report> reports;
    const bool all = compiled_ != topology;
    if (all || !changed_services_.empty())
    {
        reports.reserve(entries_.size());
        for (const entry& e : entries_)
        {
            reports.push_back(e.report);
        }
    }
    if (all)
    {
        board_.routes.set(build_routing_index(*topology, reports));
        compiled_ = topology;
    }
    else
    {
        std::sort(changed_services_.begin(), changed_services_.end());
        changed_services_.erase(
            std::unique(changed_services_.begin(), changed_services_.end()),
            changed_services_.end());
        for (const service_handle service : changed_services_)
        {
            board_.routes.set(rebuild_service(
                *board_.routes.get(), *topology, reports, service));
        }
    }
    changed_services_.clear();
    refresh_facts(*topology);
}

void
report_controller::refresh_facts(const catalog& topology)
{
    const auto owners = board_.owners.get();
    auto facts = std::make_shared<std::vector<target_facts>>();
    facts->resize(topology.targets.size());
    for (const catalog_target& row : topology.targets)
    {
        if (!row.self.is_valid())
        {
            continue;
        }
        const target_report& report = entries_[row.self.index].report;
        target_facts& f = (*facts)[row.self.index];
        f.reachable = report.reachable;
        f.draining = row.draining || report.draining;
        f.zone_out = row.zone_out;
        f.owner_known =
            direct_ || (owners && owner_of(*owners, row.self).is_valid());
    }
    board_.facts.set(std::move(facts));
}

json
report_controller::changes_for(
    const std::string& peer, std::uint64_t incarnation, bool repeat)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    peer_progress& progress = peers_[peer];
    if (progress.incarnation != incarnation)
    {
        progress = {incarnation, 0, 0};
    }
    json items = json::array();
    for (const entry& e : entries_)
    {
        const bool own = e.revision > 0 && e.report.publisher == self_;
        if (own && (repeat || e.revision > progress.sent))
        {
            items.push_back(to_json(e.report));
        }
    }
    progress.offered = revision_;
    return items.empty() ? json() : json{{"items", std::move(items)}};
}

void
report_controller::mark_sent(const std::string& peer, std::uint64_t incarnation)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    peer_progress& progress = peers_[peer];
    if (progress.incarnation == incarnation)
    {
        progress.sent = progress.offered;
    }
}

std::vector<target_report>
report_controller::all() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<target_report> out;
    for (const entry& e : entries_)
    {
        if (!e.report.target.empty())
        {
            out.push_back(e.report);
        }
    }
    return out;
}

} // namespace bramleymux
