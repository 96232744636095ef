#include "deployment.hpp"

#include "answers.hpp"
#include "attempt.hpp"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace bramleymux::soak
{

using nlohmann::json;

namespace
{

constexpr const char* read_service = "reader";
constexpr const char* write_service = "writer";
constexpr const char* part_service = "part-"; // with the shard's number
constexpr const char* health_path = "/health";
constexpr std::size_t changing_routes = 4;
constexpr std::uint64_t slots = 32;
constexpr std::uint64_t longest_reply_ms = 40;
constexpr std::size_t odd_depth = 100000; // levels
// So few revocations that callers still use the key which a VM that is cut off
// takes for valid.
constexpr auto shortest_key_life = std::chrono::seconds(1);
// Default of the VMs' setting `target/leave_ms`.
constexpr auto leave_bound = std::chrono::seconds(3);
// Time between the send of a VM and the moment at which this process reads it.
constexpr auto longest_transit = std::chrono::milliseconds(500);

json
route(const std::string& prefix, bool safe, const std::string& service,
    std::uint64_t timeout_ms)
{
    return {{"name", prefix}, {"host", "soak.example"}, {"pathPrefix", prefix},
        {"routeType", safe ? "safe" : "unsafe"}, {"timeoutMs", timeout_ms},
        {"targetLatencyMs", timeout_ms}, {"service", service}, {"attempts", 2},
        {"priority", 0}};
}

json
gathered_route(const std::string& prefix, std::uint64_t timeout_ms)
{
    constexpr std::uint64_t result_limit = 1000; // more than all parts hold
    json out = route(prefix, true, "", timeout_ms);
    out.erase("service");
    out["resultLimit"] = result_limit;
    out["minCoverage"] = 1.0 / static_cast<double>(shard_count);
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        out["shards"].push_back(part_service + std::to_string(i));
    }
    return out;
}

json
service(const std::string& name)
{
    return {{"name", name}, {"healthPath", health_path},
        {"maxConnections", 200}, {"warmupPerS", 1000}};
}

/// `newest_key` is valid besides the one that is never revoked.
json
desired_state_of(
    std::uint64_t version, const state_choice& state, std::size_t newest_key)
{
    json routes{route("/r/", true, read_service, state.route_timeout_ms),
        route("/w/", false, write_service, state.route_timeout_ms),
        gathered_route("/g/", state.route_timeout_ms)};
    json services{service(read_service), service(write_service)};
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        services.push_back(service(part_service + std::to_string(i)));
    }
    for (std::size_t i = 0; i < changing_routes; ++i)
    {
        if ((state.routes >> i & 1U) != 0)
        {
            routes.push_back(route("/x" + std::to_string(i) + "/", true,
                read_service, state.route_timeout_ms));
        }
    }
    return {{"version", version}, {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"tenants", {{{"name", "soak"},
                        {"apiKeys", {key_text(0), key_text(newest_key)}}}}},
        {"limits", {{"maxHeaderBytes", 8192}, {"maxBodyBytes", 262144},
                       {"headerTimeoutMs", 2000},
                       {"idleTimeoutMs", state.idle_timeout_ms}}}};
}

} // namespace

deployment::deployment(boost::asio::io_context& loop, std::uint64_t seed,
    const std::vector<std::string>& zones, std::size_t vms)
    : store(loop, vms), random_(seed), conducts_(seed)
{
    // Each shard in one zone, so that a VM of the other asks a VM there.
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        add_target(
            loop, part_service + std::to_string(i), zones[i % zones.size()]);
    }
    for (const std::string& zone : zones)
    {
        add_target(loop, read_service, zone);
        add_target(loop, write_service, zone);
    }
    add_target(loop, read_service, zones.front());
    set_state({});
}

void
deployment::set_state(const state_choice& state)
{
    state_ = state;
    constexpr std::uint64_t longest_step = 3;
    version_ +=
        std::uniform_int_distribution<std::uint64_t>(1, longest_step)(random_);
    const bool revokes =
        revocations_.empty() ||
        monotonic_clock::now() - revocations_.back() >= shortest_key_life;
    const std::size_t newest_key = revocations_.size() + (revokes ? 2 : 1);
    store.put("config", "main", desired_state_of(version_, state, newest_key));
    if (revokes)
    {
        revocations_.push_back(monotonic_clock::now());
    }
}

std::size_t
deployment::choose_key(std::mt19937_64& random) const
{
    const auto pick = [&](std::uint64_t low, std::uint64_t high)
    { return std::uniform_int_distribution<std::uint64_t>(low, high)(random); };
    constexpr std::uint64_t revocable_key_share = 40;
    constexpr std::uint64_t percent = 100;
    if (pick(1, percent) > revocable_key_share)
    {
        return 0;
    }
    // The newest one, or one of the last that were revoked.
    constexpr std::size_t recent_keys = 4;
    const std::size_t newest_key = revocations_.size() + 1;
    return newest_key - pick(0, std::min(recent_keys, newest_key - 1));
}

monotonic_time
deployment::revoked_at(std::size_t key) const
{
    return key >= 1 && key <= revocations_.size() ? revocations_[key - 1]
                                                  : monotonic_time::max();
}

void
deployment::add_target(boost::asio::io_context& loop,
    const std::string& service, const std::string& zone)
{
    const std::size_t n = targets_.size();
    targets_.push_back(std::make_unique<fixture::stand_in_target>(loop,
        "i-" + std::to_string(n),
        [this, n](const parsed_request& request)
        {
            targets_[n]->received.clear();
            return serve(n, request);
        }));
    constexpr int window_bytes = 16384;
    targets_.back()->narrow_window(window_bytes);
    targets_.back()->set_early_script(
        [this, n](const std::string& bytes) { return serve_early(n, bytes); });
    specs_.push_back({{"service", service},
        {"address", targets_.back()->address()}, {"zone", zone},
        {"version", "v1"}, {"slots", slots}, {"state", "ready"},
        {"warmupLeftMs", 0}, {"sequence", 1}, {"born", 1700000000000}});
    register_target(targets_.size() - 1);
}

void
deployment::register_target(std::size_t target)
{
    store.put("servers", "i-" + std::to_string(target), specs_[target]);
}

void
deployment::write_odd_entry(std::uint64_t choice)
{
    // The desired state has one object, which only the operator writes.
    const char* const kinds[] = {
        "servers", "rollouts", "bramleymux-rollout-reports", "bramleymux-vms"};
    const std::string deep =
        std::string(odd_depth, '[') + std::string(odd_depth, ']');
    const std::string specs[] = {deep, "{\"address\":1e400}",
        "{\"service\":\"\\udcff\"}", "{\"zone\":\"\xff\xfe\"}", "7",
        R"({"service":"reader","address":"127.0.0.1:0","state":"ready"})",
        R"({"service":"reader","address":"127.0.0.1:65536","state":"ready"})",
        R"({"service":{},"entries":{},"peer":[],"zone":-1})"};
    const std::string kind = kinds[choice % std::size(kinds)];
    store.put_text(kind, "odd-" + kind,
        specs[choice / std::size(kinds) % std::size(specs)]);
}

bool
deployment::leave()
{
    const std::size_t last = targets_.size() - 1;
    if (left_at_ != monotonic_time::max())
    {
        return false;
    }
    left_at_ = monotonic_clock::now();
    store.remove("servers", "i-" + std::to_string(last));
    return true;
}

bool
deployment::announce_leaving()
{
    if (left_at_ != monotonic_time::max())
    {
        return false;
    }
    store.save();
    left_at_ = monotonic_clock::now();
    announced_ = true;
    specs_.back()["state"] = "draining";
    register_target(targets_.size() - 1);
    return true;
}

void
deployment::write_again()
{
    store.put("config", "main",
        desired_state_of(version_, state_, revocations_.size() + 1));
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        register_target(i);
    }
}

void
deployment::come_back()
{
    if (announced_)
    {
        // Only another process takes requests again.
        specs_.back()["state"] = "ready";
        specs_.back()["born"] = specs_.back()["born"].get<std::uint64_t>() + 1;
        announced_ = false;
    }
    left_at_ = monotonic_time::max();
    register_target(targets_.size() - 1);
}

std::optional<deployment::late_arrival>
deployment::reached_left_target(std::uint64_t request) const
{
    const auto found = late_arrivals_.find(request);
    return found == late_arrivals_.end()
               ? std::nullopt
               : std::optional<late_arrival>(found->second);
}

fixture::scripted_reply
deployment::serve(std::size_t target, const parsed_request& request)
{
    if (request.path == health_path)
    {
        return {fixture::http_text(
            200, "X-Instance-Id: i-" + std::to_string(target) + "\r\n", "")};
    }
    const std::uint64_t id = std::strtoull(
        fixture::header_value(request, "X-Request-Id").c_str(), nullptr, 10);
    auto reply = reply_to(id, target, conducts_.next());
    reply.wait =
        std::chrono::milliseconds(std::uniform_int_distribution<std::uint64_t>(
            1, longest_reply_ms)(random_));
    return reply;
}

/// Replies to some long requests before their bodies have arrived.
std::optional<fixture::scripted_reply>
deployment::serve_early(std::size_t target, const std::string& bytes)
{
    const std::string id_field = "X-Request-Id: ";
    const std::size_t at = bytes.find(id_field);
    const bool is_long =
        at != std::string::npos &&
        bytes.find("Content-Length: " + std::to_string(long_body_bytes)) !=
            std::string::npos;
    const auto chosen = is_long ? conducts_.next_early() : std::nullopt;
    if (!chosen)
    {
        return std::nullopt;
    }
    const std::uint64_t id =
        std::strtoull(bytes.c_str() + at + id_field.size(), nullptr, 10);
    return reply_to(id, target, *chosen);
}

/// Counts the run of the request, if it runs, and returns the reply to it.
fixture::scripted_reply
deployment::reply_to(
    std::uint64_t id, std::size_t target, const conduct& chosen)
{
    runs_[id] += chosen.runs ? 1 : 0;
    const monotonic_time now = monotonic_clock::now();
    const bool left = target == targets_.size() - 1 &&
                      left_at_ != monotonic_time::max() &&
                      now > left_at_ + leave_bound + longest_transit;
    if (left)
    {
        late_arrivals_.emplace(id, late_arrival{now, announced_});
    }
    const bool is_part = target < shard_count;
    const std::string stamp =
        is_part ? stamp_of_part(target, id)
                : "i-" + std::to_string(target) + "." + std::to_string(id);
    return reply_of(chosen,
        "X-Request-Id: " + std::to_string(id) +
            "\r\nX-Response-Stamp: " + stamp + "\r\n",
        is_part ? part_of(target, id) : body_of(id));
}

std::uint32_t
deployment::runs(std::uint64_t request) const
{
    const auto found = runs_.find(request);
    return found == runs_.end() ? 0 : found->second;
}

} // namespace bramleymux::soak
