#pragma once

#include "catalog.hpp"
#include "sub_request.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <vector>

/// Admission of caller requests: a concurrency limit for each service from the
/// queueing of its sub-requests, and shares by worth when demand exceeds it.
namespace bramleymux
{

struct admission_service
{
    double limit = 0.0;       ///< concurrent queries of this VM
    double floor_share = 0.0; ///< of the VM's threads, guaranteed
    std::size_t in_flight = 0;

    // Counters since the limit was last judged.
    std::size_t windows = 0;
    std::size_t peak = 0;
    std::size_t refused = 0;    ///< queries, for the limit
    std::size_t replies = 0;    ///< sub-replies
    std::size_t overloaded = 0; ///< sub-replies that report overload
    duration queue_time{};
    duration target_time{};
};

struct admission_route
{
    service_handle service;
    double worth = 1.0;
    double offered_per_s = 0.0; ///< including refused requests
    double time_s = 0.0;        ///< mean time of a query
    double share = 1.0;         ///< of its requests that are admitted
    double credit = 1.0;        ///< a request is admitted for each whole one
    std::size_t offered = 0;    ///< in the current window
};

/// One for each entry VM, under one lock. By service and route handle.
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
    /// A refused request was not sent anywhere, so it is not_run.
    miss_reason reason = miss_reason::queue_full;
    duration retry_after{};
};

/// Takes worths and floors from the catalog; keeps what was learned.
void
apply(admission_state& state, const catalog& c);

/// Decides on a new request. Every admitted one must be released once.
admission_decision
admit(admission_state& state, route_handle route, monotonic_time now);

/// Ends an admitted request that took `spent`.
void
release(admission_state& state, route_handle route, duration spent,
    monotonic_time now);

/// Takes note of the queueing that a sub-reply reports.
void
observe(admission_state& state, service_handle service, const sub_reply& reply);

/// Lowest worth of which the service admits any request now; 0 when all.
double
worth_threshold(const admission_state& state, service_handle service);

} // namespace bramleymux
