#pragma once

#include "query.hpp"

#include "mailbox.hpp"

#include <memory>
#include <optional>
#include <random>
#include <vector>

/// Parts shared by the read and the write path of a query.
namespace bramleymux
{

/// One consistent set of the published state, taken at the start of a query.
struct query_inputs
{
    std::shared_ptr<const catalog> topology;
    std::shared_ptr<const routing_index> routes;
    std::shared_ptr<const std::vector<target_facts>> facts;
    const catalog_service* service = nullptr;
    const catalog_route* route = nullptr;
    version_choice versions;
};

/// `problem` tells why the inputs are incomplete.
query_inputs
read_inputs(const blackboard& board, const caller_request& request,
    query_result& problem);

std::mt19937_64&
query_random();

/// Routing state of the service's targets, for the current moment.
const target_views&
read_views(const blackboard& board, const query_inputs& in, monotonic_time now);

sub_request
make_sub_request(const query_context& context, const query_inputs& in,
    const caller_request& request, snapshot_sequence snapshot,
    const shard_batch& batch);

/// Span of one sub-request, from its send to its reply.
void
record_sub_request_span(const query_context& context,
    const caller_request& request, const std::string& traceparent,
    const std::string& target, monotonic_time sent, monotonic_time now,
    const char* kind, miss_reason error);

} // namespace bramleymux
