#include "query_common.hpp"

#include "config.hpp"

namespace bramleymux
{

std::mt19937_64&
query_random()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator;
}

query_inputs
read_inputs(const blackboard& board, const caller_request& request,
    query_result& result)
{
    query_inputs inputs;
    inputs.topology = board.topology.get();
    inputs.routes = board.routes.get();
    inputs.facts = board.facts.get();
    if (!inputs.topology || !inputs.routes || !inputs.facts)
    {
        result.problem = problem_code::no_table;
        return inputs;
    }
    inputs.service = find_service(*inputs.topology, request.service);
    if (inputs.service == nullptr)
    {
        result.problem = problem_code::unknown_service;
        result.detail = "service \"" + request.service + "\" does not exist";
        return inputs;
    }
    inputs.route =
        find_route(*inputs.topology, inputs.service->self, request.route);
    if (inputs.route == nullptr)
    {
        result.problem = problem_code::unknown_route;
        result.detail = "service \"" + request.service + "\" has no route \"" +
                        request.route + "\"";
        return inputs;
    }
    inputs.versions =
        choose_query_version(board, inputs.service->self, request.id);
    return inputs;
}

namespace
{

/// Marks targets of other versions as unusable, since an unproven or withdrawn
/// version may serve only the queries that chose it.
void
exclude_other_versions(const query_inputs& inputs, target_views& views)
{
    for (const target_handle target : inputs.service->targets)
    {
        const version_handle version =
            inputs.topology->targets[target.index].version;
        if (version != inputs.versions.preferred &&
            version != inputs.versions.fallback)
        {
            views[target.index].unusable = miss_reason::no_replica;
        }
    }
}

} // namespace

const target_views&
read_views(
    const blackboard& board, const query_inputs& inputs, monotonic_time now)
{
    // Entries of other services are stale; callers read only those of the
    // service's targets.
    thread_local target_views views;
    board.targets.read(
        inputs.service->targets, *inputs.facts, *inputs.topology, now, views);
    if (inputs.versions.preferred.is_valid())
    {
        exclude_other_versions(inputs, views);
    }
    return views;
}

sub_request
make_sub_request(const query_context& context, const query_inputs& inputs,
    const caller_request& request, snapshot_sequence snapshot,
    const shard_batch& batch)
{
    const catalog_target& target = inputs.topology->targets[batch.target.index];
    sub_request sub;
    sub.id = context.sink.next_id();
    sub.query_id = request.id;
    sub.target = batch.target;
    sub.target_name = target.name;
    sub.service = inputs.service->name;
    sub.route = inputs.route->name;
    sub.version = inputs.topology->versions[target.version.index].name;
    sub.snapshot = snapshot;
    sub.shards = batch.shards;
    sub.deadline = request.deadline - config::entry_hop_cost;
    sub.worth = inputs.route->worth * request.worth;
    sub.idempotent = inputs.route->idempotent;
    sub.idempotency_key = request.idempotency_key;
    sub.traceparent = to_traceparent(context.spans.child(request.trace));
    sub.query = request.query;
    return sub;
}

void
record_sub_request_span(const query_context& context,
    const caller_request& request, const std::string& traceparent,
    const std::string& target, monotonic_time sent, monotonic_time now,
    const char* attempt, miss_reason error)
{
    if (!request.trace.sampled)
    {
        return;
    }
    span s;
    parse_traceparent(traceparent, s.context);
    s.parent_span_id = request.trace.span_id;
    s.name = "sub_request";
    s.kind = span_kind::client;
    s.end = std::chrono::system_clock::now();
    s.start =
        s.end - std::chrono::duration_cast<wall_time::duration>(now - sent);
    s.attributes = {{"target", target}, {"attempt", attempt},
        {"error", std::string(to_string(error))}};
    s.failed = error != miss_reason::none && error != miss_reason::cancelled;
    context.spans.record(std::move(s));
}

version_choice
choose_query_version(
    const blackboard& board, service_handle service, const std::string& id)
{
    const auto versions = board.versions.get();
    return versions && service.index < versions->size()
               ? choose_version((*versions)[service.index], id)
               : version_choice{};
}

} // namespace bramleymux
