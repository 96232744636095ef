#include "world.hpp"

#include "table_edit.hpp"

#include <algorithm>
#include <utility>

namespace bramleymux::fuzz
{

namespace
{

using nlohmann::json;

constexpr duration tick_period = 50ms;
constexpr duration balancer_delay = 500ms;

} // namespace

fuzz_vm::fuzz_vm(vm_identity identity, std::uint64_t seed, monotonic_time now,
    vm_platform platform_view)
    : self(identity), members(make_membership(identity, seed)),
      tables(make_distribution(identity, seed + 1)),
      ownership({identity.id, identity.incarnation}, now), random(seed + 2),
      platform(platform_view), records(platform, seed + 3)
{
    moves.vm = identity.id;
}

bool
world::chance(double p)
{
    return std::bernoulli_distribution(p)(random_);
}

duration
world::between(std::chrono::microseconds low, std::chrono::microseconds high)
{
    return std::chrono::microseconds(std::uniform_int_distribution<long>(
        low.count(), high.count())(random_));
}

void
world::schedule(duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++order_, std::move(action)});
}

void
world::schedule_on_vm(const std::string& vm, std::uint64_t incarnation,
    duration delay, std::function<void(fuzz_vm&)> action)
{
    schedule(delay,
        [this, vm, incarnation, action = std::move(action)]
        {
            const auto found = vms_.find(vm);
            if (found == vms_.end() ||
                found->second->self.incarnation != incarnation)
            {
                return;
            }
            fuzz_vm& to = *found->second;
            if (to.paused_until > now_)
            {
                to.deferred_events.push_back([action, &to] { action(to); });
                return;
            }
            action(to);
        });
}

void
world::advance(duration time)
{
    const monotonic_time end = now_ + time;
    while (now_ < end)
    {
        next_tick_ = std::max(next_tick_, now_) + tick_period;
        while (!events_.empty() && events_.top().at <= next_tick_)
        {
            const event next = events_.top();
            events_.pop();
            now_ = std::max(now_, next.at);
            next.action();
        }
        now_ = next_tick_;
        platform_.down = now_ < outage_until_;
        std::vector<fuzz_vm*> running;
        for (auto& [id, vm] : vms_)
        {
            if (vm->paused_until <= now_)
            {
                running.push_back(vm.get());
            }
        }
        for (fuzz_vm* vm : running)
        {
            tick(*vm);
        }
        for (fuzz_vm* vm : running)
        {
            if (vm->gone)
            {
                checker.vm_ended(vm->self.id, true,
                    vm->queries.size() + vm->writes.size(), now_);
                vms_.erase(vm->self.id);
            }
        }
        checker.check(now_);
    }
}

bool
world::can_reach(const fuzz_vm& from, const fuzz_vm& to) const
{
    return now_ >= cut_until_ || from.self.zone == to.self.zone ||
           (from.self.zone != cut_zone_ && to.self.zone != cut_zone_);
}

bool
world::can_reach_platform(const fuzz_vm& vm) const
{
    return now_ >= outage_until_ && now_ >= vm.watcher_cut_until &&
           (now_ >= cut_until_ || vm.self.zone != cut_zone_);
}

void
world::transmit(const fuzz_vm& from, const std::string& to,
    std::function<void(fuzz_vm&)> action)
{
    const auto found = vms_.find(to);
    if (found == vms_.end() || !can_reach(from, *found->second))
    {
        return;
    }
    const bool bad = now_ < bad_links_until_;
    if (bad && chance(0.05))
    {
        return;
    }
    for (int copies = bad && chance(0.05) ? 2 : 1; copies > 0; --copies)
    {
        schedule_on_vm(to, found->second->self.incarnation,
            bad ? between(1ms, 40ms) : between(200us, 3ms), action);
    }
}

void
world::start_vm(const std::string& id, const std::string& zone)
{
    const vm_identity self{id, zone, id + ":7946", ++next_incarnation_};
    if (std::none_of(vm_list_.begin(), vm_list_.end(),
            [&](const vm_list_entry& e) { return e.id == id; }))
    {
        vm_list_.push_back({id, zone, self.peer_address, vm_list_state::live});
    }
    auto vm = std::make_unique<fuzz_vm>(
        self, random_(), now_, vm_platform(platform_, fault_));
    seed_members(vm->members, vm_list_, now_);
    checker.vm_started(id, now_);
    vms_[id] = std::move(vm);
}

void
world::kill_vm(fuzz_vm& vm)
{
    const std::string id = vm.self.id;
    checker.vm_ended(id, false, 0, now_);
    vms_.erase(id);
}

fuzz_vm&
world::select_vm(unsigned subject)
{
    return *std::next(vms_.begin(), subject % vms_.size())->second;
}

fake_target&
world::target_of(const std::string& name)
{
    return *std::find_if(targets_.begin(), targets_.end(),
        [&](const fake_target& t) { return t.name == name; });
}

void
world::tick(fuzz_vm& vm)
{
    for (const auto& action :
        std::exchange(vm.deferred_events, std::vector<std::function<void()>>{}))
    {
        action();
    }
    const bool leaving = vm.stopping && now_ >= vm.stop_at;
    member_digest digest;
    digest.table_version = vm.tables.version;
    digest.platform_reachable = can_reach_platform(vm);
    digest.state = vm.ownership.is_ready() && !vm.stopping
                       ? serving_state::serving
                       : serving_state::draining;
    const member_digest& old = vm.members.digest;
    if (digest.table_version != old.table_version ||
        digest.platform_reachable != old.platform_reachable ||
        digest.state != old.state)
    {
        set_local_digest(vm.members, digest);
    }
    send(vm, tick_members(vm.members, now_));
    update_view(vm);
    send(vm, tick_distribution(vm.tables, known_vms(vm.members), now_));
    if (leaving)
    {
        send(vm, vm.ownership.leave(now_));
    }
    send(vm, vm.ownership.tick(now_));
    vm.platform.reachable = can_reach_platform(vm);
    (void)vm.records.retry_pending(call_now());
    expire_writes(vm);
    poll_platform(vm);
    if (vm.topology)
    {
        poll_targets(vm);
        run_moves(vm);
        for (const catalog_target& row : vm.topology->targets)
        {
            if (row.self.is_valid())
            {
                process_queue(vm, row);
            }
        }
        if (!leaving && chance(query_probability_))
        {
            start_query(vm);
        }
    }
    finish_queries(vm);
    if (leaving)
    {
        finish_stop(vm);
    }
}

void
world::finish_stop(fuzz_vm& vm)
{
    for (auto& [index, state] : vm.limits)
    {
        refuse(vm, refuse_all(state, miss_reason::draining));
    }
    const bool idle =
        vm.jobs.empty() && vm.queries.empty() && vm.writes.empty();
    if (idle || fault_ == breakage::stop_without_wait)
    {
        send(vm, leave_members(vm.members, now_));
        vm.gone = true;
    }
}

void
world::update_view(fuzz_vm& vm)
{
    const auto events = take_member_events(vm.members);
    const bool own_zone = std::any_of(events.begin(), events.end(),
        [&](const member_event& e) { return e.vm.zone == vm.self.zone; });
    if (!own_zone && !vm.members.members.empty())
    {
        return;
    }
    std::vector<vm_ref> refs;
    for (const vm_identity& member : live_members(vm.members, vm.self.zone))
    {
        refs.push_back({member.id, member.incarnation});
    }
    send(vm, vm.ownership.set_live_members(refs, now_));
}

void
world::send(fuzz_vm& vm, const membership_messages& messages)
{
    for (const membership_message& each : messages)
    {
        if (each.message.type == peer_message_type::table)
        {
            if (fault_ != breakage::offers_dropped)
            {
                transmit(vm, each.to.id,
                    [this, m = each.message](fuzz_vm& to)
                    {
                        if (fault_ == breakage::any_version_adopted)
                        {
                            to.tables.version = 0;
                        }
                        apply_distribution(
                            to, on_table_message(
                                    to.tables, m, known_vms(to.members), now_));
                    });
            }
            continue;
        }
        transmit(vm, each.to.id,
            [this, m = each.message](fuzz_vm& to)
            { send(to, on_member_message(to.members, m, now_)); });
    }
}

void
world::send(fuzz_vm& vm, ownership_actions actions)
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto& [key, job] : vm.jobs)
    {
        if (!job.wire_id.empty())
        {
            ++counts[job.request.target_name];
        }
    }
    std::vector<running_count> running;
    for (const auto& [target, count] : counts)
    {
        running.push_back({target, count});
    }
    fill_running(actions, running);
    const auto deliver = [&](const vm_ref& to, auto message, auto handler)
    {
        transmit(vm, to.id,
            [this, message, handler](fuzz_vm& receiver)
            {
                if (vm_ref{receiver.self.id, receiver.self.incarnation} ==
                    message.to)
                {
                    send(
                        receiver, (receiver.ownership.*handler)(message, now_));
                }
            });
    };
    for (const view_request& m : actions.requests)
    {
        deliver(m.to, m, &ownership_state::on_view_request);
    }
    for (const view_ack& m : actions.acks)
    {
        if (m.granted)
        {
            transmit(vm, m.to.id,
                [this](fuzz_vm& receiver) { receiver.last_ack = now_; });
        }
        deliver(m.to, m, &ownership_state::on_view_ack);
    }
    for (const view_release& m : actions.releases)
    {
        deliver(m.to, m, &ownership_state::on_view_release);
    }
}

void
world::apply_distribution(fuzz_vm& vm, const distribution_result& result)
{
    if (result.adopted)
    {
        checker.table_adopted(vm.self.id, vm.tables.version, now_);
        apply_new_table(vm);
    }
    send(vm, result.messages);
}

void
world::apply_new_table(fuzz_vm& vm)
{
    findings found;
    const table value = parse_table(*vm.tables.value, vm.tables.version, found);
    vm.topology = build_catalog(value, vm.names);
    vm.reports.resize(vm.topology->targets.size());
    vm.routes = build_routing_index(*vm.topology, vm.reports);
    update_moves(vm.moves, *vm.topology, {now_, call_now().unix_ms});
    for (const catalog_target& row : vm.topology->targets)
    {
        if (row.self.is_valid())
        {
            refuse(vm, configure(limits_of(vm, row), effective_row(row)));
        }
    }
}

void
world::poll_platform(fuzz_vm& vm)
{
    const auto found = platform_.objects.find(std::string(table_key));
    if (!can_reach_platform(vm) || found == platform_.objects.end() ||
        found->second.version <= vm.tables.version ||
        !watches_table(vm.self.id, known_vms(vm.members)))
    {
        return;
    }
    const object read = found->second;
    schedule_on_vm(vm.self.id, vm.self.incarnation, between(1ms, 30ms),
        [this, read](fuzz_vm& to)
        {
            apply_distribution(to, on_platform_table(to.tables, read.version,
                                       std::make_shared<const json>(read.value),
                                       known_vms(to.members), now_));
        });
}

/// Polls the targets under this VM's lease and applies and publishes
/// their reports.
void
world::poll_targets(fuzz_vm& vm)
{
    for (const catalog_target& row : vm.topology->targets)
    {
        if (!row.self.is_valid() ||
            lease_end(vm, row.name) == monotonic_time::min() ||
            !chance(0.1)) // on average every 500 ms (10 ticks)
        {
            continue;
        }
        schedule_on_vm(vm.self.id, vm.self.incarnation, between(1ms, 5ms),
            [this, name = row.name](fuzz_vm& owner)
            {
                const fake_target& target = target_of(name);
                target_report report;
                report.target = name;
                report.instance = target.instance();
                report.publisher = owner.self.id;
                report.sequence =
                    static_cast<std::uint64_t>(now_.time_since_epoch() / 1ms);
                report.reachable = true;
                report.draining =
                    target.draining && fault_ != breakage::report_ignored;
                report.slots_limit = target.reported_limit;
                report.snapshots = target.snapshots;
                record_report(owner, report, true);
            });
    }
}

void
world::record_report(fuzz_vm& vm, const target_report& report, bool own)
{
    const std::uint16_t index = vm.names.targets.find(report.target);
    if (!vm.topology || index >= vm.reports.size())
    {
        return;
    }
    const catalog_target& row = vm.topology->targets[index];
    owned_target_state& state = limits_of(vm, row);
    target_report published = report;
    target_report applied = report;
    if (fault_ == breakage::restart_unnoticed)
    {
        applied.instance =
            state.instance.empty() ? applied.instance : state.instance;
    }
    if (fault_ == breakage::reported_limit_lost)
    {
        applied.slots_limit = 0;
    }
    if (own)
    {
        checker.target_reported(
            vm.self.id, report.target, report.instance, report.slots_limit);
        refuse(vm, on_status(state, applied, now_, vm.random));
        published.proven_limit = proven_limit(state);
        for (const known_vm& peer : known_vms(vm.members))
        {
            if (peer.identity.id != vm.self.id &&
                peer.presence == vm_presence::live)
            {
                transmit(vm, peer.identity.id,
                    [this, published](fuzz_vm& to)
                    { record_report(to, published, false); });
            }
        }
    }
    else if (report.sequence <= vm.reports[index].sequence)
    {
        return;
    }
    else if (lease_end(vm, report.target) == monotonic_time::min())
    {
        checker.target_reported(
            vm.self.id, report.target, report.instance, report.slots_limit);
        apply_owner_report(state, applied);
    }
    const bool same = same_holdings(vm.reports[index], published);
    vm.reports[index] = published;
    if (!same)
    {
        vm.routes = build_routing_index(*vm.topology, vm.reports);
    }
}

} // namespace bramleymux::fuzz
