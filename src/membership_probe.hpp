#pragma once

#include "membership.hpp"

/// Probes of the membership and their messages. Internal to the membership
/// sources.
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
