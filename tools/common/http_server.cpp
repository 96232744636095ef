#include "common/http_server.hpp"

#include <civetweb.h>

#include <atomic>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace bramleymux::tools
{

namespace
{

/// Returns false if reading fails or the body exceeds `limit` bytes.
bool
read_body(mg_connection* connection, std::size_t limit, std::string& out)
{
    std::vector<char> buffer(std::size_t{16} * 1024);
    for (;;)
    {
        const int n = mg_read(connection, buffer.data(), buffer.size());
        if (n <= 0)
        {
            return n == 0;
        }
        out.append(buffer.data(), static_cast<std::size_t>(n));
        if (out.size() > limit)
        {
            return false;
        }
    }
}

std::string
string_or_empty(const char* value)
{
    return value == nullptr ? std::string() : std::string(value);
}

void
send(mg_connection* connection, const server_response& response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       mg_get_response_code_text(connection, response.status) +
                       "\r\n";
    for (const auto& [name, value] : response.headers)
    {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    if (response.status != 204)
    {
        text +=
            "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += response.sent == delivery::truncated
                ? response.body.substr(0, response.body.size() / 2)
                : response.body;
    mg_write(connection, text.data(), text.size());
}

} // namespace

server_response
json_response(int status, const nlohmann::json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(),
        delivery::whole};
}

std::string
query_parameter(const server_request& request, const std::string& name)
{
    std::vector<char> value(request.query.size() + 1);
    const int n = mg_get_var(request.query.data(), request.query.size(),
        name.c_str(), value.data(), value.size());
    return n < 0 ? std::string() : std::string(value.data());
}

http_server::http_server(server_options options) : options_(std::move(options))
{
    mg_init_library(0);
    const std::string threads = std::to_string(options_.threads);
    // A keep-alive connection occupies its worker thread; connections beyond
    // num_threads wait in the queue.
    const std::vector<const char*> settings{"listening_ports",
        options_.address.c_str(), "num_threads", threads.c_str(),
        "enable_keep_alive", "yes", "keep_alive_timeout_ms", "60000",
        "tcp_nodelay", "1", "connection_queue", "256", nullptr};
    mg_callbacks callbacks{};
    callbacks.init_connection = on_connection;
    context_ = mg_start(&callbacks, this,
        const_cast<const char**>(settings.data())); // NOLINT
    if (context_ == nullptr)
    {
        throw std::runtime_error("cannot listen on " + options_.address);
    }
    mg_set_request_handler(context_, "**", on_request, this);
}

/// CivetWeb's listening thread notices mg_stop() only after up to 2 s unless a
/// new connection wakes it, so connections are opened until the stop is done.
http_server::~http_server()
{
    auto address = parse_http_address(options_.address);
    if (address)
    {
        address->port = port();
    }
    std::atomic<bool> stopped{false};
    std::thread stopper(
        [&]
        {
            mg_stop(context_);
            stopped = true;
        });
    while (address && !stopped)
    {
        const auto wakeup = http_connection::open(
            *address, monotonic_clock::now() + std::chrono::seconds(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    stopper.join();
}

std::uint16_t
http_server::port() const
{
    mg_server_port port{};
    return mg_get_server_ports(context_, 1, &port) == 1
               ? static_cast<std::uint16_t>(port.port)
               : std::uint16_t{0};
}

int
http_server::on_connection(const mg_connection* connection, void** /*data*/)
{
    const auto* const self = static_cast<const http_server*>(
        mg_get_user_data(mg_get_context(connection)));
    if (self->options_.on_connect)
    {
        self->options_.on_connect();
    }
    return 0;
}

int
http_server::on_request(mg_connection* connection, void* data)
{
    const auto* const self = static_cast<const http_server*>(data);
    const mg_request_info* const info = mg_get_request_info(connection);
    server_request request;
    request.method = string_or_empty(info->request_method);
    request.path = string_or_empty(info->local_uri);
    request.query = string_or_empty(info->query_string);
    for (int i = 0; i < info->num_headers; ++i)
    {
        request.headers.emplace_back(
            info->http_headers[i].name, info->http_headers[i].value);
    }
    server_response response;
    if (!read_body(connection, self->options_.max_body_bytes, request.body))
    {
        response.status = 413;
        mg_disable_connection_keep_alive(connection);
    }
    else
    {
        response = self->options_.handle(request);
    }
    if (response.sent != delivery::whole)
    {
        mg_disable_connection_keep_alive(connection);
    }
    if (response.sent != delivery::none)
    {
        send(connection, response);
    }
    return response.status;
}

void
block_stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void
wait_for_stop_signal()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    int received = 0;
    sigwait(&set, &received);
}

} // namespace bramleymux::tools
