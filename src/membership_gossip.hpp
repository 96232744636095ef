#pragma once

#include "membership.hpp"

/// Gossip entries of the membership: their encoding, precedence and bounded
/// retransmission. Used by membership.cpp only.
namespace bramleymux
{

/// What a message says of one VM. On the wire an array
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

bool
parse_gossip_entry(const nlohmann::json& value, gossip_entry& out);

/// State bits of a digest, also used in probes and acks.
unsigned
digest_bits(const member_digest& digest);

void
set_digest_bits(member_digest& digest, unsigned bits);

gossip_entry
entry_of(const member& value, bool introduce);

gossip_entry
self_entry(const membership_state& state);

/// Applies what a message says; a live VM's entry never removes it at once.
void
apply_entry(
    membership_state& state, const gossip_entry& entry, monotonic_time now);

/// Adds or replaces a member that was seen alive. Null when there is no room.
member*
add_member(
    membership_state& state, const vm_identity& identity, monotonic_time now);

void
set_member_state(membership_state& state, member& value, member_state next,
    monotonic_time now);

/// Queues the member's entry; `id` may be this VM.
void
queue_update(membership_state& state, const std::string& id,
    std::size_t retransmit_factor);

/// Queues a direct probe for the next period.
void
probe_soon(membership_state& state, const std::string& id);

/// Hash of the live VMs with their refutation numbers. Equal on two VMs that
/// agree.
std::uint32_t
live_hash(membership_state& state);

/// Adds queued updates to `body`, and with `synchronize` also other live
/// members, while it stays within `config::max_gossip_bytes`.
void
attach_gossip(membership_state& state, const std::string& to,
    nlohmann::json& body, bool synchronize);

bool
is_live(const member& value);

} // namespace bramleymux
