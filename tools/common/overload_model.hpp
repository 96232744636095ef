#pragma once

#include "catalog.hpp"

#include <cstddef>
#include <vector>

/// Entry VMs with admission in front of overloaded services, on a virtual
/// clock.
namespace bramleymux::tools
{

struct route_load
{
    double worth;
    double per_s; ///< offered to all VMs
};

/// Services with the given routes and floors, in order of their handles.
catalog
catalog_of(const std::vector<std::vector<route_load>>& services,
    const std::vector<double>& floors);

struct overload_options
{
    std::vector<std::vector<route_load>> services;
    std::vector<double> floors;
    std::size_t vms = 2;
    std::size_t slots = 12; ///< of each service
    double time_ms = 20.0;  ///< mean, exponential
    bool admission = true;
};

struct overload_result
{
    std::vector<double> served_per_s; ///< by route, within the deadline
    std::size_t most_threads = 0;     ///< queries in flight in one VM
    double worth_per_s = 0.0;
};

/// Each service is one pool of slots with a first-in first-out queue; requests
/// have 300 ms. Counts the second half of 20 s.
overload_result
run_overload(const overload_options& options);

} // namespace bramleymux::tools
