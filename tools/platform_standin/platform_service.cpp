#include "platform_standin/platform_service.hpp"

#include "config.hpp"

#include <algorithm>
#include <thread>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_value_bytes = config::mib;
constexpr auto max_watch_time = std::chrono::milliseconds(120'000);

/// Writes the rest of the path after the prefix to `out`. Returns false if the
/// prefix does not match or the rest is empty.
bool
strip_prefix(
    const std::string& path, const std::string& prefix, std::string& out)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
    {
        return false;
    }
    out = path.substr(prefix.size());
    return !out.empty();
}

/// Returns 0 if the text does not start with a number.
std::uint64_t
parse_number(std::string_view text)
{
    try
    {
        return std::stoull(std::string(text));
    }
    catch (const std::exception&)
    {
        return 0;
    }
}

json
problem(const char* title)
{
    return json{{"title", title}};
}

std::chrono::milliseconds
milliseconds_of(const json& value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

} // namespace

bool
take_token(token_bucket& bucket, monotonic_time now)
{
    if (bucket.per_second <= 0)
    {
        return true;
    }
    const std::chrono::duration<double> passed = now - bucket.last;
    bucket.last = now;
    bucket.tokens = std::min(
        bucket.per_second, bucket.tokens + passed.count() * bucket.per_second);
    if (bucket.tokens < 1)
    {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

platform_service::platform_service(std::uint64_t seed) : random_(seed) {}

void
platform_service::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
}

void
platform_service::configure(const json& control)
{
    const std::lock_guard lock(mutex_);
    apply(control, false);
}

bool
platform_service::in_outage(const std::string& listener) const
{
    return outage_ || outage_listeners_.count(listener) > 0;
}

void
platform_service::apply(const json& control, bool lag_vm_list)
{
    const auto now = monotonic_clock::now();
    outage_ = control.value("outage", outage_);
    if (control.contains("outage_listeners"))
    {
        control.at("outage_listeners").get_to(outage_listeners_);
    }
    if (control.contains("latency_ms"))
    {
        latency_ = milliseconds_of(control.at("latency_ms"));
    }
    lose_writes_ = control.value("lose_writes", lose_writes_);
    lose_write_fraction_ =
        control.value("lose_write_fraction", lose_write_fraction_);
    if (control.contains("vm_lag_ms"))
    {
        vm_lag_ = milliseconds_of(control.at("vm_lag_ms"));
    }
    if (control.contains("vms"))
    {
        if (!lag_vm_list)
        {
            vm_lists_.clear();
        }
        vm_lists_.emplace_back(now, control.at("vms"));
    }
    if (control.contains("reads_per_second"))
    {
        const double rate = control.at("reads_per_second").get<double>();
        reads_ = {rate, rate, now};
    }
    if (control.contains("writes_per_second"))
    {
        const double rate = control.at("writes_per_second").get<double>();
        writes_ = {rate, rate, now};
    }
    changed_.notify_all();
}

server_response
platform_service::control(const server_request& request)
{
    if (request.method == "GET" && request.path == "/control/stats")
    {
        const std::lock_guard lock(mutex_);
        return json_response(200, stats());
    }
    if (request.method == "POST" && request.path == "/control/reset")
    {
        const std::lock_guard lock(mutex_);
        counts_.clear();
        return json_response(200, json::object());
    }
    if (request.method != "POST" || request.path != "/control")
    {
        return json_response(404, problem("no such control"));
    }
    try
    {
        const json body = json::parse(request.body);
        const std::lock_guard lock(mutex_);
        apply(body, true);
        return json_response(200, json::object());
    }
    catch (const json::exception& e)
    {
        return json_response(400, problem(e.what()));
    }
}

server_response
platform_service::handle(
    const server_request& request, const std::string& listener)
{
    if (request.path.compare(0, 8, "/control") == 0)
    {
        return control(request);
    }
    duration latency{};
    {
        const std::lock_guard lock(mutex_);
        latency = latency_;
    }
    std::this_thread::sleep_for(latency);
    return dispatch(request, listener);
}

server_response
platform_service::dispatch(
    const server_request& request, const std::string& listener)
{
    std::unique_lock lock(mutex_);
    const bool write = request.method == "PUT" || request.method == "DELETE";
    if (in_outage(listener))
    {
        ++counts_["outage"];
        return json_response(503, problem("outage"));
    }
    if (!take_token(write ? writes_ : reads_, monotonic_clock::now()))
    {
        ++counts_["rate_limited"];
        return json_response(429, problem("rate limit"));
    }
    std::string key;
    if (strip_prefix(request.path, "/v1/objects/", key))
    {
        ++counts_[request.method == "GET"   ? "get"
                  : request.method == "PUT" ? "put"
                                            : "delete"];
        if (request.method == "GET")
        {
            return get(key);
        }
        return request.method == "PUT" ? put(key, request)
                                       : remove(key, request);
    }
    if (strip_prefix(request.path, "/v1/watch/", key))
    {
        ++counts_["watch"];
        return watch(key, request, listener, lock);
    }
    if (request.path == "/v1/list")
    {
        ++counts_["list"];
        return list(query_parameter(request, "prefix"));
    }
    if (request.path == "/v1/vms")
    {
        ++counts_["vms"];
        return vms();
    }
    return json_response(404, problem("no such path"));
}

json
platform_service::object_json(const std::string& key) const
{
    const auto it = objects_.find(key);
    if (it == objects_.end() || it->second.removed)
    {
        return json{{"key", key}, {"version", 0}, {"value", nullptr}};
    }
    return json{{"key", key}, {"version", it->second.version},
        {"value", it->second.value}};
}

server_response
platform_service::get(const std::string& key)
{
    json body = object_json(key);
    if (body.at("version") == 0)
    {
        return json_response(404, problem("no such object"));
    }
    return json_response(200, body);
}

bool
platform_service::condition_holds(
    const std::string& key, const server_request& request, int& refusal_status)
{
    const auto current = object_json(key).at("version").get<std::uint64_t>();
    const auto if_match = find_header(request.headers, "If-Match");
    const auto if_none_match = find_header(request.headers, "If-None-Match");
    if (!if_match && (!if_none_match || *if_none_match != "*"))
    {
        refusal_status = 428;
        return false;
    }
    refusal_status = 412;
    return if_match ? current != 0 && parse_number(*if_match) == current
                    : current == 0;
}

server_response
platform_service::after_write(server_response response)
{
    changed_.notify_all();
    const bool lost = lose_writes_ > 0 ||
                      std::uniform_real_distribution<double>(0, 1)(random_) <
                          lose_write_fraction_;
    if (lost)
    {
        lose_writes_ -= lose_writes_ > 0 ? 1 : 0;
        ++counts_["lost_replies"];
        response.sent = delivery::none;
    }
    return response;
}

server_response
platform_service::put(const std::string& key, const server_request& request)
{
    if (request.body.size() > max_value_bytes)
    {
        return json_response(413, problem("value above 1 MB"));
    }
    json value = json::parse(request.body, nullptr, false);
    if (value.is_discarded())
    {
        return json_response(400, problem("not JSON"));
    }
    int refusal_status = 0;
    if (!condition_holds(key, request, refusal_status))
    {
        ++counts_["conflicts"];
        return json_response(refusal_status, object_json(key));
    }
    objects_[key] = {++last_version_, std::move(value), false};
    return after_write(json_response(200, {{"version", last_version_}}));
}

server_response
platform_service::remove(const std::string& key, const server_request& request)
{
    const auto it = objects_.find(key);
    if (it == objects_.end() || it->second.removed)
    {
        return json_response(404, problem("no such object"));
    }
    int refusal_status = 0;
    if (!condition_holds(key, request, refusal_status))
    {
        ++counts_["conflicts"];
        return json_response(refusal_status, object_json(key));
    }
    it->second = {++last_version_, nullptr, true};
    return after_write(json_response(200, {{"version", last_version_}}));
}

server_response
platform_service::watch(const std::string& key, const server_request& request,
    const std::string& listener, std::unique_lock<std::mutex>& lock)
{
    const std::uint64_t after = parse_number(query_parameter(request, "after"));
    const auto wait = std::min<std::chrono::milliseconds>(max_watch_time,
        std::chrono::milliseconds(
            parse_number(query_parameter(request, "timeout_ms"))));
    ++watching_;
    const bool condition_met =
        changed_.wait_until(lock, monotonic_clock::now() + wait,
            [&]
            {
                const auto it = objects_.find(key);
                return stopping_ || in_outage(listener) ||
                       (it != objects_.end() && it->second.version > after);
            });
    --watching_;
    if (!condition_met)
    {
        return {204, {}, "", delivery::whole};
    }
    if (stopping_ || in_outage(listener))
    {
        return json_response(503, problem("outage"));
    }
    return get(key);
}

server_response
platform_service::list(const std::string& prefix)
{
    json found = json::array();
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
         ++it)
    {
        if (!it->second.removed)
        {
            found.push_back(object_json(it->first));
        }
    }
    return json_response(200, {{"objects", std::move(found)}});
}

/// Returns the newest VM list that was set at least `vm_lag_` ago, or the
/// oldest one if there is none.
server_response
platform_service::vms()
{
    const auto now = monotonic_clock::now();
    while (vm_lists_.size() > 1 && vm_lists_[1].first + vm_lag_ <= now)
    {
        vm_lists_.pop_front();
    }
    return json_response(200, {{"vms", vm_lists_.front().second}});
}

json
platform_service::stats() const
{
    return json{{"counts", counts_}, {"watching", watching_},
        {"objects", std::count_if(objects_.begin(), objects_.end(),
                        [](const auto& o) { return !o.second.removed; })},
        {"last_version", last_version_}};
}

} // namespace bramleymux::tools
