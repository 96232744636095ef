#pragma once

#include "http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

struct mg_connection;
struct mg_context;

/// Small HTTP server of the test programs, over CivetWeb.
namespace bramleymux::tools
{

struct server_request
{
    std::string method;
    std::string path;  ///< decoded
    std::string query; ///< as sent
    std::string body;
    http_headers headers;
};

/// How much of a response is sent before the connection is closed.
enum class delivery
{
    whole,
    truncated, ///< half of the body
    none,
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

/// Decoded value of a query parameter, or an empty string.
std::string
query_parameter(const server_request& request, const std::string& name);

struct server_options
{
    std::string address;      ///< IP:port
    std::size_t threads = 16; ///< one is held by each open connection
    std::size_t max_body = 2U << 20U;
    std::function<server_response(const server_request&)> handle;
    std::function<void()> connected; ///< may be empty; runs before the first
                                     ///< request of a connection
};

/// Serves until destroyed. Throws std::runtime_error when it cannot listen.
class http_server
{
public:
    explicit http_server(server_options options);
    http_server(const http_server&) = delete;
    http_server&
    operator=(const http_server&) = delete;
    ~http_server();

    /// Port that is listened on, of use when port 0 was asked for.
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

/// Blocks SIGINT and SIGTERM in this thread and those it starts.
void
block_stop_signals();

/// Waits for one of the blocked signals.
void
wait_for_stop_signal();

} // namespace bramleymux::tools
