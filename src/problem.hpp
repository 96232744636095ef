#pragma once

#include <bramleymux/types.hpp>

#include "http_server.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// Problem documents (RFC 9457) with a stable code and a `run` field.
namespace bramleymux
{

enum class problem_code
{
    none,
    unknown_path,
    method_not_allowed,
    unknown_service,
    unknown_route,
    invalid_request,
    idempotency_key_required,
    idempotency_key_reused,
    duplicate_request,
    unauthorized,
    keys_not_current,
    no_table,
    stopping,
    overloaded,
    no_snapshot,
    platform_unavailable,
    coverage_below_minimum,
    target_refused,
    deadline_passed,
    outcome_unknown,
    no_target,
    target_failed,
    request_timeout,
    header_too_long,
    body_too_long,
    edit_invalid,
    edit_conflict,
    edit_not_accepted,
    edit_unknown,
    count
};

inline constexpr name_table<problem_code> problem_code_names{"none",
    "unknown_path", "method_not_allowed", "unknown_service", "unknown_route",
    "invalid_request", "idempotency_key_required", "idempotency_key_reused",
    "duplicate_request", "unauthorized", "keys_not_current", "no_table",
    "stopping", "overloaded", "no_snapshot", "platform_unavailable",
    "coverage_below_minimum", "target_refused", "deadline_passed",
    "outcome_unknown", "no_target", "target_failed", "request_timeout",
    "header_too_long", "body_too_long", "edit_invalid", "edit_conflict",
    "edit_not_accepted", "edit_unknown"};

/// HTTP status and title of a problem code.
struct problem_info
{
    int status;
    std::string_view title;
};

const problem_info&
info_of(problem_code code);

/// Returns whether the status promises a caller that its request has not run
/// and never will: 408, 421, 429 and 503 (see docs/api.md). Callers repeat such
/// a request even if it is not idempotent.
bool
promises_not_run(int status);

/// Returns the status of a problem: that of its code, or 502 if that promises
/// that the request has not run although it may have.
int
status_of(problem_code code, run_state run);

/// Builds a response with a problem document. `extra` holds members in addition
/// to the standard ones. A 503 with `run_state::not_run` gets a Retry-After
/// header.
server_response
make_problem(problem_code code, run_state run, const std::string& detail,
    nlohmann::json extra = nlohmann::json::object());

nlohmann::json
to_json(const findings& found);

} // namespace bramleymux
