#pragma once

#include "relay_plan.hpp"

#include <map>

/// Chooses the VMs that collect the usage of a zone.
namespace bramleymux
{

/// Returns the VMs of a zone, or of all zones if it is empty, in the order in
/// which they are collectors (rendezvous hashing): VMs that know the same VMs
/// agree, and few messages go elsewhere when one comes or goes.
std::vector<registered_vm>
rank_collectors(const std::vector<registered_vm>& vms, const std::string& zone);

/// Boot times until which VMs are passed over, by address, after a call failed.
using failed_collectors = std::map<std::string, duration>;

/// Returns the first `count` VMs that are not passed over. A VM stays
/// registered for minutes after it was killed.
std::vector<registered_vm>
choose_collectors(const std::vector<registered_vm>& ranked,
    const failed_collectors& failed, std::size_t count, duration now);

} // namespace bramleymux
