#pragma once

#include "fleet_controller.hpp"
#include "http_server.hpp"
#include "metrics.hpp"
#include "platform.hpp"
#include "report_controller.hpp"
#include "table_controller.hpp"
#include "table_edit.hpp"

#include <functional>
#include <string>

/// The operators' HTTP API: status, table, edits and metrics. It has its own
/// listening address.
namespace bramleymux
{

/// Dependencies of the server; the referenced objects must outlive it.
struct admin_parts
{
    blackboard& board;
    platform_api& platform;
    fleet_controller& fleet;
    report_controller& reports;
    target_executor& executor;
    metrics& counters;
    std::string vm_id;
    /// Returns the state of the moves; may be empty.
    std::function<nlohmann::json()> moves;
};

class admin_server
{
public:
    /// If `token_file` is empty, requests need no token.
    admin_server(admin_parts parts, std::string token_file);

    /// Thread-safe. Blocks during the platform calls that edits need.
    server_response
    handle(const server_request& request);

private:
    bool
    is_authorized(const server_request& request) const;
    server_response
    get_status() const;
    server_response
    get_table() const;
    server_response
    get_in_force(const server_request& request) const;
    server_response
    post_edit(const server_request& request);
    /// Dry run of an edit.
    server_response
    check_edit(const table_edit& edit) const;
    server_response
    get_edit(const std::string& id);

    admin_parts parts_;
    std::string token_file_;
};

} // namespace bramleymux
