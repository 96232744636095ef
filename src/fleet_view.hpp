#pragma once

#include "config.hpp"
#include "keys/workspace_keys.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// An entry VM's view of the routes, services and targets. Adapters fill these
/// types from a deployment's own formats.
namespace bramleymux
{

struct service_share
{
    std::string service;
    double weight = 1.0; ///< relative to the other shares of the route
};

bool
operator==(const service_share& a, const service_share& b);

/// Rule for the requests to one path prefix of a host.
struct route_rule
{
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash
    bool idempotent = false;
    duration timeout{};                ///< latest time of an answer
    duration target_latency{};         ///< answers until then earn full credit
    std::uint32_t attempts = 1;        ///< most runs of a request, per shard
    std::uint32_t priority = 0;        ///< 0 = most urgent
    std::vector<service_share> shares; ///< empty when the route has shards
    std::vector<std::string> shards;   ///< services, each asked for its part
    std::size_t result_limit = 0;      ///< most records of a merged answer
    double min_coverage = 1.0;         ///< least share of answered shards
    bool is_public = false;            ///< needs no key of a workspace
};

/// Settings of one service.
struct service_rule
{
    std::string name;
    std::string health_path = "/health";
    std::uint32_t max_connections = 0; ///< per target, from all VMs together
    /// Requests a second that a target sustains in its cold start; 0 = no
    /// limit.
    double cold_rate = 0.0;
};

/// Limits on the size of a caller's request and on the time that its connection
/// may take to send one or stay idle.
struct caller_limits
{
    std::size_t max_header_bytes = config::default_header_bytes;
    std::size_t max_body_bytes = config::max_request_body_bytes;
    duration header_timeout = config::default_header_timeout;
    duration idle_timeout = config::default_idle_timeout;
};

/// One version of the operators' desired state. A query uses the version that
/// was current at its start until it ends.
struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services; ///< sorted by name
    caller_limits limits;
    /// If set, requests of routes that are not public need a key.
    std::optional<workspace_keys> workspaces;
};

/// Returns the route of `host` with the longest prefix of `path`, or null. A
/// port in `host` is ignored.
const route_rule*
find_route(
    const desired_state& state, std::string_view host, std::string_view path);

/// Returns null if the desired state has no such service.
const service_rule*
find_service(const desired_state& state, std::string_view name);

/// One registered target.
struct target_record
{
    std::string id; ///< of one process; its address can be reused
    std::string service;
    std::string address; ///< IP:port
    std::string zone;
    std::string version;
    std::uint32_t slots = 1;      ///< requests that it can run at once
    bool leaving = false;         ///< will stop soon
    duration cold_start_left{};   ///< at registration
    std::uint64_t started_ms = 0; ///< Unix time of its start; 0 = unknown
};

/// Whether both records describe the same process. `slots`, `leaving` and
/// `cold_start_left` may differ.
bool
same_registration(const target_record& a, const target_record& b);

/// Picks services in proportion to their weights by smooth weighted round
/// robin, which spreads each service's picks evenly.
class share_picker
{
public:
    /// Returns an index into `shares`. Restarts when they change: what one
    /// division owes a service, another may not allow it.
    std::size_t
    pick(const std::vector<service_share>& shares);

private:
    std::vector<service_share> shares_;
    std::vector<double> credit_;
};

} // namespace bramleymux
