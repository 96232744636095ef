#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// HTTP/1.1 server over CivetWeb with one handler for all paths and a limit on
/// the size of request bodies.
namespace bramleymux
{

struct server_request
{
    std::string method;
    std::string path;                           ///< without the query string
    std::string query;                          ///< raw query string
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::string remote_address;      ///< caller's IP address
    bool client_certificate = false; ///< the caller presented a certificate
};

struct server_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool close_connection = false; ///< close after this response
};

/// Called from several server threads at once.
using server_handler = std::function<server_response(const server_request&)>;

struct http_server_options
{
    std::string listen; ///< IP:port
    std::size_t threads = 8;
    std::size_t max_body_bytes = 0; ///< a longer body is refused with 413
    /// PEM file with certificate and key; empty = plain HTTP.
    std::string tls_certificate;
    /// PEM file; if set, clients must present a certificate signed by this CA.
    std::string tls_client_ca;
};

class http_server
{
public:
    /// Throws std::runtime_error when the address cannot be bound.
    http_server(const http_server_options& options, server_handler handler);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server&
    operator=(const http_server&) = delete;

    /// Waits until running requests, including those with a partly received
    /// body, have their responses, serves connections that wait for
    /// `config::http_stop_wait`, then closes all. Does nothing if already
    /// stopped.
    void
    stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Returns the value of a header, or an empty string if it is absent.
const std::string&
header_value(const server_request& request, const std::string& lower_case_name);

/// Returns the decoded value of a query parameter, or an empty string if it is
/// absent or longer than 511 bytes.
std::string
query_parameter(const server_request& request, const std::string& name);

} // namespace bramleymux
