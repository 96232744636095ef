#pragma once

#include "http_server.hpp"
#include "trace.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

/// A caller's request, checked.
namespace bramleymux
{

struct caller_request
{
    std::string id; ///< of the query; given by the entry VM
    std::string service;
    std::string route;
    monotonic_time received;
    monotonic_time deadline;
    std::optional<double> min_coverage; ///< else the service's
    bool wait_for_coverage = false;
    double worth = 1.0; ///< multiplies the route's worth, at most 1
    std::string idempotency_key;
    trace_context trace;
    std::string parent_span_id; ///< of the caller's traceparent
    std::uint64_t turn = 0;     ///< number of the request at this VM
    nlohmann::json query;
};

/// Splits "/v1/services/{service}/routes/{route}"; false for another path.
bool
parse_query_path(
    const std::string& path, std::string& service, std::string& route);

/// Reads headers and body; every field at fault is one finding.
caller_request
parse_caller_request(const server_request& request, monotonic_time now,
    duration default_deadline, findings& found);

} // namespace bramleymux
