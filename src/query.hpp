#pragma once

#include "admission_gate.hpp"
#include "blackboard.hpp"
#include "caller_request.hpp"
#include "coverage.hpp"
#include "dispatcher.hpp"
#include "metrics.hpp"
#include "problem.hpp"
#include "settings.hpp"
#include "trace.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

/// Runs the queries of callers, each on its caller's thread.
namespace bramleymux
{

struct query_result
{
    problem_code problem = problem_code::none;
    run_state run = run_state::not_run;
    std::string detail;
    snapshot_sequence snapshot = 0;
    std::string version;
    coverage covered;
    nlohmann::json rows = nlohmann::json::array();
};

/// What one sub-request showed about its target's version.
struct sub_outcome
{
    service_handle service;
    route_handle route;
    version_handle version;
    miss_reason error = miss_reason::none;
    duration elapsed{}; ///< at the target when it replied, else since the send
};

using outcome_observer = std::function<void(const sub_outcome&)>;

/// What the query path depends on.
struct query_context
{
    blackboard& board;
    dispatcher& sink;
    metrics& counters;
    tracer& spans;
    policy_kind policy = policy_kind::adaptive;
    admission_gate* gate = nullptr;
    outcome_observer observe; ///< called for each reply
};

/// Runs an idempotent query over all shards of one snapshot.
query_result
run_read(const query_context& context, const caller_request& request);

/// One attempt of a non-idempotent request on the target of one shard.
/// Nothing is sent twice once a byte may have reached a target.
query_result
run_write(const query_context& context, const caller_request& request);

/// Caller-visible name of the version that a query should use; invalid for
/// any.
version_handle
choose_query_version(
    const blackboard& board, service_handle service, const std::string& id);

} // namespace bramleymux
