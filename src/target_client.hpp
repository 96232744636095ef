#pragma once

#include "http_client.hpp"
#include "target_api.hpp"

#include <limits>
#include <map>

/// Target protocol over pooled HTTP connections.
namespace bramleymux
{

/// Load that a target stated in the `endpoint-load-metrics` header (ORCA).
struct target_load
{
    std::uint32_t slots_limit = 0;
    std::uint32_t slots_used = 0;
    monotonic_time at;
};

/// Parses "JSON {...}" with `named_metrics`.
std::optional<target_load>
parse_load_report(std::string_view header, monotonic_time now);

/// Checks an answer against its request and sets what it says. A false result
/// means that the connection cannot be trusted.
bool
read_target_answer(const http_response& response, const sub_request& request,
    const std::string& wire_request_id, sub_reply& out);

/// Reason and run state of a request that has no answer.
void
set_transport_failure(http_errc error, bool deadline_passed, sub_reply& out);

class target_client : public target_api
{
public:
    /// Connections to one target are bounded by the target's own limit, and by
    /// `connection_limit` where this VM is not the only one that connects.
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

    /// `publisher` and `proven_limit` are left to the caller.
    std::optional<target_report>
    status(const catalog_target& target) override;

    /// Opens connections up to `count`, and the target's limit at most. Returns
    /// the number open.
    std::size_t
    warm(const catalog_target& target, std::size_t count,
        monotonic_time deadline);

    /// The newest load report of the target's replies.
    std::optional<target_load>
    load(const catalog_target& target) const;

    pool_stats
    connections(const catalog_target& target);

    /// Closes the connections to addresses that the catalog does not name.
    void
    retain(const catalog& c);

private:
    struct endpoint_state
    {
        std::shared_ptr<connection_pool> pool;
        std::optional<target_load> load;
    };

    std::shared_ptr<connection_pool>
    pool_of(const catalog_target& target);
    void
    note_load(const catalog_target& target, const http_response& response);

    const std::size_t connection_limit_;
    mutable std::mutex mutex_;
    std::map<std::pair<std::string, std::uint16_t>, endpoint_state> endpoints_;
};

} // namespace bramleymux
