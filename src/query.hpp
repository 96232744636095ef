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

using reply_observer = std::function<void(const version_reply&)>;

/// What the query path depends on.
struct query_context
{
    blackboard& board;
    dispatcher& sink;
    metrics& counters;
    tracer& spans;
    policy_kind policy = policy_kind::adaptive;
    admission_gate* gate = nullptr;
    reply_observer observe; ///< called for each reply
};

/// Runs an idempotent query over all shards of one snapshot.
query_result
run_read(const query_context& context, const caller_request& request);

/// Versions that a query may use; invalid handles for any.
version_choice
choose_query_version(
    const blackboard& board, service_handle service, const std::string& id);

} // namespace bramleymux
