#include "membership.hpp"

#include "config.hpp"
#include "membership_gossip.hpp"
#include "membership_probe.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleymux
{

using nlohmann::json;

namespace
{

std::uint64_t
unsigned_field(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// Reads the sender's identity from the introduction in a message. Returns
/// false if it is absent or malformed.
bool
parse_introduction(const peer_message& message, vm_identity& out)
{
    const auto found = message.body.find("i");
    if (found == message.body.end() || !found->is_array() ||
        found->size() != 2 || !(*found)[0].is_string() ||
        !(*found)[1].is_string())
    {
        return false;
    }
    out = {message.from, (*found)[0].get<std::string>(),
        (*found)[1].get<std::string>(), message.from_incarnation};
    return !out.id.empty() && out.id.size() <= config::max_vm_field_bytes &&
           out.zone.size() <= config::max_vm_field_bytes &&
           out.peer_address.size() <= config::max_vm_field_bytes;
}

/// Adds an unknown sender, or a later incarnation of `earlier`, with the zone
/// and address of its introduction; an unknown sender's may also come from the
/// platform's list. Returns null if they are missing or there is no room.
member*
add_sender(membership_state& state, const peer_message& message,
    const member* earlier, monotonic_time now)
{
    vm_identity identity;
    if (!parse_introduction(message, identity))
    {
        const auto hint = state.hints.find(message.from);
        if (hint == state.hints.end() || earlier != nullptr)
        {
            return nullptr;
        }
        identity = hint->second.identity;
        identity.incarnation = message.from_incarnation;
    }
    return add_member(state, identity, now);
}

/// Updates the member that sent a message and returns it. Returns null if this
/// run of the sender is unknown and has to introduce itself.
member*
observe_sender(
    membership_state& state, const peer_message& message, monotonic_time now)
{
    const auto found = state.members.find(message.from);
    member* known = found == state.members.end() ? nullptr : &found->second;
    if (known == nullptr ||
        known->identity.incarnation < message.from_incarnation)
    {
        known = add_sender(state, message, known, now);
    }
    if (known == nullptr)
    {
        return nullptr;
    }
    known->last_message_at = now;
    if (known->state != member_state::alive)
    {
        set_member_state(state, *known, member_state::alive, now);
        known->contradicted_at = now; // so that it refutes the earlier report
    }
    const json& body = message.body;
    const std::uint64_t refutation = unsigned_field(body, "r");
    if (body.contains("h") && refutation >= known->refutation)
    {
        if (refutation > known->refutation)
        {
            known->refutation = refutation;
            state.cached_hash.reset();
            queue_update(state, message.from, config::digest_retransmit_factor);
        }
        known->digest.table_version = unsigned_field(body, "v");
        set_digest_bits(
            known->digest, static_cast<unsigned>(unsigned_field(body, "s")));
        known->digest.view_id = unsigned_field(body, "w");
        known->digest.counters = body.value("c", json());
    }
    return known;
}

/// Whether a message is from an earlier run of its sender, or from a run that
/// has left.
bool
is_outdated(const membership_state& state, const peer_message& message)
{
    const auto found = state.members.find(message.from);
    if (found == state.members.end())
    {
        return false;
    }
    const member& known = found->second;
    return message.from_incarnation < known.identity.incarnation ||
           (message.from_incarnation == known.identity.incarnation &&
               known.state == member_state::left);
}

void
apply_entries(membership_state& state, const json& body, monotonic_time now)
{
    const auto found = body.find("u");
    if (found == body.end() || !found->is_array())
    {
        return;
    }
    gossip_entry entry;
    for (const json& each : *found)
    {
        if (parse_gossip_entry(each, entry))
        {
            apply_entry(state, entry, now);
        }
    }
}

/// Replies with an ack, which asks an unknown sender to introduce itself. If
/// the live VMs differ, the ack also synchronizes, at most once per probe
/// period.
void
on_probe(membership_state& state, const peer_message& message,
    const vm_identity& sender, bool known, monotonic_time now,
    membership_messages& out)
{
    const auto sequence =
        static_cast<std::uint32_t>(unsigned_field(message.body, "n"));
    json body = digest_body(state, sequence, sender.zone == state.self.zone);
    if (message.body.contains("i"))
    {
        body["i"] = introduction(state);
    }
    if (!known)
    {
        body["q"] = 1;
    }
    const bool synchronize =
        unsigned_field(message.body, "h") != live_hash(state) &&
        now >= state.next_sync;
    if (synchronize)
    {
        state.next_sync = now + config::probe_period;
    }
    attach_gossip(state, sender.id, body, synchronize);
    out.push_back(
        make_message(state, sender, peer_message_type::ack, std::move(body)));
}

/// Forwards the ack of a relayed probe to its origin, with the state of the
/// probed member.
void
forward_ack(membership_state& state, const peer_message& message,
    const probe_relay& relay, membership_messages& out)
{
    const auto target = state.members.find(message.from);
    if (target == state.members.end())
    {
        return;
    }
    json body = digest_body(
        state, relay.origin_sequence, relay.origin.zone == state.self.zone);
    body["x"] = to_json(entry_of(target->second, false));
    attach_gossip(state, relay.origin.id, body, false);
    out.push_back(make_message(
        state, relay.origin, peer_message_type::ack, std::move(body)));
}

void
on_ack(membership_state& state, const peer_message& message, monotonic_time now,
    membership_messages& out)
{
    const json& body = message.body;
    const auto sequence = static_cast<std::uint32_t>(unsigned_field(body, "n"));
    if (body.contains("q"))
    {
        if (const auto sender = state.members.find(message.from);
            sender != state.members.end())
        {
            // The next probe introduces this VM.
            sender->second.last_message_at.reset();
            queue_probe(state, message.from);
        }
    }
    const auto relay = state.relays.find(sequence);
    if (relay != state.relays.end())
    {
        forward_ack(state, message, relay->second, out);
        state.relays.erase(relay);
        return;
    }
    const auto probe = state.probes.find(sequence);
    if (probe == state.probes.end())
    {
        return;
    }
    if (probe->second.to.id == message.from)
    {
        state.probes.erase(probe);
        return;
    }
    gossip_entry target;
    if (body.contains("x") && parse_gossip_entry(body["x"], target) &&
        target.identity.id == probe->second.to.id)
    {
        state.probes.erase(probe);
        apply_entry(state, target, now);
    }
}

/// Probes a VM for the sender, which received no ack from it.
void
on_probe_request(membership_state& state, const peer_message& message,
    const vm_identity& sender, monotonic_time now, membership_messages& out)
{
    gossip_entry target;
    const auto field = message.body.find("t");
    if (field == message.body.end() || !parse_gossip_entry(*field, target) ||
        target.identity.id == state.self.id ||
        state.relays.size() >= config::max_probe_relays)
    {
        return;
    }
    const std::uint32_t sequence = next_sequence(state);
    state.relays[sequence] = {sender,
        static_cast<std::uint32_t>(unsigned_field(message.body, "n")),
        now + config::probe_period};
    out.push_back(make_probe(state, target.identity, sequence,
        !has_received_from(state, target.identity.id)));
}

vm_presence
presence_of(const membership_state& state, const member& value)
{
    if (is_live(value))
    {
        return vm_presence::live;
    }
    const bool may_run =
        !state.list_known || state.listed.count(value.identity.id) != 0;
    return value.state == member_state::dead && may_run ? vm_presence::cut_off
                                                        : vm_presence::gone;
}

} // namespace

membership_state
make_membership(vm_identity self, std::uint64_t seed)
{
    membership_state state;
    state.self = std::move(self);
    state.random.seed(seed);
    return state;
}

void
seed_members(membership_state& state, const std::vector<vm_list_entry>& list,
    monotonic_time now)
{
    state.list_known = true;
    state.listed.clear();
    for (const vm_list_entry& entry : list)
    {
        if (entry.id == state.self.id ||
            state.listed.size() + 1 >= config::max_vms)
        {
            continue;
        }
        state.listed[entry.id] = entry;
        if (state.members.count(entry.id) != 0 ||
            entry.state != vm_list_state::live)
        {
            continue;
        }
        member_hint& hint = state.hints[entry.id];
        if (hint.identity.peer_address != entry.peer_address)
        {
            hint = {{entry.id, entry.zone, entry.peer_address, 0}, 0, now};
        }
    }
    for (auto at = state.hints.begin(); at != state.hints.end();)
    {
        at = state.listed.count(at->first) == 0 ? state.hints.erase(at)
                                                : std::next(at);
    }
}

membership_messages
on_member_message(
    membership_state& state, const peer_message& message, monotonic_time now)
{
    membership_messages out;
    const bool handled = message.type == peer_message_type::probe ||
                         message.type == peer_message_type::ack ||
                         message.type == peer_message_type::probe_request ||
                         message.type == peer_message_type::leave;
    if (!handled || state.has_left || message.from == state.self.id ||
        !message.body.is_object() || is_outdated(state, message))
    {
        return out;
    }
    if (message.type == peer_message_type::leave)
    {
        apply_entries(state, message.body, now);
        return out;
    }
    const member* known = observe_sender(state, message, now);
    const vm_identity sender =
        known != nullptr
            ? known->identity
            : vm_identity{message.from, "", "", message.from_incarnation};
    apply_entries(state, message.body, now);
    if (message.type == peer_message_type::probe)
    {
        on_probe(state, message, sender, known != nullptr, now, out);
    }
    else if (message.type == peer_message_type::ack)
    {
        on_ack(state, message, now, out);
    }
    else
    {
        on_probe_request(state, message, sender, now, out);
    }
    return out;
}

membership_messages
leave_members(membership_state& state, monotonic_time now)
{
    membership_messages out;
    if (state.has_left)
    {
        return out;
    }
    state.has_left = true;
    std::vector<const member*> targets = zone_neighbours(state);
    std::vector<const member*> others;
    for (const auto& [id, each] : state.members)
    {
        if (is_live(each) &&
            std::find(targets.begin(), targets.end(), &each) == targets.end())
        {
            others.push_back(&each);
        }
    }
    std::shuffle(others.begin(), others.end(), state.random);
    targets.insert(targets.end(), others.begin(), others.end());
    targets.resize(std::min(targets.size(), config::max_leave_messages));
    for (const member* each : targets)
    {
        out.push_back(
            make_message(state, each->identity, peer_message_type::leave,
                json{{"u", json::array({to_json(self_entry(state))})}}));
    }
    state.last_tick = now;
    return out;
}

void
set_local_digest(membership_state& state, const member_digest& digest)
{
    const bool gossiped = digest.table_version != state.digest.table_version ||
                          digest_bits(digest) != digest_bits(state.digest);
    state.digest = digest;
    if (!digest.counters.is_null() && json::to_cbor(digest.counters).size() >
                                          config::max_digest_counter_bytes)
    {
        state.digest.counters = nullptr;
    }
    if (gossiped)
    {
        ++state.refutation;
        state.cached_hash.reset();
        queue_update(state, state.self.id, config::digest_retransmit_factor);
    }
}

void
record_contact(membership_state& state, const std::string& id,
    std::uint64_t incarnation, monotonic_time now)
{
    const auto found = state.members.find(id);
    if (found != state.members.end() &&
        found->second.identity.incarnation == incarnation &&
        found->second.state == member_state::alive &&
        found->second.last_message_at)
    {
        found->second.last_message_at = now;
    }
}

std::vector<member_event>
take_member_events(membership_state& state)
{
    return std::exchange(state.events, {});
}

std::vector<vm_identity>
live_members(const membership_state& state, std::string_view zone)
{
    std::vector<vm_identity> out;
    for (const auto& [id, each] : state.members)
    {
        if (is_live(each) && each.identity.zone == zone)
        {
            out.push_back(each.identity);
        }
    }
    if (state.self.zone == zone && !state.has_left)
    {
        out.push_back(state.self);
    }
    std::sort(out.begin(), out.end(),
        [](const vm_identity& a, const vm_identity& b) { return a.id < b.id; });
    return out;
}

std::vector<known_vm>
known_vms(const membership_state& state)
{
    std::vector<known_vm> out;
    out.push_back(
        {state.self, state.has_left ? vm_presence::gone : vm_presence::live,
            state.has_left ? member_state::left : member_state::alive,
            state.digest, true});
    for (const auto& [id, each] : state.members)
    {
        out.push_back({each.identity, presence_of(state, each), each.state,
            each.digest, state.listed.count(id) != 0});
    }
    for (const auto& [id, entry] : state.listed)
    {
        if (state.members.count(id) == 0)
        {
            out.push_back({{id, entry.zone, entry.peer_address, 0},
                vm_presence::unconfirmed, member_state::alive, {}, true});
        }
    }
    std::sort(out.begin(), out.end(),
        [](const known_vm& a, const known_vm& b)
        { return a.identity.id < b.identity.id; });
    return out;
}

} // namespace bramleymux
