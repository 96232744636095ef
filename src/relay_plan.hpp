#pragma once

#include <bramleymux/types.hpp>

#include <string>
#include <vector>

/// Which VMs follow the platform's store themselves, and which follow them.
/// Each call to the store has its price, and its rates grow more slowly than
/// the fleet.
namespace bramleymux
{

struct registered_vm
{
    std::string id;
    std::string zone;
    std::string peer_address; ///< IP:port for other VMs
};

struct relay_plan
{
    /// This VM is a relay: it follows the store itself.
    bool is_relay = true;
    std::vector<std::string> relays; ///< addresses, when it is none
    /// With few VMs a zone has one relay, and relays of other zones stand by.
    bool small_zone = true;
};

/// The same relays of a zone for all VMs that know the same VMs. They change
/// little when VMs come and go (rendezvous hashing).
relay_plan
plan_relays(const std::vector<registered_vm>& vms, const std::string& self_id,
    const std::string& zone);

} // namespace bramleymux
