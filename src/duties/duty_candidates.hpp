#pragma once

#include "relay_plan.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Chooses the VMs that may acquire a duty, by rendezvous hashing over the
/// registered VMs. VMs that know different registrations may choose
/// differently; the conditional writes of the lease object decide between them.
namespace bramleymux
{

/// Returns the position of this VM among the candidates for the duty, or
/// nullopt if it is none.
std::optional<std::size_t>
find_candidate_rank(const std::vector<registered_vm>& vms,
    const std::string& duty, const std::string& self_id);

} // namespace bramleymux
