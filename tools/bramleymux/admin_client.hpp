#pragma once

#include "http_client.hpp"

#include <nlohmann/json.hpp>

#include <string>

/// Client of the admin API of one daemon.
namespace bramleymux::tools
{

struct admin_options
{
    std::string address;     ///< IP:port
    std::string token_file;  ///< file with the bearer token; empty = send
                             ///< no Authorization header
    std::string certificate; ///< PEM file to verify the server certificate
                             ///< with; empty = plain HTTP
};

struct admin_reply
{
    int status = 0;      ///< HTTP status; 0 if there was no response
    nlohmann::json body; ///< discarded value if the response is not JSON
    std::string error;   ///< why there was no response; set if status is 0
    bool sent = false;   ///< whether the request may have reached the daemon
};

/// Sends one request on a new connection and waits up to 15 s for the response.
admin_reply
call_admin(const admin_options& options, const std::string& method,
    const std::string& path, const std::string& body = {});

} // namespace bramleymux::tools
