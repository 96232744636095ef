#include "caller_server.hpp"

#include "config.hpp"
#include "log_events.hpp"

namespace bramleymux
{

using nlohmann::json;

namespace
{

server_response
plain_response(int status, const std::string& text)
{
    server_response response;
    response.status = status;
    response.content_type = "text/plain";
    response.body = text;
    return response;
}

json
answer_to_json(const caller_request& request, query_result& result)
{
    json out{{"request_id", request.id}, {"run", to_string(result.run)},
        {"coverage", to_json(result.covered)},
        {"rows", std::move(result.rows)}};
    if (result.snapshot != 0)
    {
        out["snapshot"] = {{"sequence", result.snapshot}};
    }
    if (!result.version.empty())
    {
        out["version"] = result.version;
    }
    return out;
}

} // namespace

caller_server::caller_server(const settings& values, std::string vm_id,
    std::uint64_t incarnation, query_context context, admission_gate& gate,
    write_runner write)
    : settings_(values),
      id_prefix_(std::move(vm_id) + "-" + std::to_string(incarnation) + "-"),
      context_(std::move(context)), gate_(gate), write_(std::move(write))
{
}

server_response
caller_server::handle(const server_request& request)
{
    if (request.path == "/healthz")
    {
        return plain_response(200, "ok\n");
    }
    if (request.path == "/readyz")
    {
        return is_ready() ? plain_response(200, "ready\n")
                          : plain_response(503, "not ready\n");
    }
    std::string service;
    std::string route;
    if (!parse_query_path(request.path, service, route))
    {
        return make_problem(problem_code::unknown_path, run_state::not_run,
            "use POST /v1/services/{service}/routes/{route}");
    }
    if (request.method != "POST")
    {
        return make_problem(
            problem_code::method_not_allowed, run_state::not_run, "use POST");
    }
    {
        const std::lock_guard<std::mutex> lock(running_mutex_);
        if (refusing_)
        {
            context_.counters.add(counter::refused_not_run);
            server_response refusal = make_problem(problem_code::stopping,
                run_state::not_run, "send the request to another VM");
            refusal.close_connection = true;
            return refusal;
        }
        ++running_;
    }
    server_response response = handle_query(request, service, route);
    response.close_connection = !ready_.load();
    {
        const std::lock_guard<std::mutex> lock(running_mutex_);
        --running_;
    }
    idle_.notify_all();
    return response;
}

server_response
caller_server::handle_query(const server_request& request,
    const std::string& service, const std::string& route)
{
    context_.counters.add(counter::requests);
    findings found;
    caller_request parsed =
        parse_caller_request(request, monotonic_clock::now(),
            std::chrono::milliseconds(settings_.default_deadline_ms), found);
    if (!found.empty())
    {
        context_.counters.add(counter::refused_bad_request);
        return make_problem(problem_code::invalid_request, run_state::not_run,
            found.front().place + " " + found.front().message,
            {{"findings", to_json(found)}});
    }
    parsed.query_number = next_query_.fetch_add(1);
    parsed.id = id_prefix_ + std::to_string(parsed.query_number);
    parsed.service = service;
    parsed.route = route;
    const std::string& traceparent = header_value(request, "traceparent");
    trace_context caller_span;
    if (parse_traceparent(traceparent, caller_span))
    {
        parsed.parent_span_id = caller_span.span_id;
    }
    parsed.trace = context_.spans.start(traceparent);
    query_result result = run(parsed);
    context_.counters.observe(
        latency_kind::query, monotonic_clock::now() - parsed.received);
    record_span(parsed, result);
    return respond(parsed, std::move(result));
}

/// Checks the request against the table, admits it and runs it.
query_result
caller_server::run(caller_request& request)
{
    query_result result;
    const auto topology = context_.board.topology.get();
    if (!topology)
    {
        result.problem = problem_code::no_table;
        return result;
    }
    const catalog_service* service = find_service(*topology, request.service);
    const catalog_route* route =
        service != nullptr ? find_route(*topology, service->self, request.route)
                           : nullptr;
    if (route == nullptr)
    {
        result.problem = service == nullptr ? problem_code::unknown_service
                                            : problem_code::unknown_route;
        result.detail = service == nullptr ? request.service : request.route;
        return result;
    }
    if (!route->idempotent && request.idempotency_key.empty())
    {
        result.problem = problem_code::idempotency_key_required;
        return result;
    }
    const admission_decision decision = gate_.enter(route->self);
    if (!decision.admitted)
    {
        result.problem = problem_code::overloaded;
        return result;
    }
    result = run_admitted(request, route->idempotent);
    gate_.leave(route->self, monotonic_clock::now() - request.received);
    return result;
}

query_result
caller_server::run_admitted(const caller_request& request, bool idempotent)
{
    return idempotent ? run_read(context_, request) : write_(request);
}

server_response
caller_server::respond(const caller_request& request, query_result result)
{
    metrics& counters = context_.counters;
    if (result.problem == problem_code::none)
    {
        const bool whole = result.covered.missing.empty();
        counters.add(whole ? counter::answers_whole : counter::answers_partial);
        if (!whole)
        {
            log_event(event::query_partial,
                "id=" + request.id + " service=" + request.service +
                    " missing=" +
                    std::to_string(result.covered.missing.size()));
        }
        server_response response;
        response.body =
            answer_to_json(request, result)
                .dump(-1, ' ', false, json::error_handler_t::replace);
        return response;
    }
    const bool refused = result.run == run_state::not_run;
    counters.add(refused ? counter::refused_not_run : counter::failed_unknown);
    log_event(event::query_refused,
        "id=" + request.id + " service=" + request.service + " code=" +
            std::string(
                problem_code_names[static_cast<std::size_t>(result.problem)]) +
            " run=" + std::string(to_string(result.run)));
    json extra{{"request_id", request.id}};
    if (result.covered.asked > 0)
    {
        extra["coverage"] = to_json(result.covered);
        extra["snapshot"] = {{"sequence", result.snapshot}};
    }
    return make_problem(
        result.problem, result.run, result.detail, std::move(extra));
}

void
caller_server::record_span(
    const caller_request& request, const query_result& result) const
{
    if (!request.trace.sampled)
    {
        return;
    }
    span s;
    s.context = request.trace;
    s.parent_span_id = request.parent_span_id;
    s.name = "query";
    s.kind = span_kind::server;
    s.end = std::chrono::system_clock::now();
    s.start = s.end - std::chrono::duration_cast<wall_time::duration>(
                          monotonic_clock::now() - request.received);
    s.attributes = {{"service", request.service}, {"route", request.route},
        {"snapshot", std::to_string(result.snapshot)},
        {"missing", std::to_string(result.covered.missing.size())}};
    s.failed = result.problem != problem_code::none;
    context_.spans.record(std::move(s));
}

void
caller_server::fail_readiness()
{
    ready_ = false;
}

bool
caller_server::drain(monotonic_time until)
{
    std::unique_lock<std::mutex> lock(running_mutex_);
    refusing_ = true;
    return idle_.wait_until(lock, until, [this] { return running_ == 0; });
}

bool
caller_server::is_ready() const
{
    const auto topology = context_.board.topology.get();
    const auto routes = context_.board.routes.get();
    if (!ready_.load() || !topology || !routes)
    {
        return false;
    }
    return covers_every_service(*routes, *topology) ||
           monotonic_clock::now() >= started_ + config::ready_grace;
}

} // namespace bramleymux
