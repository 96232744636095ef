#pragma once

#include "peer.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <vector>

namespace bramleymux
{

/// Owner VM of each target, computed from one membership and one catalog.
struct owner_map
{
    std::vector<vm_identity> vms;
    std::vector<vm_handle> owners; ///< by target handle; invalid = no live VM
    vm_handle self;                ///< index of this VM in `vms`
};

/// Returns an invalid handle for an unknown target or one without a live VM.
inline vm_handle
owner_of(const owner_map& map, target_handle target)
{
    return target.index < map.owners.size() ? map.owners[target.index]
                                            : vm_handle{};
}

} // namespace bramleymux
