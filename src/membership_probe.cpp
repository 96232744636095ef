#include "membership_probe.hpp"

#include "config.hpp"
#include "membership_gossip.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr std::uint32_t max_sequence = 0xFFFF; // at most three bytes in CBOR

bool
has_pending_probe(const membership_state& state, const std::string& id)
{
    return std::any_of(state.probes.begin(), state.probes.end(),
        [&](const auto& each) { return each.second.to.id == id; });
}

/// Does nothing while a probe of the VM is pending.
void
start_probe(membership_state& state, const vm_identity& to,
    probe_purpose purpose, monotonic_time now, membership_messages& out)
{
    if (has_pending_probe(state, to.id))
    {
        return;
    }
    const std::uint32_t sequence = next_sequence(state);
    state.probes[sequence] = {to, purpose, now, false};
    out.push_back(make_probe(state, to, sequence,
        purpose == probe_purpose::contact || !has_received_from(state, to.id)));
}

/// Whether a member has sent no message for most of a probe period. One
/// exchange of a pair in a period serves both sides.
bool
is_due(const member& value, monotonic_time now)
{
    return !value.last_message_at ||
           now - *value.last_message_at >= config::probe_period * 9 / 10;
}

void
probe_zone(
    membership_state& state, monotonic_time now, membership_messages& out)
{
    for (const member* each : zone_neighbours(state))
    {
        if (is_due(*each, now))
        {
            start_probe(state, each->identity, probe_purpose::check, now, out);
        }
    }
}

/// Probes the next live member of a random order that goes through all of them,
/// so that each is probed within a bounded time.
void
probe_next(
    membership_state& state, monotonic_time now, membership_messages& out)
{
    for (std::size_t tries = 0; tries <= state.members.size(); ++tries)
    {
        if (state.probe_order.empty())
        {
            for (const auto& [id, each] : state.members)
            {
                state.probe_order.push_back(id);
            }
            std::shuffle(state.probe_order.begin(), state.probe_order.end(),
                state.random);
        }
        if (state.probe_order.empty())
        {
            return;
        }
        const std::string id = std::move(state.probe_order.back());
        state.probe_order.pop_back();
        const auto found = state.members.find(id);
        if (found != state.members.end() && is_live(found->second) &&
            is_due(found->second, now) && !has_pending_probe(state, id))
        {
            start_probe(
                state, found->second.identity, probe_purpose::check, now, out);
            return;
        }
    }
}

/// Identity to probe for a VM that does not answer, with the address of the
/// platform's list if that is another one.
vm_identity
contact_identity(const membership_state& state, const member& value)
{
    vm_identity out = value.identity;
    const auto listed = state.listed.find(out.id);
    if (listed != state.listed.end() &&
        listed->second.peer_address != out.peer_address)
    {
        out.peer_address = listed->second.peer_address;
        out.zone = listed->second.zone;
        out.incarnation = 0;
    }
    return out;
}

/// Sends the queued probes, up to a limit for each period.
void
probe_urgent(
    membership_state& state, monotonic_time now, membership_messages& out)
{
    std::size_t sent = 0;
    while (!state.urgent_probes.empty() && sent < config::max_urgent_probes)
    {
        const std::string id = std::move(state.urgent_probes.back());
        state.urgent_probes.pop_back();
        const auto found = state.members.find(id);
        if (found != state.members.end())
        {
            start_probe(state, contact_identity(state, found->second),
                probe_purpose::contact, now, out);
            ++sent;
        }
    }
}

/// Probes a random dead member in each `config::dead_member_probe_period`, so
/// that a network partition of any length heals.
void
probe_dead(
    membership_state& state, monotonic_time now, membership_messages& out)
{
    if (now < state.next_dead_probe)
    {
        return;
    }
    state.next_dead_probe = now + config::dead_member_probe_period;
    std::vector<const member*> dead;
    for (const auto& [id, each] : state.members)
    {
        if (each.state == member_state::dead)
        {
            dead.push_back(&each);
        }
    }
    if (!dead.empty())
    {
        std::uniform_int_distribution<std::size_t> pick(0, dead.size() - 1);
        start_probe(state, contact_identity(state, *dead[pick(state.random)]),
            probe_purpose::contact, now, out);
    }
}

/// Probes listed VMs that have not answered, with an exponential delay.
void
probe_hints(
    membership_state& state, monotonic_time now, membership_messages& out)
{
    std::vector<member_hint*> due;
    for (auto& [id, hint] : state.hints)
    {
        if (hint.next_attempt <= now)
        {
            due.push_back(&hint);
        }
    }
    std::shuffle(due.begin(), due.end(), state.random);
    due.resize(std::min(due.size(), config::max_hint_probes));
    for (member_hint* hint : due)
    {
        start_probe(state, hint->identity, probe_purpose::contact, now, out);
        const duration wait = std::min<duration>(config::hint_retry_max,
            config::probe_period * (1U << std::min(hint->attempts, 8U)));
        ++hint->attempts;
        hint->next_attempt = now + wait;
    }
}

/// Sends the probe again, because the first message to a peer without an open
/// link is lost, and asks other members to probe a VM under check.
void
repeat_probe(membership_state& state, std::uint32_t sequence,
    pending_probe& probe, membership_messages& out)
{
    probe.repeated = true;
    out.push_back(make_probe(state, probe.to, sequence,
        probe.purpose == probe_purpose::contact ||
            !has_received_from(state, probe.to.id)));
    if (probe.purpose == probe_purpose::contact)
    {
        return;
    }
    std::vector<const member*> others;
    for (const auto& [id, each] : state.members)
    {
        if (each.state == member_state::alive && id != probe.to.id)
        {
            others.push_back(&each);
        }
    }
    std::shuffle(others.begin(), others.end(), state.random);
    others.resize(std::min(others.size(), config::max_indirect_probes));
    const gossip_entry target{probe.to, 0, member_state::alive, {}};
    for (const member* each : others)
    {
        json body = {{"n", sequence}, {"t", to_json(target)}};
        attach_gossip(state, each->identity.id, body, false);
        out.push_back(make_message(state, each->identity,
            peer_message_type::probe_request, std::move(body)));
    }
}

/// Repeats a probe after the timeout and ends it after twice the timeout. A
/// checked member that has sent no message since the probe becomes suspect.
void
check_probes(
    membership_state& state, monotonic_time now, membership_messages& out)
{
    for (auto at = state.probes.begin(); at != state.probes.end();)
    {
        pending_probe& probe = at->second;
        const duration waited = now - probe.sent_at;
        if (!probe.repeated && waited >= config::probe_timeout)
        {
            repeat_probe(state, at->first, probe, out);
        }
        if (waited < 2 * config::probe_timeout)
        {
            ++at;
            continue;
        }
        const auto found = state.members.find(probe.to.id);
        if (probe.purpose == probe_purpose::check &&
            found != state.members.end() &&
            found->second.identity.incarnation == probe.to.incarnation &&
            found->second.state == member_state::alive &&
            (!found->second.last_message_at ||
                *found->second.last_message_at < probe.sent_at))
        {
            set_member_state(state, found->second, member_state::suspect, now);
        }
        at = state.probes.erase(at);
    }
}

/// Declares suspects dead after the timeout, and forgets expired relays and
/// members that have left or are dead and no longer listed.
void
expire_members(membership_state& state, monotonic_time now)
{
    for (auto at = state.members.begin(); at != state.members.end();)
    {
        member& each = at->second;
        const duration age = now - each.state_since;
        if (each.state == member_state::suspect &&
            age >= config::suspicion_timeout)
        {
            set_member_state(state, each, member_state::dead, now);
        }
        const bool gone =
            each.state == member_state::left ||
            (each.state == member_state::dead && state.list_known &&
                state.listed.count(at->first) == 0);
        at = gone && age >= config::forget_dead_after ? state.members.erase(at)
                                                      : std::next(at);
    }
    for (auto at = state.relays.begin(); at != state.relays.end();)
    {
        at = at->second.expires <= now ? state.relays.erase(at) : std::next(at);
    }
}

/// Drops pending probes and restarts suspicions after a pause of this VM, in
/// which it could not process the answers of others.
void
reset_after_pause(membership_state& state, monotonic_time now)
{
    const duration gap = state.last_tick ? now - *state.last_tick : duration{};
    state.last_tick = now;
    if (gap < config::membership_pause_threshold)
    {
        return;
    }
    state.probes.clear();
    state.next_period = now;
    for (auto& [id, each] : state.members)
    {
        if (each.state == member_state::suspect)
        {
            each.state_since = now;
        }
    }
}

} // namespace

std::uint32_t
next_sequence(membership_state& state)
{
    state.last_sequence = state.last_sequence % max_sequence + 1;
    return state.last_sequence;
}

json
digest_body(membership_state& state, std::uint32_t sequence, bool same_zone)
{
    const member_digest& digest = state.digest;
    json body = {
        {"n", sequence}, {"v", digest.table_version}, {"h", live_hash(state)}};
    if (state.refutation != 0)
    {
        body["r"] = state.refutation;
    }
    if (const unsigned bits = digest_bits(digest); bits != 0)
    {
        body["s"] = bits;
    }
    if (same_zone && digest.view_id != 0)
    {
        body["w"] = digest.view_id;
    }
    if (!digest.counters.is_null())
    {
        body["c"] = digest.counters;
    }
    return body;
}

json
introduction(const membership_state& state)
{
    return json{state.self.zone, state.self.peer_address};
}

membership_message
make_message(const membership_state& state, const vm_identity& to,
    peer_message_type type, json body)
{
    return {to, {type, state.self.id, state.self.incarnation, std::move(body)}};
}

membership_message
make_probe(membership_state& state, const vm_identity& to,
    std::uint32_t sequence, bool introduce)
{
    json body = digest_body(state, sequence, to.zone == state.self.zone);
    if (introduce)
    {
        body["i"] = introduction(state);
    }
    attach_gossip(state, to.id, body, false);
    return make_message(state, to, peer_message_type::probe, std::move(body));
}

bool
has_received_from(const membership_state& state, const std::string& id)
{
    const auto found = state.members.find(id);
    return found != state.members.end() && found->second.last_message_at;
}

std::vector<const member*>
zone_neighbours(const membership_state& state)
{
    std::vector<const member*> ring;
    std::size_t position = 0;
    for (const auto& [id, each] : state.members)
    {
        if (is_live(each) && each.identity.zone == state.self.zone)
        {
            position += id < state.self.id ? 1 : 0;
            ring.push_back(&each);
        }
    }
    if (ring.size() <= config::max_zone_probes)
    {
        return ring;
    }
    const std::size_t half = config::max_zone_probes / 2;
    const std::size_t first = position + ring.size() - half;
    std::vector<const member*> out;
    for (std::size_t i = 0; i < 2 * half; ++i)
    {
        out.push_back(ring[(first + i) % ring.size()]);
    }
    return out;
}

membership_messages
tick_members(membership_state& state, monotonic_time now)
{
    membership_messages out;
    if (state.has_left)
    {
        return out;
    }
    if (!state.last_tick)
    {
        // A random phase spreads the probes of VMs that start together.
        std::uniform_int_distribution<duration::rep> phase(
            0, duration(config::probe_period).count());
        state.next_period = now + duration(phase(state.random));
    }
    reset_after_pause(state, now);
    check_probes(state, now, out);
    expire_members(state, now);
    if (now >= state.next_period)
    {
        state.next_period = now + config::probe_period;
        probe_urgent(state, now, out);
        probe_zone(state, now, out);
        probe_next(state, now, out);
        probe_dead(state, now, out);
        probe_hints(state, now, out);
    }
    return out;
}

} // namespace bramleymux
