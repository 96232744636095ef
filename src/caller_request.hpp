#pragma once

#include "http_server.hpp"
#include "trace.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

/// Parsing and validation of a caller's HTTP request.
namespace bramleymux
{

/// A validated request of a caller.
struct caller_request
{
    std::string id; ///< assigned by the entry VM
    std::string service;
    std::string route;
    monotonic_time received;
    monotonic_time deadline;
    std::optional<double> min_coverage; ///< overrides the service's minimum
    bool wait_for_coverage = false;
    double worth = 1.0; ///< from 0 to 1; multiplies the route's worth
    std::string idempotency_key;
    trace_context trace;
    std::string parent_span_id; ///< from the caller's traceparent header
    std::uint64_t query_number =
        0; ///< sequence number of the request on this VM
    nlohmann::json query;
};

/// Splits "/v1/services/{service}/routes/{route}". Returns false for any other
/// path.
bool
parse_query_path(
    const std::string& path, std::string& service, std::string& route);

/// Parses headers and body, and adds one finding for each invalid field. Leaves
/// id, service, route and trace of the result unset.
caller_request
parse_caller_request(const server_request& request, monotonic_time now,
    duration default_deadline, findings& found);

} // namespace bramleymux
