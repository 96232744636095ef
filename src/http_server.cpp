#include "http_server.hpp"

#include "config.hpp"
#include "problem.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace bramleymux
{

namespace
{

constexpr const char* idle_timeout_ms = "30000";
constexpr const char* request_timeout_ms = "10000";
constexpr std::size_t read_chunk_bytes = 16384;
constexpr int status_not_handled = 503; // for CivetWeb only, not written

std::string
lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

enum class body_result
{
    ok,
    too_large,
    incomplete, ///< shorter than declared, or Content-Length is invalid
    count
};

/// Returns true if Content-Length is absent or a plain number. CivetWeb accepts
/// a number with trailing characters; a proxy in front may interpret the header
/// differently, which would allow request smuggling.
bool
is_valid_length(const server_request& request)
{
    const auto found = request.headers.find("content-length");
    return found == request.headers.end() ||
           (!found->second.empty() && found->second.find_first_not_of(
                                          "0123456789") == std::string::npos);
}

/// Appends the body to `out`. `declared` is its Content-Length, or negative if
/// there is none.
body_result
read_body(mg_connection* conn, long long declared, std::size_t limit,
    std::string& out)
{
    if (declared > static_cast<long long>(limit))
    {
        return body_result::too_large;
    }
    std::array<char, read_chunk_bytes> chunk{};
    for (;;)
    {
        const int n = mg_read(conn, chunk.data(), chunk.size());
        if (n < 0)
        {
            return body_result::incomplete;
        }
        if (n == 0)
        {
            break;
        }
        if (out.size() + static_cast<std::size_t>(n) > limit)
        {
            return body_result::too_large;
        }
        out.append(chunk.data(), static_cast<std::size_t>(n));
    }
    const bool complete =
        declared < 0 || out.size() == static_cast<std::size_t>(declared);
    return complete ? body_result::ok : body_result::incomplete;
}

server_request
to_server_request(const mg_request_info& info)
{
    server_request request;
    request.method = info.request_method ? info.request_method : "";
    request.path = info.local_uri ? info.local_uri : "";
    request.query = info.query_string ? info.query_string : "";
    request.remote_address = info.remote_addr;
    request.client_certificate = info.client_cert != nullptr;
    for (int i = 0; i < info.num_headers; ++i)
    {
        request.headers[lower_case(info.http_headers[i].name)] =
            info.http_headers[i].value;
    }
    return request;
}

const char*
status_text(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void
write_response(mg_connection* conn, const server_response& response)
{
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " +
                      status_text(response.status) + "\r\n";
    for (const auto& [name, value] : response.headers)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    if (response.status != 204)
    {
        out += "Content-Type: " + response.content_type + "\r\n";
    }
    out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    out += response.close_connection ? "Connection: close\r\n\r\n"
                                     : "Connection: keep-alive\r\n\r\n";
    out += response.body;
    if (response.close_connection)
    {
        mg_disable_connection_keep_alive(conn);
    }
    mg_write(conn, out.data(), out.size());
}

server_response
body_error_response(body_result result, std::size_t limit)
{
    server_response response;
    response.content_type = "application/problem+json";
    response.close_connection = true;
    const bool too_large = result == body_result::too_large;
    response.status = too_large ? 413 : 400;
    response.body =
        too_large
            ? R"({"type":"about:blank","title":"body too large","status":413,)"
              R"("code":"body_too_large","run":"not_run","detail":"at most )" +
                  std::to_string(limit) + R"( bytes"})"
            : R"({"type":"about:blank","title":"incomplete body","status":400,)"
              R"("code":"incomplete_body","run":"not_run"})";
    return response;
}

} // namespace

struct http_server::impl
{
    /// From `finishing` on, each response closes its connection.
    enum class phase
    {
        serving,
        finishing, ///< stopping; further requests are served
        closing,   ///< further requests are refused, before their body is read
        closed,    ///< further requests neither run nor get a response
        count
    };

    server_handler handler;
    std::size_t max_body_bytes = 0;
    mg_context* context = nullptr;
    std::mutex mutex;
    std::condition_variable request_ended;
    phase current = phase::serving;
    /// Requests without a complete response, by the phase in which they began.
    std::array<std::size_t, static_cast<std::size_t>(phase::count)> running{};

    static int
    on_request(mg_connection* conn, void* self)
    {
        return static_cast<impl*>(self)->handle(conn);
    }

    int
    handle(mg_connection* conn)
    {
        const phase begun = begin_request();
        if (begun == phase::closed)
        {
            return status_not_handled;
        }
        server_response response =
            begun == phase::closing
                ? make_problem(problem_code::stopping, run_state::not_run,
                      "send the request to another VM")
                : run_handler(conn);
        response.close_connection = response.close_connection || is_stopping();
        write_response(conn, response);
        end_request(begun);
        return response.status;
    }

    server_response
    run_handler(mg_connection* conn) const
    {
        const mg_request_info* info = mg_get_request_info(conn);
        server_request request = to_server_request(*info);
        const body_result body = is_valid_length(request)
                                     ? read_body(conn, info->content_length,
                                           max_body_bytes, request.body)
                                     : body_result::incomplete;
        return body == body_result::ok
                   ? handler(request)
                   : body_error_response(body, max_body_bytes);
    }

    phase
    begin_request()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        running[static_cast<std::size_t>(current)] +=
            current == phase::closed ? 0 : 1;
        return current;
    }

    bool
    is_stopping()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return current != phase::serving;
    }

    void
    end_request(phase begun)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        --running[static_cast<std::size_t>(begun)];
        close_if_idle();
        request_ended.notify_all();
    }

    /// Requires `mutex`. Called where a request ends, since the waiting thread
    /// could find the next one running each time it wakes up.
    void
    close_if_idle()
    {
        const bool idle = std::all_of(running.begin(), running.end(),
            [](std::size_t requests) { return requests == 0; });
        current = current == phase::closing && idle ? phase::closed : current;
    }

    /// CivetWeb does not tell which connections wait for a thread or have an
    /// unread request, so a stop serves them for a fixed time. Callers that
    /// keep sending do not delay it.
    void
    drain()
    {
        std::unique_lock<std::mutex> lock(mutex);
        current = phase::finishing;
        request_ended.wait(lock, [this] { return running.front() == 0; });
        lock.unlock();
        std::this_thread::sleep_for(config::http_stop_wait);
        lock.lock();
        current = phase::closing;
        close_if_idle();
        request_ended.wait(lock, [this] { return current == phase::closed; });
    }
};

http_server::http_server(
    const http_server_options& options, server_handler handler)
    : impl_(std::make_unique<impl>())
{
    impl_->handler = std::move(handler);
    impl_->max_body_bytes = options.max_body_bytes;
    const bool tls = !options.tls_certificate.empty();
    const std::string port = options.listen + (tls ? "s" : "");
    const std::string threads = std::to_string(options.threads);
    std::vector<const char*> config{"listening_ports", port.c_str(),
        "num_threads", threads.c_str(), "enable_keep_alive", "yes",
        "keep_alive_timeout_ms", idle_timeout_ms, "request_timeout_ms",
        request_timeout_ms, "tcp_nodelay", "1", "enable_directory_listing",
        "no", "decode_url", "no"};
    if (tls)
    {
        config.insert(
            config.end(), {"ssl_certificate", options.tls_certificate.c_str(),
                              "ssl_short_trust", "yes"});
    }
    if (tls && !options.tls_client_ca.empty())
    {
        config.insert(
            config.end(), {"ssl_ca_file", options.tls_client_ca.c_str(),
                              "ssl_verify_peer", "yes"});
    }
    config.push_back(nullptr);
    static const unsigned library = mg_init_library(MG_FEATURES_TLS);
    static_cast<void>(library);
    const mg_callbacks callbacks{};
    impl_->context = mg_start(&callbacks, nullptr, config.data());
    if (impl_->context == nullptr)
    {
        throw std::runtime_error("cannot listen on " + options.listen);
    }
    mg_set_request_handler(impl_->context, "/", &impl::on_request, impl_.get());
}

http_server::~http_server()
{
    stop();
}

void
http_server::stop()
{
    if (impl_->context != nullptr)
    {
        // After the start of mg_stop, CivetWeb reads and writes nothing more.
        impl_->drain();
        mg_stop(impl_->context);
        impl_->context = nullptr;
    }
}

const std::string&
header_value(const server_request& request, const std::string& lower_case_name)
{
    static const std::string empty;
    const auto found = request.headers.find(lower_case_name);
    return found == request.headers.end() ? empty : found->second;
}

std::string
query_parameter(const server_request& request, const std::string& name)
{
    std::array<char, 512> value{};
    const int n = mg_get_var(request.query.data(), request.query.size(),
        name.c_str(), value.data(), value.size());
    return n > 0 ? std::string(value.data(), static_cast<std::size_t>(n))
                 : std::string();
}

} // namespace bramleymux
