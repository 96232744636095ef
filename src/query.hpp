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

/// Executes callers' queries. A query runs on the calling thread, which blocks
/// until the answer is complete, cannot improve any more, or the deadline has
/// passed.
namespace bramleymux
{

/// Answer to a query, or the problem that prevented one.
struct query_result
{
    problem_code problem = problem_code::none;
    run_state run = run_state::not_run;
    std::string detail;             ///< of the problem; may be empty
    snapshot_sequence snapshot = 0; ///< 0 = none chosen
    std::string version;            ///< empty = none chosen
    coverage covered;
    nlohmann::json rows = nlohmann::json::array();
};

/// Receives the outcome of each sub-request of a read, as evidence for version
/// moves. Called on the query's thread.
using reply_observer = std::function<void(const version_reply&)>;

/// Dependencies of the query path, shared by all queries of a VM.
struct query_context
{
    blackboard& board;
    dispatcher& sink;
    metrics& counters;
    tracer& spans;
    policy_kind policy = policy_kind::adaptive;
    /// Receives the replies to reads; may be null.
    admission_gate* gate = nullptr;
    reply_observer observe; ///< may be empty
};

/// Runs an idempotent query over all shards of one snapshot, with retries and
/// hedges. Returns what was collected by the deadline; the problem is set if
/// the answer does not reach the required coverage.
query_result
run_read(const query_context& context, const caller_request& request);

/// Returns the versions that the query `id` may use. Both handles are invalid
/// if any version may be used.
version_choice
choose_query_version(
    const blackboard& board, service_handle service, const std::string& id);

} // namespace bramleymux
