#pragma once

#include "http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

struct mg_connection;
struct mg_context;

/// Minimal HTTP server of the stand-in programs, based on CivetWeb.
namespace bramleymux::tools
{

struct server_request
{
    std::string method;
    std::string path;  ///< percent-decoded
    std::string query; ///< not decoded, without '?'
    std::string body;
    http_headers headers;
};

/// How much of a response is sent. Unless it is `whole`, the connection is
/// closed afterwards.
enum class delivery
{
    whole,
    truncated, ///< the header and half of the body
    none,      ///< nothing
    count
};

struct server_response
{
    int status = 200;
    http_headers headers;
    std::string body;
    delivery sent = delivery::whole;
};

server_response
json_response(int status, const nlohmann::json& body);

/// Returns the decoded value of a query parameter, or an empty string if it is
/// absent.
std::string
query_parameter(const server_request& request, const std::string& name);

struct server_options
{
    std::string address;      ///< IP:port
    std::size_t threads = 16; ///< each open connection occupies one
    std::size_t max_body_bytes = 2U << 20U;
    std::function<server_response(const server_request&)> handle;
    std::function<void()> on_connect; ///< may be empty; called before the first
                                      ///< request of each connection
};

/// Serves from construction to destruction. The callbacks of the options run on
/// the worker threads. The constructor throws std::runtime_error if it cannot
/// listen.
class http_server
{
public:
    explicit http_server(server_options options);
    http_server(const http_server&) = delete;
    http_server&
    operator=(const http_server&) = delete;
    ~http_server();

    /// Returns the port in use, chosen by the system if the address has port 0.
    std::uint16_t
    port() const;

private:
    static int
    on_request(mg_connection* connection, void* self);
    static int
    on_connection(const mg_connection* connection, void** data);

    server_options options_;
    mg_context* context_ = nullptr;
};

/// Blocks SIGINT and SIGTERM in this thread and in the threads it starts later.
void
block_stop_signals();

/// Waits for SIGINT or SIGTERM. Both must be blocked by block_stop_signals().
void
wait_for_stop_signal();

} // namespace bramleymux::tools
