#pragma once

#include "query.hpp"

#include "mailbox.hpp"

#include <memory>
#include <optional>
#include <random>
#include <vector>

/// Helpers shared by the read path and the write path of a query.
namespace bramleymux
{

/// Published state that a query works with, loaded at its start and kept so
/// that later updates do not change it. The parts are loaded one after another
/// and may stem from different updates.
struct query_inputs
{
    std::shared_ptr<const catalog> topology;
    std::shared_ptr<const routing_index> routes;
    std::shared_ptr<const std::vector<target_facts>> facts;
    const catalog_service* service = nullptr; ///< in `topology`
    const catalog_route* route = nullptr;     ///< in `topology`
    version_choice versions;
};

/// Loads the inputs of a request. If published state, the service or the route
/// is missing, sets the problem of `result` and returns incomplete inputs.
query_inputs
read_inputs(const blackboard& board, const caller_request& request,
    query_result& result);

/// Returns the random generator of the calling thread.
std::mt19937_64&
query_random();

/// Returns the routing state of the service's targets at `now`. The reference
/// is to a buffer of the calling thread, overwritten by the next call. Targets
/// of versions that the query may not use are marked unusable.
const target_views&
read_views(
    const blackboard& board, const query_inputs& inputs, monotonic_time now);

/// Builds the sub-request for the shards of `batch`, with a new id and a child
/// span. Its deadline is `config::entry_hop_cost` before the caller's.
sub_request
make_sub_request(const query_context& context, const query_inputs& inputs,
    const caller_request& request, snapshot_sequence snapshot,
    const shard_batch& batch);

/// Records the span of one sub-request, from its send to its reply, if the
/// query's trace is sampled. `attempt` is first, retry, hedge or write.
void
record_sub_request_span(const query_context& context,
    const caller_request& request, const std::string& traceparent,
    const std::string& target, monotonic_time sent, monotonic_time now,
    const char* attempt, miss_reason error);

} // namespace bramleymux
