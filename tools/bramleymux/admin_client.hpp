#pragma once

#include "http_client.hpp"

#include <nlohmann/json.hpp>

#include <string>

/// Calls to the admin API of one daemon.
namespace bramleymux::tools
{

struct admin_options
{
    std::string address; ///< IP:port
    std::string token_file;
    std::string certificate; ///< PEM that the server must match; empty = HTTP
};

struct admin_reply
{
    int status = 0; ///< 0 when there was no answer
    nlohmann::json body;
    std::string error; ///< why there was no answer
    bool sent = false; ///< whether the daemon may have got the request
};

admin_reply
call_admin(const admin_options& options, const std::string& method,
    const std::string& path, const std::string& body = {});

} // namespace bramleymux::tools
