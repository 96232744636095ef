#pragma once

#include "catalog.hpp"
#include "sub_request.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <vector>

/// Admission control for caller requests. Each service has a concurrency limit,
/// adapted to the queueing that its sub-requests meet; when demand exceeds the
/// limit, routes are admitted in order of worth.
namespace bramleymux
{

/// Admission state of one service.
struct admission_service
{
    double limit = 0.0;       ///< concurrent queries on this VM
    double floor_share = 0.0; ///< guaranteed share of the VM's threads
    std::size_t in_flight = 0;

    // Counters since the limit was last adapted.
    std::size_t windows = 0;
    std::size_t peak = 0;
    std::size_t refused = 0;    ///< queries refused at this VM
    std::size_t replies = 0;    ///< sub-replies
    std::size_t overloaded = 0; ///< sub-replies that report overload
    duration queue_time{};
    duration target_time{};
};

/// Admission state of one route.
struct admission_route
{
    service_handle service;
    double worth = 1.0;
    double offered_per_s = 0.0; ///< request rate, refused ones included
    double time_s = 0.0;        ///< mean duration of a query
    double share = 1.0;         ///< of the route's requests that are admitted
    double credit = 1.0;        ///< each admitted request takes 1
    std::size_t offered = 0;    ///< requests in the current window
};

/// Admission state of one entry VM, indexed by service and route handle. Not
/// thread-safe; `admission_gate` adds the lock.
struct admission_state
{
    std::vector<admission_service> services;
    std::vector<admission_route> routes;
    std::size_t in_flight = 0;
    monotonic_time window_start{};
};

struct admission_decision
{
    bool admitted = false;
    /// Reason of a refusal. Nothing was sent, so the run state is not_run.
    miss_reason reason = miss_reason::queue_full;
    duration retry_after{}; ///< zero when admitted
};

/// Updates worths and floors from the catalog; limits, rates and counters of
/// known services and routes are kept.
void
apply(admission_state& state, const catalog& c);

/// Decides on a new request. The caller must release() every admitted request
/// exactly once.
admission_decision
admit(admission_state& state, route_handle route, monotonic_time now);

/// Ends an admitted request that took `spent`.
void
release(admission_state& state, route_handle route, duration spent,
    monotonic_time now);

/// Records the overload and queueing that a sub-reply reports. Cancelled
/// sub-requests are ignored.
void
observe(admission_state& state, service_handle service, const sub_reply& reply);

/// Returns the lowest worth at which the service admits any requests, or 0 when
/// it admits all of them.
double
worth_threshold(const admission_state& state, service_handle service);

} // namespace bramleymux
