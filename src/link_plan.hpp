#pragma once

#include <cstddef>
#include <cstdint>

/// Divides the connections that a target accepts among the VMs.
///
/// Answers the load of a fleet with more VMs than connections: a target resets
/// connections beyond its limit, and each new one costs it a part of a slot.
/// VMs of the target's zone get most of them, as they send most of its
/// requests; of the other VMs a part gets one. A VM decides by its position
/// among the VMs of its zone, so that few connections move when VMs come and
/// go.
namespace bramleymux
{

struct link_plan
{
    std::uint32_t connections = 0; ///< accepted from all VMs; 0 = unknown
    std::size_t vms_in_zone = 0;   ///< in the target's zone
    std::size_t vms_elsewhere = 0;
    bool same_zone = false; ///< this VM is in the target's zone
    /// Position of this VM among the VMs of its zone, which are spread evenly
    /// over 0 to 1, rotated by a hash of the target.
    double position = 0.0;
};

/// Returns the connections that this VM may open to the target. Their sum over
/// all VMs is `config::target_connection_share` of the target's limit at most,
/// up to one more for each zone.
std::size_t
planned_links(const link_plan& plan);

} // namespace bramleymux
