#include "target_pool.hpp"

#include "config.hpp"
#include "stream_socket.hpp"
#include "target_pool_state.hpp"

#include <boost/asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

constexpr int first_client_error = 400;

/// Classifies a complete reply.
send_outcome
outcome_of(const target_reply& reply)
{
    if (reply.wrong_target)
    {
        return send_outcome::misdirected;
    }
    if (reply.not_run)
    {
        return send_outcome::shed;
    }
    if (reply.encoded || reply.proof.empty())
    {
        return send_outcome::broken;
    }
    return reply.status < first_client_error ? send_outcome::good
                                             : send_outcome::failed;
}

std::int64_t
milliseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// Returns a hash of the id between 0 and 1.
double
hash_share(const std::string& id)
{
    return std::ldexp(static_cast<double>(XXH32(id.data(), id.size(), 0)), -32);
}

void
add_reach(shard_reach& reach, const std::string& zone, const std::string& own)
{
    if (zone == own)
    {
        reach.own_zone = true;
    }
    else if (std::find(reach.zones.begin(), reach.zones.end(), zone) ==
             reach.zones.end())
    {
        reach.zones.push_back(zone);
    }
}

} // namespace

bool
is_part(const send_result& result)
{
    constexpr int first_redirect = 300;
    return result.outcome == send_outcome::good &&
           result.reply.status < first_redirect;
}

vm_counts
count_vms(const std::vector<registered_vm>& vms, const registered_vm& self)
{
    vm_counts out;
    out.total = vms.size();
    std::size_t before = 0;
    for (const registered_vm& vm : vms)
    {
        ++out.by_zone[vm.zone];
        before += vm.zone == self.zone && vm.id < self.id ? 1 : 0;
    }
    const std::size_t in_zone = out.by_zone[self.zone];
    out.zone_position = static_cast<double>(before) /
                        static_cast<double>(std::max<std::size_t>(in_zone, 1));
    return out;
}

target_pool::target_pool(boost::asio::io_context& loop, const entry_wire& wire,
    metrics& counters, decision_log& log, pool_options options)
    : loop_(loop), wire_(wire), metrics_(counters), log_(log),
      options_(std::move(options)), vms_{config::assumed_vms, {}, 0.0},
      random_(std::random_device{}())
{
}

target_pool::~target_pool() = default;

void
target_pool::set_options(pool_options options)
{
    options_ = std::move(options);
    plan_all();
}

void
target_pool::set_memory(std::shared_ptr<memory_account> memory)
{
    memory_ = std::move(memory);
}

target_pool::service_state&
target_pool::service_of(const std::string& name)
{
    auto& service = services_[name];
    if (!service)
    {
        service = std::make_unique<service_state>();
        service->rule.name = name;
    }
    return *service;
}

choice_context
target_pool::context_of(const service_state* service) const
{
    choice_context out;
    out.now = monotonic_clock::now();
    out.zone = &options_.zone;
    out.zones_out = &zones_out_;
    out.vms = vms_.total;
    out.cold_rate = service == nullptr ? 0.0 : service->rule.cold_rate;
    return out;
}

void
target_pool::log_target(event what, const entry& e, std::string_view reason)
{
    const monotonic_time now = monotonic_clock::now();
    if (log_.try_admit(what, now))
    {
        log_.write(what,
            {{"target", e.state.record.id}, {"service", e.state.record.service},
                {"address", e.state.record.address},
                {"zone", e.state.record.zone}, {"reason", reason},
                {"pace", e.state.relative_latency},
                {"error_rate", e.state.error_rate},
                {"shed_rate", e.state.shed_rate},
                {"measured_ms_ago", milliseconds(now - e.state.measured_at)},
                {"failures", e.state.failures}});
    }
}

void
target_pool::put(const target_record& record, std::uint64_t era)
{
    const auto endpoint = parse_endpoint(record.address);
    if (!endpoint)
    {
        return;
    }
    const auto found = entries_.find(record.id);
    const bool same = found != entries_.end() &&
                      same_registration(found->second->state.record, record);
    if (found != entries_.end() && !same)
    {
        // The id now belongs to another process, which has no record of the
        // requests sent to the previous one.
        drop(*found->second);
        retired_.push_back(std::move(found->second));
        entries_.erase(found);
    }
    auto& slot = entries_[record.id];
    const bool fresh = !slot;
    if (fresh)
    {
        slot = std::make_unique<entry>();
        slot->service = &service_of(record.service);
        slot->service->targets.push_back(&slot->state);
        slot->endpoint = *endpoint;
        slot->state.measured_at = monotonic_clock::now();
        slot->hash = hash_share(record.id);
        slot->state.said_leaving = has_departed(record);
    }
    entry& e = *slot;
    const bool was_leaving = e.state.record.leaving;
    e.state.record = record;
    if (record.leaving)
    {
        announced_[record.id] = {record.started_ms, monotonic_clock::now()};
    }
    e.state.lapsed_at.reset();
    plan_links_of(e);
    plan_rate_of(e);
    const choice_context context = context_of(e.service);
    const bool restored = !fresh && era > e.era;
    e.era = era;
    record_cold_start(e.state,
        restored
            ? std::min(record.cold_start_left,
                  std::max(e.state.cold_until - context.now, duration::zero()))
            : record.cold_start_left,
        context, random_);
    if (fresh || was_leaving != record.leaving)
    {
        log_target(
            record.leaving ? event::target_draining : event::target_registered,
            e, record.leaving ? "draining" : "registered");
    }
}

void
target_pool::remove(const std::string& id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end() && !found->second->state.lapsed_at)
    {
        found->second->state.lapsed_at = monotonic_clock::now();
        log_target(event::target_lapsed, *found->second, "removed");
    }
}

void
target_pool::set_zones_out(std::vector<std::string> zones)
{
    zones_out_ = std::move(zones);
}

void
target_pool::set_vms(vm_counts vms)
{
    vms_ = std::move(vms);
    vms_.total = std::max<std::size_t>(vms_.total, 1);
    plan_all();
}

void
target_pool::set_services(const std::vector<service_rule>& services)
{
    for (const service_rule& rule : services)
    {
        service_of(rule.name).rule = rule;
    }
    plan_all();
}

target_state*
target_pool::choose(
    const std::string& service, const std::vector<const target_state*>& tried)
{
    service_state& s = service_of(service);
    choice_context context = context_of(&s);
    context.tried = &tried;
    return s.rollout ? choose_version(s, context)
                     : choose_target(s.targets, context, random_);
}

/// Returns whether some usable target of the service passes `test`, which gets
/// the target and the context; lapsed targets count as usable.
template <class Test>
bool
target_pool::any_usable(
    const std::string& service, choice_scope scope, Test test) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return false;
    }
    choice_context context = context_of(found->second.get());
    context.scope = scope;
    return std::any_of(found->second->targets.begin(),
        found->second->targets.end(),
        [&](const target_state* t)
        { return is_usable(*t, context, true) && test(*t, context); });
}

bool
target_pool::is_served(const std::string& service,
    const std::vector<const target_state*>& tried) const
{
    return any_usable(service, choice_scope::any_zone,
        [&](const target_state& t, const choice_context&)
        { return std::find(tried.begin(), tried.end(), &t) == tried.end(); });
}

bool
target_pool::has_room(const std::string& service, choice_scope scope) const
{
    return any_usable(service, scope,
        [](const target_state& t, const choice_context& context)
        {
            return !t.full && !is_saturated(t, context.now) &&
                   next_send_at(t, context) <= context.now;
        });
}

shard_reach
target_pool::reach_of(const std::string& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return {};
    }
    const choice_context context = context_of(found->second.get());
    shard_reach healthy;
    shard_reach usable;
    for (const target_state* t : found->second->targets)
    {
        // VMs of other zones have their own parts of a target's rate.
        const bool waits_here = t->record.zone == options_.zone &&
                                next_send_at(*t, context) > context.now;
        if (is_usable(*t, context, false) && !waits_here)
        {
            add_reach(usable, t->record.zone, options_.zone);
            if (is_healthy(*t, context))
            {
                add_reach(healthy, t->record.zone, options_.zone);
            }
        }
    }
    return healthy.own_zone || !healthy.zones.empty() ? healthy : usable;
}

std::vector<const target_state*>
target_pool::targets_in(
    const std::string& service, const std::string& zone) const
{
    std::vector<const target_state*> out;
    const auto found = services_.find(service);
    if (found != services_.end())
    {
        const auto& targets = found->second->targets;
        std::copy_if(targets.begin(), targets.end(), std::back_inserter(out),
            [&](const target_state* t) { return t->record.zone == zone; });
    }
    return out;
}

bool
target_pool::is_out_of_reach(const std::string& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return false;
    }
    const auto& targets = found->second->targets;
    return !targets.empty() &&
           std::all_of(targets.begin(), targets.end(),
               [this](const target_state* t)
               { return t->blocked && t->record.zone != options_.zone; });
}

void
target_pool::probe_other_zone()
{
    const monotonic_time now = monotonic_clock::now();
    if (now < reach_probe_at_)
    {
        return;
    }
    reach_probe_at_ = now + config::reach_probe_period;
    std::vector<entry*> others;
    for (const auto& [id, e] : entries_)
    {
        if (e->state.record.zone != options_.zone && !e->state.probing)
        {
            others.push_back(e.get());
        }
    }
    if (!others.empty())
    {
        probe(*others[random_() % others.size()]);
    }
}

void
target_pool::count_first_send(const std::string& service)
{
    record_first_send(
        service_of(service).extra, options_.extra_load, monotonic_clock::now());
}

bool
target_pool::has_extra_budget(
    const std::string& service, std::size_t sends) const
{
    const auto found = services_.find(service);
    return found != services_.end() &&
           bramleymux::has_extra_budget(found->second->extra,
               options_.extra_load, vms_.total, sends, monotonic_clock::now());
}

bool
target_pool::take_extra_budget(const std::string& service)
{
    return bramleymux::take_extra_budget(service_of(service).extra,
        options_.extra_load, vms_.total, monotonic_clock::now());
}

std::shared_ptr<target_link>
target_pool::open_link(
    entry& e, std::function<void(const std::shared_ptr<target_link>&)> opened)
{
    auto link = std::make_shared<target_link>(loop_, wire_, memory_);
    e.links.push_back(link);
    metrics_.add(counter::target_connections);
    link->open(e.endpoint,
        [weak = std::weak_ptr<target_link>(link), opened = std::move(opened)](
            bool success) { opened(success ? weak.lock() : nullptr); });
    return link;
}

std::shared_ptr<target_link>
target_pool::idle_link(const entry& e)
{
    // The most recently used connection is the least likely to have been closed
    // by the target.
    std::shared_ptr<target_link> latest;
    do
    {
        latest = nullptr;
        for (const auto& link : e.links)
        {
            if (link->state() == link_state::idle &&
                (!latest || link->since() > latest->since()))
            {
                latest = link;
            }
        }
    } while (latest && !latest->check_ready());
    return latest;
}

send_id
target_pool::send(target_state& target, send_order&& order)
{
    entry& e = *entries_.at(target.record.id);
    const monotonic_time now = monotonic_clock::now();
    const send_id id = ++last_send_;
    pending_send& pending = sends_[id];
    pending.target = &e;
    pending.order = std::move(order);
    pending.since = now;
    record_sent(target, id, pending.order.expected, now);
    ++e.sent_since_rate_log;
    spend_rates(target, context_of(e.service));
    metrics_.add(counter::sub_requests);
    if (const auto idle = idle_link(e))
    {
        begin(e, idle, id);
    }
    else
    {
        pending.link = open_link(e,
            [this, id](const std::shared_ptr<target_link>& link)
            {
                const auto found = sends_.find(id);
                if (found == sends_.end())
                {
                    return;
                }
                if (link)
                {
                    begin(*found->second.target, link, id);
                }
                else
                {
                    finish(id, send_outcome::unreachable, false, {});
                }
            });
    }
    refresh_room(e);
    return id;
}

void
target_pool::begin(
    entry& e, const std::shared_ptr<target_link>& link, send_id id)
{
    pending_send& pending = sends_.at(id);
    // The target may have asked for no more requests while the connection
    // opened.
    const bool wanted = pending.close_at == monotonic_time::max() &&
                        !is_leaving(e.state) && !e.paused;
    std::string bytes =
        wanted ? pending.order.write(e.state.record.id) : std::string();
    if (bytes.empty())
    {
        // Posted, since `done` is never called from within a send.
        boost::asio::post(loop_,
            [this, id] { finish(id, send_outcome::cancelled, false, {}); });
        return;
    }
    pending.link = link;
    pending.on_wire = true;
    link->exchange(std::move(bytes), pending.order.request_id,
        pending.order.bodiless,
        [this, id](link_result&& result) { on_result(id, std::move(result)); });
}

void
target_pool::on_result(send_id id, link_result&& result)
{
    const auto found = sends_.find(id);
    if (result.outcome == link_outcome::faulty && found != sends_.end())
    {
        record_faulty(*found->second.target, result);
    }
    if (result.outcome != link_outcome::reply)
    {
        finish(id, send_outcome::broken, true, {});
        return;
    }
    if (found != sends_.end())
    {
        record_reply(*found->second.target, result.reply, found->second.since);
    }
    const send_outcome outcome = outcome_of(result.reply);
    const bool denied =
        outcome == send_outcome::shed || outcome == send_outcome::misdirected;
    finish(id, outcome, !denied, std::move(result.reply));
}

void
target_pool::finish(
    send_id id, send_outcome outcome, bool may_have_run, target_reply&& reply)
{
    const auto found = sends_.find(id);
    if (found == sends_.end())
    {
        return;
    }
    pending_send pending = std::move(found->second);
    sends_.erase(found);
    entry& e = *pending.target;
    const monotonic_time now = monotonic_clock::now();
    const bool wanted = pending.close_at == monotonic_time::max();
    const bool was_blocked = e.state.blocked;
    if (!wanted && outcome != send_outcome::good)
    {
        // This VM closed the connection, so the outcome is no evidence about
        // the target.
        outcome = send_outcome::cancelled;
    }
    const duration took = record_ended(e.state, id, outcome, now);
    if (outcome == send_outcome::good)
    {
        metrics_.observe(latency_kind::target, took);
    }
    count_version(e, outcome, took, pending.order.expected, now);
    if (e.state.blocked && !was_blocked)
    {
        log_target(event::target_unreachable, e,
            send_outcome_names[static_cast<std::size_t>(outcome)]);
    }
    if (outcome == send_outcome::misdirected)
    {
        log_target(event::target_misdirected, e, reply.target_id);
    }
    refresh_room(e);
    wake_waiter(*e.service);
    if (wanted && pending.order.done)
    {
        pending.order.done(
            {outcome, may_have_run && pending.on_wire, std::move(reply), took});
    }
}

void
target_pool::abandon(send_id id, duration linger)
{
    const auto found = sends_.find(id);
    if (found != sends_.end())
    {
        found->second.close_at = monotonic_clock::now() + linger;
        found->second.order.done = nullptr;
    }
}

void
target_pool::record_slow(send_id id)
{
    const auto found = sends_.find(id);
    if (found != sends_.end())
    {
        record_overdue(found->second.target->state, id, monotonic_clock::now());
    }
}

} // namespace bramleymux
