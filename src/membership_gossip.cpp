#include "membership_gossip.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr unsigned state_mask = 3;
constexpr unsigned draining_bit = 4;
constexpr unsigned platform_unreachable_bit = 8;

// Allowance for the message around its body and the header of the array "u".
constexpr std::size_t envelope_bytes = 32;

std::size_t
encoded_size(const json& value)
{
    return json::to_cbor(value).size();
}

/// Number of live VMs, including this one.
std::size_t
live_count(const membership_state& state)
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(state.members.begin(), state.members.end(),
                       [](const auto& each) { return is_live(each.second); }));
}

void
emit(membership_state& state, member_event_kind kind, const vm_identity& vm)
{
    state.events.push_back({kind, vm});
    state.cached_hash.reset();
}

/// Whether an id, zone or address is within the size limit.
bool
fits(const std::string& text)
{
    return text.size() <= config::max_vm_field_bytes;
}

void
copy_gossiped_digest(member& known, const member_digest& digest)
{
    known.digest.table_version = digest.table_version;
    known.digest.state = digest.state;
    known.digest.platform_reachable = digest.platform_reachable;
}

/// Declares dead any live VM of another id that started earlier at the address
/// of `identity`.
void
replace_at_address(
    membership_state& state, const vm_identity& identity, monotonic_time now)
{
    for (auto& [id, each] : state.members)
    {
        if (id != identity.id &&
            each.identity.peer_address == identity.peer_address &&
            each.identity.incarnation < identity.incarnation && is_live(each))
        {
            set_member_state(state, each, member_state::dead, now);
        }
    }
}

/// Refutes a report that this run is suspect, dead or has left.
void
apply_to_self(membership_state& state, const gossip_entry& entry)
{
    if (entry.identity.incarnation != state.self.incarnation ||
        entry.state == member_state::alive ||
        entry.refutation < state.refutation)
    {
        return;
    }
    state.refutation = entry.refutation + 1;
    state.cached_hash.reset();
    queue_update(state, state.self.id, config::state_retransmit_factor);
}

bool
received_recently(const member& known, monotonic_time now)
{
    return known.last_message_at &&
           now - *known.last_message_at < config::suspicion_timeout;
}

/// Handles a report that a member is suspect or dead. It makes the member
/// suspect and never dead at once: after a network partition heals, each side
/// still reports the other's live members as dead. A member that answered
/// recently is sent the report instead, so that it can refute it.
void
apply_failure_report(membership_state& state, member& known, monotonic_time now)
{
    if (known.state != member_state::alive)
    {
        return;
    }
    if (received_recently(known, now))
    {
        known.contradicted_at = now;
        queue_probe(state, known.identity.id);
        return;
    }
    set_member_state(state, known, member_state::suspect, now);
}

/// Handles a report that a member which is dead here is alive. Probes it, and
/// gossips its entry as dead, so that it can refute that even without a direct
/// path to this VM.
void
apply_contradiction(membership_state& state, member& known, monotonic_time now)
{
    if (known.contradicted_at &&
        now - *known.contradicted_at < config::contradiction_period)
    {
        return;
    }
    known.contradicted_at = now;
    queue_probe(state, known.identity.id);
    queue_update(state, known.identity.id, config::state_retransmit_factor);
}

/// Merges an entry of the known incarnation. The higher refutation number wins;
/// `left` is final.
void
apply_same_incarnation(membership_state& state, member& known,
    const gossip_entry& entry, monotonic_time now)
{
    if (known.state == member_state::left)
    {
        return;
    }
    if (entry.state == member_state::left)
    {
        set_member_state(state, known, member_state::left, now);
        return;
    }
    const bool newer = entry.refutation > known.refutation;
    if (newer)
    {
        known.refutation = entry.refutation;
        copy_gossiped_digest(known, entry.digest);
        state.cached_hash.reset();
        queue_update(
            state, known.identity.id, config::digest_retransmit_factor);
    }
    if (entry.state == member_state::alive)
    {
        if (newer && known.state != member_state::alive)
        {
            set_member_state(state, known, member_state::alive, now);
        }
        else if (known.state == member_state::dead &&
                 entry.refutation == known.refutation)
        {
            apply_contradiction(state, known, now);
        }
    }
    else if (entry.refutation == known.refutation)
    {
        apply_failure_report(state, known, now);
    }
}

/// Adds a VM id that is not known, or a later run of the known VM `earlier`.
void
apply_new_incarnation(membership_state& state, const gossip_entry& entry,
    const member* earlier, monotonic_time now)
{
    vm_identity identity = entry.identity;
    if (identity.peer_address.empty())
    {
        if (earlier == nullptr)
        {
            return; // synchronization delivers the full entry
        }
        identity.zone = earlier->identity.zone;
        identity.peer_address = earlier->identity.peer_address;
    }
    if (earlier == nullptr && (entry.state == member_state::dead ||
                                  entry.state == member_state::left))
    {
        return;
    }
    member* added = add_member(state, identity, now);
    if (added == nullptr)
    {
        return;
    }
    added->refutation = entry.refutation;
    copy_gossiped_digest(*added, entry.digest);
    if (entry.state == member_state::left)
    {
        set_member_state(state, *added, member_state::left, now);
    }
    else if (entry.state != member_state::alive)
    {
        set_member_state(state, *added, member_state::suspect, now);
    }
}

} // namespace

bool
is_live(const member& value)
{
    return value.state == member_state::alive ||
           value.state == member_state::suspect;
}

unsigned
digest_bits(const member_digest& digest)
{
    return (digest.state == serving_state::draining ? draining_bit : 0U) |
           (digest.platform_reachable ? 0U : platform_unreachable_bit);
}

void
set_digest_bits(member_digest& digest, unsigned bits)
{
    digest.state = (bits & draining_bit) != 0 ? serving_state::draining
                                              : serving_state::serving;
    digest.platform_reachable = (bits & platform_unreachable_bit) == 0;
}

json
to_json(const gossip_entry& entry)
{
    json out = {entry.identity.id, entry.identity.incarnation, entry.refutation,
        static_cast<unsigned>(entry.state) | digest_bits(entry.digest),
        entry.digest.table_version};
    if (!entry.identity.peer_address.empty())
    {
        out.push_back(entry.identity.zone);
        out.push_back(entry.identity.peer_address);
    }
    return out;
}

bool
parse_gossip_entry(const json& value, gossip_entry& out)
{
    if (!value.is_array() || (value.size() != 5 && value.size() != 7) ||
        !value[0].is_string() || !value[1].is_number_unsigned() ||
        !value[2].is_number_unsigned() || !value[3].is_number_unsigned() ||
        !value[4].is_number_unsigned())
    {
        return false;
    }
    out = {};
    value[0].get_to(out.identity.id);
    value[1].get_to(out.identity.incarnation);
    value[2].get_to(out.refutation);
    const auto bits = value[3].get<unsigned>();
    out.state = static_cast<member_state>(bits & state_mask);
    set_digest_bits(out.digest, bits);
    value[4].get_to(out.digest.table_version);
    if (value.size() == 7)
    {
        if (!value[5].is_string() || !value[6].is_string())
        {
            return false;
        }
        value[5].get_to(out.identity.zone);
        value[6].get_to(out.identity.peer_address);
    }
    return !out.identity.id.empty() && fits(out.identity.id) &&
           fits(out.identity.zone) && fits(out.identity.peer_address);
}

gossip_entry
entry_of(const member& value, bool introduce)
{
    gossip_entry out{
        value.identity, value.refutation, value.state, value.digest};
    if (!introduce)
    {
        out.identity.zone.clear();
        out.identity.peer_address.clear();
    }
    return out;
}

gossip_entry
self_entry(const membership_state& state)
{
    return {state.self, state.refutation,
        state.has_left ? member_state::left : member_state::alive,
        state.digest};
}

void
apply_entry(
    membership_state& state, const gossip_entry& entry, monotonic_time now)
{
    if (entry.identity.id == state.self.id)
    {
        apply_to_self(state, entry);
        return;
    }
    const auto found = state.members.find(entry.identity.id);
    if (found == state.members.end())
    {
        apply_new_incarnation(state, entry, nullptr, now);
        return;
    }
    member& known = found->second;
    if (entry.identity.incarnation > known.identity.incarnation)
    {
        apply_new_incarnation(state, entry, &known, now);
    }
    else if (entry.identity.incarnation == known.identity.incarnation)
    {
        apply_same_incarnation(state, known, entry, now);
    }
}

member*
add_member(
    membership_state& state, const vm_identity& identity, monotonic_time now)
{
    const auto found = state.members.find(identity.id);
    if (found == state.members.end() &&
        state.members.size() + 1 >= config::max_vms)
    {
        return nullptr;
    }
    if (found != state.members.end())
    {
        emit(state, member_event_kind::replaced, found->second.identity);
    }
    replace_at_address(state, identity, now);
    member fresh;
    fresh.identity = identity;
    fresh.state_since = now;
    fresh.introduce = true;
    member& added = state.members[identity.id] = std::move(fresh);
    state.hints.erase(identity.id);
    emit(state, member_event_kind::joined, identity);
    queue_update(state, identity.id, config::state_retransmit_factor);
    return &added;
}

void
set_member_state(membership_state& state, member& value, member_state next,
    monotonic_time now)
{
    if (value.state == next)
    {
        return;
    }
    member_event_kind kind = member_event_kind::recovered;
    switch (next)
    {
    case member_state::suspect:
        kind = member_event_kind::suspected;
        break;
    case member_state::dead:
        kind = member_event_kind::removed;
        break;
    case member_state::left:
        kind = member_event_kind::left;
        break;
    default:
        value.introduce = value.introduce || value.state == member_state::dead;
        value.contradicted_at.reset();
        break;
    }
    value.state = next;
    value.state_since = now;
    emit(state, kind, value.identity);
    queue_update(state, value.identity.id, config::state_retransmit_factor);
}

void
queue_update(membership_state& state, const std::string& id,
    std::size_t retransmit_factor)
{
    std::size_t digits = 1;
    for (std::size_t count = live_count(state); count >= 10; count /= 10)
    {
        ++digits;
    }
    const std::size_t limit = retransmit_factor * digits;
    const auto found = std::find_if(state.updates.begin(), state.updates.end(),
        [&](const gossip_update& each) { return each.id == id; });
    if (found == state.updates.end())
    {
        state.updates.push_back({id, 0, limit});
        return;
    }
    found->max_transmissions =
        std::max(limit, found->max_transmissions - found->transmissions);
    found->transmissions = 0;
}

void
queue_probe(membership_state& state, const std::string& id)
{
    if (std::find(state.urgent_probes.begin(), state.urgent_probes.end(), id) ==
        state.urgent_probes.end())
    {
        state.urgent_probes.push_back(id);
    }
}

std::uint32_t
live_hash(membership_state& state)
{
    if (state.cached_hash)
    {
        return *state.cached_hash;
    }
    const auto hash_of = [](const vm_identity& vm, std::uint64_t refutation)
    {
        return XXH3_64bits_withSeed(vm.id.data(), vm.id.size(),
            vm.incarnation * 0x9E3779B97F4A7C15U + refutation);
    };
    XXH64_hash_t sum = hash_of(state.self, state.refutation);
    for (const auto& [id, each] : state.members)
    {
        if (is_live(each))
        {
            sum += hash_of(each.identity, each.refutation);
        }
    }
    state.cached_hash = static_cast<std::uint32_t>(sum);
    return *state.cached_hash;
}

namespace
{

/// Collects entries up to a limit on their encoded size.
struct gossip_writer
{
    json entries = json::array();
    std::size_t remaining_bytes = 0;

    bool
    add(const gossip_entry& entry)
    {
        json value = to_json(entry);
        const std::size_t size = encoded_size(value);
        if (size > remaining_bytes)
        {
            return false;
        }
        remaining_bytes -= size;
        entries.push_back(std::move(value));
        return true;
    }
};

/// Adds the queued updates, the least transmitted first, and drops those that
/// have reached their limit.
void
write_updates(
    membership_state& state, const std::string& to, gossip_writer& writer)
{
    std::stable_sort(state.updates.begin(), state.updates.end(),
        [](const gossip_update& a, const gossip_update& b)
        { return a.transmissions < b.transmissions; });
    for (gossip_update& update : state.updates)
    {
        bool added = false;
        if (update.id == state.self.id)
        {
            added = writer.add(self_entry(state));
        }
        else if (const auto found = state.members.find(update.id);
                 found == state.members.end())
        {
            update.transmissions = update.max_transmissions;
            continue;
        }
        else if (update.id == to && found->second.state == member_state::alive)
        {
            continue; // the receiver knows its own state
        }
        else
        {
            added =
                writer.add(entry_of(found->second, found->second.introduce));
        }
        if (!added)
        {
            break;
        }
        ++update.transmissions;
    }
    for (const gossip_update& update : state.updates)
    {
        const auto found = state.members.find(update.id);
        if (update.transmissions >= update.max_transmissions &&
            found != state.members.end())
        {
            found->second.introduce = false;
        }
    }
    state.updates.erase(
        std::remove_if(state.updates.begin(), state.updates.end(),
            [](const gossip_update& each)
            { return each.transmissions >= each.max_transmissions; }),
        state.updates.end());
}

/// Adds live members with zone and address, starting at a random one, while
/// there is room.
void
write_live_members(
    membership_state& state, const std::string& to, gossip_writer& writer)
{
    if (state.members.empty() || !writer.add(self_entry(state)))
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(
        0, state.members.size() - 1);
    auto at = std::next(
        state.members.begin(), static_cast<std::ptrdiff_t>(pick(state.random)));
    for (std::size_t i = 0; i < state.members.size(); ++i)
    {
        if (is_live(at->second) && at->first != to &&
            !writer.add(entry_of(at->second, true)))
        {
            return;
        }
        if (++at == state.members.end())
        {
            at = state.members.begin();
        }
    }
}

} // namespace

void
attach_gossip(membership_state& state, const std::string& to, json& body,
    bool synchronize)
{
    const std::size_t used = encoded_size(body) + envelope_bytes;
    gossip_writer writer;
    writer.remaining_bytes =
        used < config::max_gossip_bytes ? config::max_gossip_bytes - used : 0;
    const auto found = state.members.find(to);
    if (found != state.members.end())
    {
        // The receiver refutes a report that it is suspect or dead.
        const member& known = found->second;
        gossip_entry failure_report = entry_of(known, false);
        if (known.state == member_state::alive && known.contradicted_at)
        {
            failure_report.state = member_state::suspect;
            found->second.contradicted_at.reset();
        }
        if (failure_report.state != member_state::alive)
        {
            writer.add(failure_report);
        }
    }
    write_updates(state, to, writer);
    if (synchronize)
    {
        write_live_members(state, to, writer);
    }
    if (!writer.entries.empty())
    {
        body["u"] = std::move(writer.entries);
    }
}

} // namespace bramleymux
