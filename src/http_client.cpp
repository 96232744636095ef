#include "http_client.hpp"

#include "config.hpp"
#include "http_socket.hpp"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace bramleymux
{

namespace
{

bool
is_token(std::string_view value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(),
                                 [](unsigned char c)
                                 { return c > 0x20 && c < 0x7f && c != ':'; });
}

/// Returns false for control characters other than tab: a CR, LF or NUL in a
/// value would allow header injection.
bool
is_field_value(std::string_view value)
{
    return std::none_of(value.begin(), value.end(),
        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

bool
is_path(std::string_view value)
{
    return !value.empty() && value.front() == '/' &&
           std::all_of(value.begin(), value.end(),
               [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

bool
is_valid(const http_request& request)
{
    return is_token(request.method) && is_path(request.path) &&
           std::all_of(request.headers.begin(), request.headers.end(),
               [](const auto& h)
               { return is_token(h.first) && is_field_value(h.second); });
}

std::string
serialize(const http_request& request, const http_address& address)
{
    std::string out = request.method + " " + request.path +
                      " HTTP/1.1\r\nHost: " + address.host + ":" +
                      std::to_string(address.port) + "\r\n";
    for (const auto& [name, value] : request.headers)
    {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    if (!request.body.empty() || request.method == "PUT" ||
        request.method == "POST")
    {
        out +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    out += "\r\n";
    out += request.body;
    return out;
}

bool
has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

/// Returns `timeout` from the deadline on, because the deadline guard then
/// shuts the socket down and causes other errors; before it, returns `value`.
http_errc
timeout_or(http_errc value, monotonic_time deadline)
{
    return monotonic_clock::now() >= deadline ? http_errc::timeout : value;
}

/// Appends the body to `out`. `expected` is its length in bytes, or negative
/// for a chunked body.
http_errc
read_body(mg_connection* connection, long long expected, std::string& out)
{
    if (expected > static_cast<long long>(config::max_reply_body_bytes))
    {
        return http_errc::too_large;
    }
    std::vector<char> buffer(config::http_read_buffer_bytes);
    while (expected < 0 || out.size() < static_cast<std::size_t>(expected))
    {
        std::size_t wanted = buffer.size();
        if (expected >= 0)
        {
            wanted = std::min(
                wanted, static_cast<std::size_t>(expected) - out.size());
        }
        const int n = mg_read(connection, buffer.data(), wanted);
        if (n <= 0)
        {
            return expected < 0 && n == 0 ? http_errc::ok
                                          : http_errc::truncated;
        }
        out.append(buffer.data(), static_cast<std::size_t>(n));
        if (out.size() > config::max_reply_body_bytes)
        {
            return http_errc::too_large;
        }
    }
    return http_errc::ok;
}

bool
equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           mg_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::optional<std::string_view>
find_header(const http_headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers)
    {
        if (equal_ignoring_case(key, name))
        {
            return std::string_view(value);
        }
    }
    return std::nullopt;
}

std::string
encode_path(std::string_view value)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : value)
    {
        const auto byte = static_cast<unsigned char>(c);
        const bool unreserved = (c >= 'a' && c <= 'z') ||
                                (c >= 'A' && c <= 'Z') ||
                                (c >= '0' && c <= '9') || c == '-' ||
                                c == '.' || c == '_' || c == '~' || c == '/';
        if (unreserved)
        {
            out += c;
        }
        else
        {
            out += '%';
            out += digits[byte >> 4U];
            out += digits[byte & 0xfU];
        }
    }
    return out;
}

std::optional<http_address>
parse_http_address(std::string_view value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return std::nullopt;
    }
    http_address out;
    out.host = std::string(value.substr(0, colon));
    const std::string_view port = value.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), out.port);
    if (error != std::errc{} || end != port.data() + port.size())
    {
        return std::nullopt;
    }
    return out;
}

struct http_connection::state
{
    http_address address;
    http_socket::connection_handle handle;

    ~state()
    {
        http_socket::close(handle);
    }
};

http_connection::http_connection(std::unique_ptr<state> s)
    : state_(std::move(s))
{
}

http_connection::http_connection(http_connection&& other) noexcept = default;

http_connection&
http_connection::operator=(http_connection&& other) noexcept = default;

http_connection::~http_connection() = default;

http_result<http_connection>
http_connection::open(const http_address& address, monotonic_time deadline)
{
    const auto opened = http_socket::open(address, deadline);
    if (!opened)
    {
        return http_errc::connect_failed;
    }
    auto s = std::make_unique<state>();
    s->address = address;
    s->handle = *opened;
    return http_connection(std::move(s));
}

bool
http_connection::is_open() const
{
    return state_ != nullptr;
}

bool
http_connection::is_idle() const
{
    return is_open() && http_socket::is_idle(state_->handle.socket);
}

void
http_connection::close()
{
    state_.reset();
}

http_result<http_response>
http_connection::exchange(const http_request& request, monotonic_time deadline)
{
    if (!is_valid(request))
    {
        return http_errc::invalid_request;
    }
    if (!is_idle() || monotonic_clock::now() >= deadline)
    {
        close();
        return http_errc::connect_failed;
    }
    const std::string bytes = serialize(request, state_->address);
    http_result<http_response> result = http_errc::send_failed;
    {
        const http_socket::deadline_guard guard(
            state_->handle.socket, deadline);
        const int sent =
            mg_write(state_->handle.connection, bytes.data(), bytes.size());
        result = sent == static_cast<int>(bytes.size())
                     ? receive(deadline)
                     : http_result<http_response>(
                           timeout_or(http_errc::send_failed, deadline));
    }
    if (!result)
    {
        close();
        return result;
    }
    const auto connection = find_header(result.value().headers, "Connection");
    if (connection && equal_ignoring_case(*connection, "close"))
    {
        close();
    }
    return result;
}

http_result<http_response>
http_connection::receive(monotonic_time deadline)
{
    mg_connection* const connection = state_->handle.connection;
    std::array<char, 256> error{};
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - monotonic_clock::now());
    const int result = mg_get_response(connection, error.data(), error.size(),
        std::max(1, static_cast<int>(remaining.count())));
    if (result < 0)
    {
        return timeout_or(http_errc::truncated, deadline);
    }
    const mg_response_info* const info = mg_get_response_info(connection);
    if (info == nullptr || info->status_code < 200)
    {
        return http_errc::malformed;
    }
    http_response response;
    response.status = info->status_code;
    for (int i = 0; i < info->num_headers; ++i)
    {
        response.headers.emplace_back(
            info->http_headers[i].name, info->http_headers[i].value);
    }
    if (!has_body(response.status))
    {
        return response;
    }
    const bool chunked =
        find_header(response.headers, "Transfer-Encoding").has_value();
    if (!chunked && info->content_length < 0)
    {
        // The body ends when the connection is closed, so that truncation could
        // not be detected.
        return http_errc::malformed;
    }
    const http_errc read = read_body(
        connection, chunked ? -1 : info->content_length, response.body);
    if (read != http_errc::ok)
    {
        return timeout_or(read, deadline);
    }
    if (chunked && monotonic_clock::now() >= deadline)
    {
        // mg_read() reports the end of a chunked body and a shutdown at the
        // deadline in the same way.
        return http_errc::timeout;
    }
    return response;
}

} // namespace bramleymux
