#pragma once

#include "http_client.hpp"
#include "target_api.hpp"

#include <limits>
#include <map>

/// Client side of the target protocol, over pooled HTTP connections.
namespace bramleymux
{

/// Load reported by a target in the `endpoint-load-metrics` header (ORCA).
struct load_report
{
    std::uint32_t slots_limit = 0;
    std::uint32_t slots_used = 0;
    monotonic_time at; ///< when the reply was received
};

/// Parses a header value of the form `JSON {"named_metrics": {...}}`. Returns
/// nullopt if it is malformed.
std::optional<load_report>
parse_load_report(std::string_view header, monotonic_time now);

/// Parses a response into `out`, checking it against its request. Returns false
/// if the response does not belong to the request or is malformed; the
/// connection must then not be reused.
bool
parse_target_response(const http_response& response, const sub_request& request,
    const std::string& wire_request_id, sub_reply& out);

/// Sets the error and run state of a request that got no response.
void
set_transport_failure(http_errc error, bool deadline_passed, sub_reply& out);

class target_client : public target_api
{
public:
    /// Limits the connections to each target to `connection_limit` and to the
    /// target's `connections`. Set `connection_limit` when other VMs connect to
    /// the same targets.
    explicit target_client(
        std::size_t connection_limit = std::numeric_limits<std::size_t>::max())
        : connection_limit_(connection_limit)
    {
    }

    sub_reply
    execute(const sub_request& request, const catalog_target& target,
        monotonic_time deadline, const std::string& wire_request_id) override;

    void
    cancel(const catalog_target& target,
        const std::string& wire_request_id) override;

    /// Leaves `publisher` and `proven_limit` for the caller to set.
    std::optional<target_report>
    status(const catalog_target& target) override;

    /// Opens connections to the target until `count` are open, or as many as
    /// the target allows. Returns the number of open connections.
    std::size_t
    warm(const catalog_target& target, std::size_t count,
        monotonic_time deadline);

    /// Returns the latest load report received in a reply of the target, or
    /// nullopt if there is none.
    std::optional<load_report>
    load(const catalog_target& target) const;

    /// Returns the state of the target's connection pool.
    pool_stats
    connections(const catalog_target& target);

    /// Drops the connections and load reports of addresses that are not in the
    /// catalog.
    void
    retain(const catalog& c);

private:
    struct endpoint_state
    {
        std::shared_ptr<connection_pool> pool;
        std::optional<load_report> load;
    };

    std::shared_ptr<connection_pool>
    pool_of(const catalog_target& target);
    void
    record_load(const catalog_target& target, const http_response& response);

    const std::size_t connection_limit_;
    mutable std::mutex mutex_;
    /// By host and port.
    std::map<std::pair<std::string, std::uint16_t>, endpoint_state> endpoints_;
};

} // namespace bramleymux
