#pragma once

#include "membership.hpp"

/// Gossip entries of the membership: their encoding, precedence and bounded
/// retransmission. Internal to the membership sources.
namespace bramleymux
{

/// State of one VM as a message reports it. On the wire an array
/// [id, incarnation, refutation, state bits, table version, zone?, address?].
struct gossip_entry
{
    vm_identity identity; ///< zone and address may be empty
    std::uint64_t refutation = 0;
    member_state state = member_state::alive;
    member_digest digest; ///< fields that travel by gossip
};

nlohmann::json
to_json(const gossip_entry& entry);

/// Returns false if the entry is malformed; `out` is then unspecified.
bool
parse_gossip_entry(const nlohmann::json& value, gossip_entry& out);

/// Serving state and platform reachability as bits, for gossip entries, probes
/// and acks.
unsigned
digest_bits(const member_digest& digest);

void
set_digest_bits(member_digest& digest, unsigned bits);

/// Entry of a member, with zone and address only if `introduce` is set.
gossip_entry
entry_of(const member& value, bool introduce);

gossip_entry
self_entry(const membership_state& state);

/// Merges a received entry. A report of a suspect or dead VM makes a live
/// member at most suspect; `left` takes effect at once.
void
apply_entry(
    membership_state& state, const gossip_entry& entry, monotonic_time now);

/// Adds an alive member, in place of its earlier incarnation if there is one.
/// Returns null if the limit of VMs is reached.
member*
add_member(
    membership_state& state, const vm_identity& identity, monotonic_time now);

/// Records an event and queues the member's entry if the state changes.
void
set_member_state(membership_state& state, member& value, member_state next,
    monotonic_time now);

/// Queues the entry of a member or of this VM for gossip. The number of
/// transmissions is the factor times the decimal digits of the live VM count.
void
queue_update(membership_state& state, const std::string& id,
    std::size_t retransmit_factor);

/// Queues a direct probe for the next probe period.
void
queue_probe(membership_state& state, const std::string& id);

/// Hash of the live VMs with their incarnations and refutation numbers, equal
/// on VMs that agree on them.
std::uint32_t
live_hash(membership_state& state);

/// Adds queued updates to the body of a message to the VM `to`, and with
/// `synchronize` also other live members, while the message stays within
/// `config::max_gossip_bytes`.
void
attach_gossip(membership_state& state, const std::string& to,
    nlohmann::json& body, bool synchronize);

bool
is_live(const member& value);

} // namespace bramleymux
