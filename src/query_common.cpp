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
    query_result& problem)
{
    query_inputs in;
    in.topology = board.topology.get();
    in.routes = board.routes.get();
    in.facts = board.facts.get();
    if (!in.topology || !in.routes || !in.facts)
    {
        problem.problem = problem_code::no_table;
        return in;
    }
    in.service = find_service(*in.topology, request.service);
    if (in.service == nullptr)
    {
        problem.problem = problem_code::unknown_service;
        problem.detail = "service \"" + request.service + "\" does not exist";
        return in;
    }
    in.route = find_route(*in.topology, in.service->self, request.route);
    if (in.route == nullptr)
    {
        problem.problem = problem_code::unknown_route;
        problem.detail = "service \"" + request.service + "\" has no route \"" +
                         request.route + "\"";
        return in;
    }
    in.versions = choose_query_version(board, in.service->self, request.id);
    return in;
}

namespace
{

/// A version that is not proven, or was withdrawn, takes no query that did not
/// choose it.
void
exclude_other_versions(const query_inputs& in, target_views& views)
{
    for (const target_handle target : in.service->targets)
    {
        const version_handle version =
            in.topology->targets[target.index].version;
        if (version != in.versions.preferred && version != in.versions.fallback)
        {
            views[target.index].unusable = miss_reason::no_replica;
        }
    }
}

} // namespace

const target_views&
read_views(const blackboard& board, const query_inputs& in, monotonic_time now)
{
    // Only the entries of the service's targets are read after this call.
    thread_local target_views views;
    board.targets.read(
        in.service->targets, *in.facts, *in.topology, now, views);
    if (in.versions.preferred.is_valid())
    {
        exclude_other_versions(in, views);
    }
    return views;
}

sub_request
make_sub_request(const query_context& context, const query_inputs& in,
    const caller_request& request, snapshot_sequence snapshot,
    const shard_batch& batch)
{
    const catalog_target& target = in.topology->targets[batch.target.index];
    sub_request sub;
    sub.id = context.sink.next_id();
    sub.query_id = request.id;
    sub.target = batch.target;
    sub.target_name = target.name;
    sub.service = in.service->name;
    sub.route = in.route->name;
    sub.version = in.topology->versions[target.version.index].name;
    sub.snapshot = snapshot;
    sub.shards = batch.shards;
    sub.deadline = request.deadline - config::entry_hop_cost;
    sub.worth = in.route->worth * request.worth;
    sub.idempotent = in.route->idempotent;
    sub.idempotency_key = request.idempotency_key;
    sub.traceparent = to_traceparent(context.spans.child(request.trace));
    sub.query = request.query;
    return sub;
}

void
record_sub_request_span(const query_context& context,
    const caller_request& request, const std::string& traceparent,
    const std::string& target, monotonic_time sent, monotonic_time now,
    const char* kind, miss_reason error)
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
    s.attributes = {{"target", target}, {"attempt", kind},
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
