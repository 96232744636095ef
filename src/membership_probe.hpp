#pragma once

#include "membership.hpp"

/// Probes of the membership and their messages. Internal to the membership
/// sources.
///
/// Fields of message bodies; r, s, w and c are omitted when 0 or empty:
///   n  sequence of the probe
///   v  table version of the sender
///   h  `live_hash` of the sender
///   r  refutation number of the sender
///   s  `digest_bits` of the sender
///   w  view id of the sender
///   c  counters of the sender
///   i  introduction of the sender: [zone, address]
///   q  in an ack: the receiver has to introduce itself
///   t  in a probe_request: entry of the VM to probe
///   x  in a forwarded ack: entry of the VM that was probed
///   u  gossip entries
namespace bramleymux
{

std::uint32_t
next_sequence(membership_state& state);

/// Body of a probe or an ack: this VM's digest and the hash of its live VMs.
nlohmann::json
digest_body(membership_state& state, std::uint32_t sequence, bool same_zone);

/// Zone and address of this VM, for a receiver that may not know them.
nlohmann::json
introduction(const membership_state& state);

membership_message
make_message(const membership_state& state, const vm_identity& to,
    peer_message_type type, nlohmann::json body);

membership_message
make_probe(membership_state& state, const vm_identity& to,
    std::uint32_t sequence, bool introduce);

/// Whether `member::last_message_at` is set. If not, a probe must introduce
/// this VM.
bool
has_received_from(const membership_state& state, const std::string& id);

/// Returns the live members of the own zone that this VM probes in each period:
/// all, or above `config::max_zone_probes` the nearest on both sides in the
/// ring of ids, so that neighbours probe each other.
std::vector<const member*>
zone_neighbours(const membership_state& state);

} // namespace bramleymux
