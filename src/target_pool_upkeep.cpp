#include "config.hpp"
#include "target_pool_state.hpp"

#include <algorithm>

/// Periodic work of target_pool: health probes, timeouts and idle connections.
namespace bramleymux
{

namespace
{

constexpr int first_success = 200;
constexpr int first_redirect = 300;

bool
is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

/// Returns whether this VM itself keeps the reply waiting.
bool
waits_for_memory(const std::weak_ptr<target_link>& weak)
{
    const auto link = weak.lock();
    return link && link->is_paused();
}

} // namespace

void
target_pool::probe(entry& e)
{
    e.state.probing = true;
    metrics_.add(counter::health_probes);
    e.probe_number = ++last_probe_;
    e.probe_until = monotonic_clock::now() + config::health_timeout;
    const std::string id = e.state.record.id;
    e.probe_link = open_link(e,
        [this, id, number = e.probe_number](
            const std::shared_ptr<target_link>& link)
        {
            const auto found = entries_.find(id);
            if (!link || found == entries_.end())
            {
                on_probe(id, number, {});
                return;
            }
            const entry& target = *found->second;
            link->exchange(
                wire_.write_health_request(target.service->rule.health_path,
                    target.state.record.address),
                {}, false,
                [this, id, number](link_result&& r)
                { on_probe(id, number, std::move(r)); });
        });
}

/// Ignores a probe of an earlier registration of the id.
void
target_pool::on_probe(
    const std::string& id, std::uint64_t number, link_result&& result)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !found->second->state.probing ||
        found->second->probe_number != number)
    {
        return;
    }
    entry& e = *found->second;
    const monotonic_time now = monotonic_clock::now();
    const target_reply& reply = result.reply;
    const bool replied = result.outcome == link_outcome::reply;
    e.state.probing = false;
    if (result.outcome == link_outcome::faulty)
    {
        record_faulty(e, result);
    }
    const auto link = e.probe_link.lock();
    if (reply.not_run && link)
    {
        // A late copy of this rejection carries no id, and would be taken for a
        // rejection of the next request on the connection.
        link->close();
    }
    if (replied && reply.notice.leaving && reply.target_id == id)
    {
        record_departure(e);
    }
    if (replied && !reply.target_id.empty() && reply.target_id != id)
    {
        e.state.misdirected = true;
        log_target(event::target_misdirected, e, reply.target_id);
        return;
    }
    if (replied && (is_success(reply.status) || reply.not_run))
    {
        const bool was_blocked = e.state.blocked;
        // A probe's reply may lack what replies to requests say, so it ends no
        // rate limit.
        record_reply(e, reply, {});
        record_recovered(e.state);
        if (was_blocked)
        {
            log_target(event::target_reachable, e, "health probe");
            wake_waiter(*e.service);
        }
        return;
    }
    record_probe_failed(e.state, now);
}

/// Returns the time that a target stays a last resort after its registration
/// was removed, since the removal may be a mistake. It may also be the only
/// notice of a target that is leaving, so `pool_options::leave_bound` limits
/// the time as well.
duration
target_pool::lapsed_grace() const
{
    return std::min<duration>(config::lapsed_grace,
        std::chrono::duration_cast<duration>(
            options_.leave_bound * config::lapsed_grace_share));
}

void
target_pool::drop(entry& e)
{
    e.removed = true;
    auto& targets = e.service->targets;
    targets.erase(
        std::remove(targets.begin(), targets.end(), &e.state), targets.end());
    for (const auto& link : e.links)
    {
        if (link->state() == link_state::idle)
        {
            link->close();
        }
    }
}

void
target_pool::tick_links(entry& e, monotonic_time now)
{
    const auto probe_link = e.probe_link.lock();
    if (probe_link && probe_link->state() == link_state::busy &&
        now > e.probe_until)
    {
        probe_link->close();
    }
    const auto links = e.links;
    for (const auto& link : links)
    {
        const duration age = now - link->since();
        const bool timed_out = link->state() == link_state::connecting &&
                               age > config::connect_timeout;
        const bool expired = link->state() == link_state::idle &&
                             (age > link->idle_limit() || e.removed);
        if (timed_out || expired)
        {
            link->close();
        }
        link->resume();
    }
    e.links.erase(
        std::remove_if(e.links.begin(), e.links.end(),
            [](const auto& l) { return l->state() == link_state::closed; }),
        e.links.end());
    const bool was_full = e.state.full;
    refresh_room(e);
    const bool resumed = e.paused && now >= e.state.paused_until;
    e.paused = e.paused && !resumed;
    if ((was_full && !e.state.full) || resumed)
    {
        wake_waiter(*e.service);
    }
    log_rate(e, now);
    if (e.state.blocked && !e.state.probing && !e.removed && !e.paused &&
        now >= e.state.probe_at)
    {
        probe(e);
    }
}

void
target_pool::tick()
{
    const monotonic_time now = monotonic_clock::now();
    std::vector<send_id> ended;
    for (auto& [id, pending] : sends_)
    {
        if (now >= pending.close_at)
        {
            ended.push_back(id);
        }
        else if (!pending.recorded_unresponsive && pending.on_wire &&
                 !waits_for_memory(pending.link) &&
                 now - pending.since >
                     config::target_silence_limit + 4 * pending.order.expected)
        {
            pending.recorded_unresponsive = true;
            record_unresponsive(pending.target->state, now);
            log_target(event::target_unreachable, *pending.target, "silent");
        }
    }
    for (const send_id id : ended)
    {
        const auto found = sends_.find(id);
        const auto link =
            found == sends_.end() ? nullptr : found->second.link.lock();
        if (link)
        {
            link->close();
        }
        finish(id, send_outcome::broken, true, {});
    }
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        entry& e = *it->second;
        tick_links(e, now);
        const bool gone =
            e.state.lapsed_at && now - *e.state.lapsed_at > lapsed_grace();
        if (gone)
        {
            log_target(event::target_lapsed, e, "gone");
            drop(e);
            retired_.push_back(std::move(it->second));
            it = entries_.erase(it);
        }
        else
        {
            ++it;
        }
    }
    wake_rate_limited();
    forget_departures(now);
    for (const auto& e : retired_)
    {
        tick_links(*e, now);
    }
    retired_.erase(std::remove_if(retired_.begin(), retired_.end(),
                       [](const auto& e) {
                           return e->links.empty() && e->state.running.empty();
                       }),
        retired_.end());
}

} // namespace bramleymux
