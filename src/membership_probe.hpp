#pragma once

#include "membership.hpp"

/// Probes of the membership and their messages. Used by membership.cpp only.
namespace bramleymux
{

std::uint32_t
next_sequence(membership_state& state);

/// Body of a probe or an ack: this VM's digest.
nlohmann::json
digest_body(membership_state& state, std::uint32_t sequence, bool same_zone);

/// Zone and address of this VM, for a VM that may not know it.
nlohmann::json
introduction(const membership_state& state);

membership_message
make_message(const membership_state& state, const vm_identity& to,
    peer_message_type type, nlohmann::json body);

membership_message
make_probe(membership_state& state, const vm_identity& to,
    std::uint32_t sequence, bool introduce);

/// Whether this run of the VM has sent a message.
bool
has_heard(const membership_state& state, const std::string& id);

/// Zone members that this VM checks in each period: all, or the neighbours in
/// the ring of ids, so that the relation is symmetric.
std::vector<const member*>
zone_neighbours(const membership_state& state);

} // namespace bramleymux
