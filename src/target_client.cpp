#include "target_client.hpp"

#include "config.hpp"

#include <algorithm>
#include <set>

namespace bramleymux
{

using nlohmann::json;

namespace
{

std::string
dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_request
wire_request(const sub_request& request, const std::string& wire_request_id,
    monotonic_time now, monotonic_time deadline)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    json body{{"request_id", wire_request_id}, {"service", request.service},
        {"route", request.route}, {"version", request.version},
        {"snapshot", request.snapshot}, {"shards", request.shards},
        {"deadline_ms", left.count()}, {"query", request.query}};
    http_request out;
    out.method = "POST";
    out.path = "/v1/search";
    out.headers = {{"Content-Type", "application/json"},
        {"X-Deadline-Ms", std::to_string(left.count())}};
    if (!request.idempotent)
    {
        out.path = "/v1/execute";
        body["idempotency_key"] = request.idempotency_key;
    }
    if (!request.traceparent.empty())
    {
        out.headers.emplace_back("traceparent", request.traceparent);
    }
    out.body = dump(body);
    return out;
}

void
set_error(sub_reply& out, miss_reason error, run_state run)
{
    out.error = error;
    out.run = run;
    out.shards.clear();
}

std::string
text_field(const json& body, const char* name)
{
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

miss_reason
refusal_reason(int status, const std::string& reason)
{
    switch (status)
    {
    case 409:
        return reason == "snapshot" ? miss_reason::snapshot
                                    : miss_reason::failed;
    case 499:
        return miss_reason::cancelled;
    case 503:
        if (reason == "draining")
        {
            return miss_reason::draining;
        }
        return reason == "shed" ? miss_reason::shed : miss_reason::failed;
    case 504:
        return miss_reason::deadline;
    default:
        return miss_reason::failed;
    }
}

bool
parse_refusal(int status, const json& body, sub_reply& out)
{
    const run_state run =
        from_name<run_state>(run_state_names, text_field(body, "run"));
    set_error(out, refusal_reason(status, text_field(body, "reason")),
        run == run_state::count ? run_state::unknown : run);
    return true;
}

/// Parses "shards". Returns false if a shard was not requested or occurs twice,
/// or if its rows are not an array.
bool
parse_shard_rows(const json& body, const sub_request& request, sub_reply& out)
{
    std::set<shard_id> asked(request.shards.begin(), request.shards.end());
    for (const json& item : body.at("shards"))
    {
        shard_rows s{item.at("shard").get<shard_id>(), item.at("rows")};
        if (!s.rows.is_array() || asked.erase(s.shard) == 0)
        {
            return false;
        }
        out.shards.push_back(std::move(s));
    }
    return true;
}

bool
parse_success(const json& body, const sub_request& request, sub_reply& out)
{
    out.run = run_state::run;
    body.at("instance").get_to(out.instance);
    body.at("version").get_to(out.version);
    body.at("snapshot").get_to(out.snapshot);
    if (out.snapshot != request.snapshot)
    {
        set_error(out, miss_reason::snapshot, run_state::run);
        return false;
    }
    if (out.version != request.version || !parse_shard_rows(body, request, out))
    {
        set_error(out, miss_reason::mismatched, run_state::run);
        return false;
    }
    return true;
}

} // namespace

std::optional<load_report>
parse_load_report(std::string_view header, monotonic_time now)
{
    constexpr std::string_view prefix = "JSON ";
    if (header.substr(0, prefix.size()) != prefix)
    {
        return std::nullopt;
    }
    try
    {
        const json body = json::parse(header.substr(prefix.size()));
        const json& metrics = body.at("named_metrics");
        load_report out;
        out.slots_limit = metrics.at("slots_limit").get<std::uint32_t>();
        out.slots_used = metrics.at("slots_used").get<std::uint32_t>();
        out.at = now;
        return out;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

bool
parse_target_response(const http_response& response, const sub_request& request,
    const std::string& wire_request_id, sub_reply& out)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object())
    {
        // May be the error page of an intermediary, so the run state is
        // unknown.
        set_error(out,
            response.status == 200 ? miss_reason::malformed
                                   : miss_reason::failed,
            run_state::unknown);
        return false;
    }
    if (text_field(body, "request_id") != wire_request_id)
    {
        set_error(out, miss_reason::mismatched, run_state::unknown);
        return false;
    }
    if (response.status != 200)
    {
        return parse_refusal(response.status, body, out);
    }
    try
    {
        return parse_success(body, request, out);
    }
    catch (const json::exception&)
    {
        set_error(out, miss_reason::malformed, run_state::unknown);
        return false;
    }
}

void
set_transport_failure(http_errc error, bool deadline_passed, sub_reply& out)
{
    const run_state run = may_have_reached_server(error) ? run_state::unknown
                                                         : run_state::not_run;
    switch (error)
    {
    case http_errc::timeout:
        return set_error(out, miss_reason::deadline, run);
    case http_errc::truncated:
    case http_errc::too_large:
    case http_errc::malformed:
        return set_error(out, miss_reason::malformed, run);
    case http_errc::invalid_request:
        return set_error(out, miss_reason::failed, run);
    default:
        return set_error(out,
            deadline_passed ? miss_reason::deadline : miss_reason::unreachable,
            run);
    }
}

std::shared_ptr<connection_pool>
target_client::pool_of(const catalog_target& target)
{
    const std::size_t limit = std::min<std::size_t>(
        std::max(1U, target.connections), connection_limit_);
    const std::lock_guard lock(mutex_);
    endpoint_state& state = endpoints_[{target.host, target.port}];
    if (!state.pool)
    {
        state.pool = std::make_shared<connection_pool>(
            http_address{target.host, target.port, {}}, limit);
    }
    else
    {
        state.pool->set_limit(limit);
    }
    return state.pool;
}

void
target_client::record_load(
    const catalog_target& target, const http_response& response)
{
    const auto header = find_header(response.headers, "endpoint-load-metrics");
    if (!header)
    {
        return;
    }
    const auto load = parse_load_report(*header, monotonic_clock::now());
    if (load)
    {
        const std::lock_guard lock(mutex_);
        endpoints_[{target.host, target.port}].load = load;
    }
}

sub_reply
target_client::execute(const sub_request& request, const catalog_target& target,
    monotonic_time deadline, const std::string& wire_request_id)
{
    sub_reply out;
    out.id = request.id;
    const monotonic_time begin = monotonic_clock::now();
    bool answered = false;
    const auto response = pool_of(target)->request(
        wire_request(request, wire_request_id, begin, deadline), deadline,
        [&](const http_response& r)
        {
            answered = true;
            return parse_target_response(r, request, wire_request_id, out);
        });
    const monotonic_time end = monotonic_clock::now();
    out.target_time = end - begin;
    if (answered)
    {
        record_load(target, response.value());
    }
    else
    {
        set_transport_failure(response.error(), end >= deadline, out);
    }
    return out;
}

void
target_client::cancel(
    const catalog_target& target, const std::string& wire_request_id)
{
    http_request request;
    request.method = "DELETE";
    request.path = "/v1/requests/" + encode_path(wire_request_id);
    (void)pool_of(target)->request(
        request, monotonic_clock::now() + config::target_cancel_timeout);
}

std::optional<target_report>
target_client::status(const catalog_target& target)
{
    const auto response =
        pool_of(target)->request({"GET", "/v1/status", {}, ""},
            monotonic_clock::now() + config::target_status_timeout);
    if (!response || response.value().status != 200)
    {
        return std::nullopt;
    }
    const json body = json::parse(response.value().body, nullptr, false);
    target_report out;
    if (!body.is_object() || !parse_status(body, out))
    {
        return std::nullopt;
    }
    out.target = target.name;
    out.reachable = true;
    out.sequence = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    return out;
}

std::size_t
target_client::warm(
    const catalog_target& target, std::size_t count, monotonic_time deadline)
{
    return pool_of(target)->warm(
        std::min<std::size_t>(count, target.connections), deadline);
}

std::optional<load_report>
target_client::load(const catalog_target& target) const
{
    const std::lock_guard lock(mutex_);
    const auto it = endpoints_.find({target.host, target.port});
    return it == endpoints_.end() ? std::nullopt : it->second.load;
}

pool_stats
target_client::connections(const catalog_target& target)
{
    return pool_of(target)->stats();
}

void
target_client::retain(const catalog& c)
{
    std::set<std::pair<std::string, std::uint16_t>> named;
    for (const catalog_target& t : c.targets)
    {
        if (t.self.is_valid())
        {
            named.emplace(t.host, t.port);
        }
    }
    const std::lock_guard lock(mutex_);
    for (auto it = endpoints_.begin(); it != endpoints_.end();)
    {
        it = named.count(it->first) == 0 ? endpoints_.erase(it) : std::next(it);
    }
}

} // namespace bramleymux
