#pragma once

#include "config.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What an entry VM knows of routes, services and targets. Adapters fill these
/// types from whatever a deployment speaks.
namespace bramleymux
{

struct service_share
{
    std::string service;
    double weight = 1.0; ///< relative to the other shares of the route
};

/// One routed path of a host.
struct route_rule
{
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash
    bool idempotent = false;
    duration timeout{};         ///< a caller has its answer by then
    duration target_latency{};  ///< an answer earns full credit until then
    std::uint32_t attempts = 1; ///< targets that may run one request, by shard
    std::uint32_t priority = 0; ///< 0 = most urgent
    std::vector<service_share> shares; ///< empty when the route has shards
    std::vector<std::string> shards;   ///< services that are all asked
    std::size_t result_limit = 0;      ///< records of a merged answer
    double min_coverage = 1.0;         ///< least share of shards of an answer
};

struct service_rule
{
    std::string name;
    std::string health_path = "/health";
    std::uint32_t max_connections = 0; ///< of a target, from all VMs together
    double cold_rate = 0.0; ///< requests a second a cold target bears; 0 = any
};

/// Bounds on what callers send and how long they may take.
struct caller_limits
{
    std::size_t max_header_bytes = config::default_header_bytes;
    std::size_t max_body_bytes = config::max_request_body_bytes;
    duration header_timeout = config::default_header_timeout;
    duration idle_timeout = config::default_idle_timeout;
};

/// One version of the operators' desired state. A query pins one for its life.
struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services; ///< sorted by name
    caller_limits limits;
};

/// The route with the longest prefix of `path` on `host`, or null.
const route_rule*
find_route(
    const desired_state& state, std::string_view host, std::string_view path);

/// Null when the desired state has no such service.
const service_rule*
find_service(const desired_state& state, std::string_view name);

/// One registered target.
struct target_record
{
    std::string id; ///< names one process; an address may be used again
    std::string service;
    std::string address; ///< IP:port
    std::string zone;
    std::string version;
    std::uint32_t slots = 1; ///< requests that it runs at once
    bool leaving = false;
    duration cold_left{};         ///< remaining cold start at registration
    std::uint64_t started_ms = 0; ///< Unix time of its start; 0 = unknown
};

/// Whether both records describe the same process with the same properties.
bool
same_registration(const target_record& a, const target_record& b);

/// Picks shares in proportion to their weights, evenly spread over the calls
/// (smooth weighted round robin).
class share_picker
{
public:
    std::size_t
    pick(const std::vector<service_share>& shares);

private:
    std::vector<double> credit_;
};

} // namespace bramleymux
