#pragma once

#include <bramleymux/types.hpp>

#include <string>
#include <vector>

/// Chooses the VMs that follow the platform's store (relays) and the relays
/// that each other VM polls. Few VMs call the store, since every call costs and
/// the call rates that it allows grow more slowly than the fleet.
namespace bramleymux
{

/// An entry VM as registered in the store.
struct registered_vm
{
    std::string id;
    std::string zone;
    std::string peer_address; ///< IP:port that other VMs connect to
};

struct relay_plan
{
    /// This VM follows the store itself.
    bool is_relay = true;
    std::vector<std::string> relays; ///< addresses to poll; empty on a relay
    /// The zone has few VMs and thus one relay; its other VMs also poll relays
    /// of other zones.
    bool small_zone = true;
};

/// Returns the plan of one VM. VMs of a zone that know the same VMs agree on
/// its relays, and few relays change when VMs come and go (rendezvous hashing).
relay_plan
plan_relays(const std::vector<registered_vm>& vms, const std::string& self_id,
    const std::string& zone);

/// Returns the first relay of each zone, that of `zone` first.
std::vector<registered_vm>
first_relays(const std::vector<registered_vm>& vms, const std::string& zone);

} // namespace bramleymux
