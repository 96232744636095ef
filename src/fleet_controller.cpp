#include "fleet_controller.hpp"

#include "log_events.hpp"
#include "ownership_codec.hpp"

#include <algorithm>
#include <ctime>
#include <unordered_set>

namespace bramleymux
{

using nlohmann::json;

namespace
{

event
log_event_of(member_event_kind kind)
{
    switch (kind)
    {
    case member_event_kind::suspected:
        return event::member_suspected;
    case member_event_kind::removed:
    case member_event_kind::left:
        return event::member_removed;
    default:
        return event::member_joined;
    }
}

bool
is_lost(member_event_kind kind)
{
    return kind == member_event_kind::removed ||
           kind == member_event_kind::left ||
           kind == member_event_kind::replaced;
}

bool
is_serving(const known_vm& vm)
{
    return vm.presence == vm_presence::live &&
           vm.digest.state == serving_state::serving;
}

std::uint64_t
thread_cpu_us()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<std::uint64_t>(used.tv_sec) * 1'000'000U +
           static_cast<std::uint64_t>(used.tv_nsec) / 1000U;
}

} // namespace

fleet_controller::fleet_controller(fleet_parts parts, vm_identity self,
    std::uint64_t seed, bool direct, control_message_handler message_handler,
    periodic_task task)
    : parts_(parts), self_(std::move(self)), direct_(direct),
      message_handler_(std::move(message_handler)),
      periodic_task_(std::move(task)), members_(make_membership(self_, seed)),
      tables_(make_distribution(self_, seed + 1))
{
}

fleet_controller::~fleet_controller()
{
    stop();
}

void
fleet_controller::start()
{
    thread_ = std::thread([this] { run(); });
}

void
fleet_controller::stop()
{
    {
        const std::lock_guard<std::mutex> lock(inbox_mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void
fleet_controller::post(peer_message message)
{
    {
        const std::lock_guard<std::mutex> lock(inbox_mutex_);
        inbox_.messages.push_back(std::move(message));
    }
    wake_.notify_all();
}

void
fleet_controller::post_table(std::uint64_t version, json value)
{
    {
        const std::lock_guard<std::mutex> lock(inbox_mutex_);
        inbox_.tables.push_back(
            {version, std::make_shared<const json>(std::move(value))});
    }
    wake_.notify_all();
}

void
fleet_controller::post_vm_list(std::vector<vm_list_entry> list)
{
    const std::lock_guard<std::mutex> lock(inbox_mutex_);
    inbox_.lists.push_back(std::move(list));
}

void
fleet_controller::set_platform_reachable(bool reachable)
{
    const std::lock_guard<std::mutex> lock(inbox_mutex_);
    platform_reachable_ = reachable;
}

bool
fleet_controller::watches() const
{
    const std::lock_guard<std::mutex> lock(status_mutex_);
    return watches_table(self_.id, status_.vms);
}

bool
fleet_controller::release_targets(monotonic_time until)
{
    std::unique_lock<std::mutex> lock(inbox_mutex_);
    releasing_ = true;
    wake_.notify_all();
    // Every tick repeats the release; the peers need a few round trips to take
    // over.
    wake_.wait_until(lock, until, [this] { return stopping_; });
    return !stopping_;
}

void
fleet_controller::leave()
{
    std::unique_lock<std::mutex> lock(inbox_mutex_);
    leaving_ = true;
    wake_.notify_all();
    wake_.wait_for(
        lock, config::probe_period, [this] { return left_ || stopping_; });
}

fleet_controller::inbox
fleet_controller::wait_for_input()
{
    std::unique_lock<std::mutex> lock(inbox_mutex_);
    wake_.wait_for(lock, config::control_period,
        [this] {
            return stopping_ || !inbox_.messages.empty() ||
                   !inbox_.tables.empty();
        });
    return std::exchange(inbox_, {});
}

void
fleet_controller::run()
{
    monotonic_time next_tick{};
    for (;;)
    {
        inbox input = wait_for_input();
        {
            const std::lock_guard<std::mutex> lock(inbox_mutex_);
            if (stopping_)
            {
                return;
            }
        }
        const monotonic_time now = monotonic_clock::now();
        handle(std::move(input), now);
        if (now >= next_tick)
        {
            tick(now);
            next_tick = now + config::control_period;
        }
        parts_.counters.set(counter::control_cpu_us, thread_cpu_us());
    }
}

void
fleet_controller::handle(inbox input, monotonic_time now)
{
    for (const std::vector<vm_list_entry>& list : input.lists)
    {
        seed_members(members_, list, now);
    }
    for (platform_table& t : input.tables)
    {
        known_ = known_vms(members_);
        apply_distribution(on_platform_table(
            tables_, t.version, std::move(t.value), known_, now));
    }
    for (const peer_message& message : input.messages)
    {
        handle_message(message, now);
    }
}

void
fleet_controller::handle_message(
    const peer_message& message, monotonic_time now)
{
    switch (message.type)
    {
    case peer_message_type::probe:
    case peer_message_type::ack:
    case peer_message_type::probe_request:
    case peer_message_type::leave:
        send(on_member_message(members_, message, now));
        break;
    case peer_message_type::view_request:
    case peer_message_type::view_ack:
    case peer_message_type::view_release:
        record_contact(members_, message.from, message.from_incarnation, now);
        handle_ownership(message, now);
        break;
    case peer_message_type::table:
        apply_distribution(on_table_message(tables_, message, known_, now));
        break;
    case peer_message_type::target_report:
        parts_.reports.on_message(message);
        break;
    default:
        if (message_handler_)
        {
            message_handler_(message);
        }
        break;
    }
}

void
fleet_controller::handle_ownership(
    const peer_message& message, monotonic_time now)
{
    view_request request;
    view_ack ack;
    view_release release;
    ownership_guard& guard = parts_.ownership;
    if (message.type == peer_message_type::view_request &&
        parse_message(message, request))
    {
        send(guard.with([&](ownership_state& s)
            { return s.on_view_request(request, now); }));
    }
    else if (message.type == peer_message_type::view_ack &&
             parse_message(message, ack))
    {
        send(guard.with(
            [&](ownership_state& s) { return s.on_view_ack(ack, now); }));
    }
    else if (message.type == peer_message_type::view_release &&
             parse_message(message, release))
    {
        send(guard.with([&](ownership_state& s)
            { return s.on_view_release(release, now); }));
    }
    else
    {
        log_event(
            event::peer_message_invalid, "type=view from=" + message.from);
    }
}

void
fleet_controller::apply_distribution(const distribution_result& result)
{
    if (result.adopted)
    {
        parts_.tables.apply_table(*tables_.value, tables_.version);
        next_owner_refresh_ = {};
    }
    send(result.messages);
}

void
fleet_controller::tick(monotonic_time now)
{
    bool releasing = false;
    bool leaving = false;
    bool reachable = false;
    {
        const std::lock_guard<std::mutex> lock(inbox_mutex_);
        releasing = releasing_;
        leaving = leaving_ && !left_;
        reachable = platform_reachable_;
    }
    member_digest digest;
    digest.table_version = parts_.tables.version();
    digest.platform_reachable = reachable;
    const bool ready =
        direct_ || parts_.ownership.with(
                       [](const ownership_state& s) { return s.is_ready(); });
    digest.state =
        ready && !releasing ? serving_state::serving : serving_state::draining;
    if (digest.table_version != members_.digest.table_version ||
        digest.platform_reachable != members_.digest.platform_reachable ||
        digest.state != members_.digest.state)
    {
        set_local_digest(members_, digest);
    }
    send(tick_members(members_, now));
    known_ = known_vms(members_);
    handle_events(now);
    send(tick_distribution(tables_, known_, now));
    if (releasing)
    {
        send(parts_.ownership.with(
            [&](ownership_state& s) { return s.leave(now); }));
    }
    send(
        parts_.ownership.with([&](ownership_state& s) { return s.tick(now); }));
    parts_.executor.tick(now);
    report_ended_work(now);
    refresh_owners(now);
    send_reports(now);
    parts_.request_dispatcher.expire(now);
    publish_status();
    if (leaving)
    {
        send(leave_members(members_, now));
        const std::lock_guard<std::mutex> lock(inbox_mutex_);
        left_ = true;
        wake_.notify_all();
    }
}

/// Reports when work at targets that this VM no longer owns has ended. Until
/// then, that work counts against the new owner's limit.
void
fleet_controller::report_ended_work(monotonic_time now)
{
    std::uint32_t unowned = 0;
    for (const running_count& r : parts_.executor.running())
    {
        if (parts_.ownership.lease_end_for(r.target, now) ==
            monotonic_time::min())
        {
            unowned += r.count;
        }
    }
    if (unowned < unowned_work_)
    {
        send(parts_.ownership.with(
            [&](ownership_state& s) { return s.on_running_changed(now); }));
    }
    unowned_work_ = unowned;
}

void
fleet_controller::handle_events(monotonic_time now)
{
    bool view_changed = false;
    for (const member_event& e : take_member_events(members_))
    {
        log_event(log_event_of(e.kind),
            "vm=" + e.vm.id +
                " incarnation=" + std::to_string(e.vm.incarnation) + " kind=" +
                std::string(
                    member_event_kind_names[static_cast<std::size_t>(e.kind)]));
        view_changed = view_changed || e.vm.zone == self_.zone;
        if (is_lost(e.kind))
        {
            parts_.request_dispatcher.on_peer_lost(e.vm.id);
        }
        next_owner_refresh_ = {};
    }
    if (view_changed || members_.members.empty())
    {
        update_view(now);
    }
}

void
fleet_controller::update_view(monotonic_time now)
{
    std::vector<vm_ref> refs;
    for (const vm_identity& vm : live_members(members_, self_.zone))
    {
        refs.push_back({vm.id, vm.incarnation});
    }
    ownership_actions actions = parts_.ownership.with(
        [&](ownership_state& s) { return s.set_live_members(refs, now); });
    if (actions.view_changed)
    {
        log_event(
            event::view_changed, "members=" + std::to_string(refs.size()));
    }
    send(std::move(actions));
}

void
fleet_controller::send(const membership_messages& messages)
{
    for (const membership_message& m : messages)
    {
        parts_.peers.send(m.to, m.message);
    }
}

void
fleet_controller::send(ownership_actions actions)
{
    if (actions.requests.empty() && actions.acks.empty() &&
        actions.releases.empty())
    {
        return;
    }
    // Read after the state change, so that no send under the previous view is
    // missed.
    fill_running(actions, parts_.executor.running());
    for (const view_request& m : actions.requests)
    {
        send_to(m.to, to_message(m));
    }
    for (const view_ack& m : actions.acks)
    {
        send_to(m.to, to_message(m));
    }
    for (const view_release& m : actions.releases)
    {
        send_to(m.to, to_message(m));
    }
}

void
fleet_controller::send_to(const vm_ref& to, const peer_message& message)
{
    vm_identity identity;
    identity.id = to.id;
    identity.incarnation = to.incarnation;
    const auto known = members_.members.find(to.id);
    if (known != members_.members.end())
    {
        identity = known->second.identity;
        identity.incarnation = to.incarnation;
    }
    parts_.peers.send(identity, message);
}

std::vector<vm_identity>
fleet_controller::live_peers() const
{
    std::vector<vm_identity> out;
    for (const known_vm& vm : known_)
    {
        if (vm.presence == vm_presence::live && vm.identity.id != self_.id)
        {
            out.push_back(vm.identity);
        }
    }
    return out;
}

void
fleet_controller::refresh_owners(monotonic_time now)
{
    if (now < next_owner_refresh_)
    {
        return;
    }
    next_owner_refresh_ = now + config::owner_update_period;
    const std::vector<vm_ref> view = parts_.ownership.with(
        [](const ownership_state& s) { return s.members(); });
    const bool may_act = parts_.ownership.with(
        [&](const ownership_state& s) { return s.may_act(now); });
    if (may_act != lease_held_)
    {
        lease_held_ = may_act;
        log_event(may_act ? event::lease_gained : event::lease_lapsed,
            "view_members=" + std::to_string(view.size()));
        parts_.counters.set(counter::lease_held, may_act ? 1 : 0);
    }
    auto map = std::make_shared<owner_map>();
    std::map<std::string, std::vector<vm_ref>> zones;
    std::map<vm_ref, vm_handle> handles;
    std::vector<std::string> key;
    for (const known_vm& vm : known_)
    {
        const vm_ref ref{vm.identity.id, vm.identity.incarnation};
        const bool own_zone = vm.identity.zone == self_.zone;
        const bool in_view =
            std::find(view.begin(), view.end(), ref) != view.end();
        if (own_zone ? !in_view : !is_serving(vm))
        {
            continue;
        }
        const vm_handle handle{static_cast<std::uint16_t>(map->vms.size())};
        map->vms.push_back(vm.identity);
        handles[ref] = handle;
        zones[vm.identity.zone].push_back(ref);
        key.push_back(ref.id + "/" + std::to_string(ref.incarnation));
        if (ref.id == self_.id)
        {
            map->self = handle;
        }
    }
    const auto topology = parts_.board.topology.get();
    if (topology && topology != owners_catalog_)
    {
        refresh_zone_targets(*topology);
    }
    if (topology && (key != owner_key_ || topology != owners_catalog_))
    {
        map->owners.resize(topology->targets.size());
        for (const catalog_target& target : topology->targets)
        {
            if (!target.self.is_valid())
            {
                continue;
            }
            const std::vector<vm_ref>& members =
                zones[topology->zones[target.zone.index].name];
            if (const auto owner = owner_of(target.name, members))
            {
                map->owners[target.self.index] = handles[members[*owner]];
            }
        }
        parts_.board.owners.set(std::move(map));
        owner_key_ = std::move(key);
        owners_catalog_ = topology;
    }
    parts_.reports.refresh();
    const std::vector<vm_identity> peers = live_peers();
    parts_.counters.set(counter::live_vms, peers.size() + 1);
    if (periodic_task_)
    {
        periodic_task_(peers);
    }
}

void
fleet_controller::refresh_zone_targets(const catalog& topology)
{
    std::unordered_set<std::string> names;
    for (const catalog_target& target : topology.targets)
    {
        if (target.self.is_valid() &&
            topology.zones[target.zone.index].name == self_.zone)
        {
            names.insert(target.name);
        }
    }
    parts_.ownership.set_zone_targets(std::move(names));
}

void
fleet_controller::send_reports(monotonic_time now)
{
    if (direct_)
    {
        return;
    }
    // All reports are repeated periodically, since a message that the link
    // accepted can still be lost with its connection.
    const bool repeat = now >= next_repeat_;
    if (repeat)
    {
        next_repeat_ = now + config::reports_repeat_period;
    }
    for (const vm_identity& peer : live_peers())
    {
        json body =
            parts_.reports.changes_for(peer.id, peer.incarnation, repeat);
        if (body.is_null())
        {
            continue;
        }
        const peer_message message{peer_message_type::target_report, self_.id,
            self_.incarnation, std::move(body)};
        if (parts_.peers.send(peer, message))
        {
            parts_.reports.mark_sent(peer.id, peer.incarnation);
        }
    }
}

void
fleet_controller::publish_status()
{
    fleet_status s;
    s.vms = known_;
    s.view = parts_.ownership.with(
        [](const ownership_state& o) { return o.members(); });
    s.may_act = lease_held_;
    {
        const std::lock_guard<std::mutex> lock(inbox_mutex_);
        s.platform_reachable = platform_reachable_;
    }
    const std::lock_guard<std::mutex> lock(status_mutex_);
    status_ = std::move(s);
}

fleet_status
fleet_controller::status() const
{
    const std::lock_guard<std::mutex> lock(status_mutex_);
    return status_;
}

in_force_report
fleet_controller::in_force_of(std::uint64_t version) const
{
    const std::lock_guard<std::mutex> lock(status_mutex_);
    return in_force(version, status_.vms);
}

} // namespace bramleymux
