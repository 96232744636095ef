#pragma once

#include "catalog.hpp"

#include <cstddef>
#include <vector>

/// Model of entry VMs that admit or refuse queries to overloaded services, on a
/// virtual clock.
namespace bramleymux::tools
{

struct route_load
{
    double worth;
    double queries_per_s; ///< offered to all VMs together
};

/// Returns a catalog of services with the given routes and floor shares, in the
/// order of their handles.
catalog
make_catalog(const std::vector<std::vector<route_load>>& services,
    const std::vector<double>& floors);

struct overload_options
{
    std::vector<std::vector<route_load>> services;
    std::vector<double> floors; ///< floor share of each service
    std::size_t vms = 2;
    std::size_t slots = 12;             ///< of each service
    double mean_service_time_ms = 20.0; ///< of an exponential time
    bool admission = true;
};

struct overload_result
{
    std::vector<double> served_per_s; ///< by route, within the deadline
    std::size_t max_in_flight = 0;    ///< peak of queries in flight in one VM
    double worth_per_s = 0.0;         ///< served within the deadline
};

/// Runs the model for 20 s and counts the second half. Each service is a pool
/// of slots with a FIFO queue; requests have a deadline of 300 ms.
overload_result
run_overload(const overload_options& options);

} // namespace bramleymux::tools
