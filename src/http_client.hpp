#pragma once

#include <bramleymux/types.hpp>

#include <boost/outcome/result.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 client over CivetWeb with a deadline for every call, and
/// a pool of keep-alive connections to one server. See
/// docs/notes/http-client.md.
namespace bramleymux
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

enum class http_errc
{
    ok,
    invalid_request, ///< invalid character in the method, path or a header
    connect_failed,  ///< no usable connection before the deadline; nothing sent
    send_failed,
    timeout,   ///< no complete reply before the deadline; may have been sent
    truncated, ///< connection closed within the reply, or unreadable header
    too_large, ///< body above config::max_reply_body_bytes
    malformed, ///< status below 200, or neither length nor chunking
    count
};

inline constexpr name_table<http_errc> http_errc_names{"ok", "invalid_request",
    "connect_failed", "send_failed", "timeout", "truncated", "too_large",
    "malformed"};

constexpr std::string_view
to_string(http_errc value)
{
    return http_errc_names[static_cast<std::size_t>(value)];
}

/// Returns true if bytes of the request may have reached the server.
constexpr bool
may_have_reached_server(http_errc value)
{
    return value != http_errc::invalid_request &&
           value != http_errc::connect_failed;
}

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method = "GET";
    std::string path = "/";
    http_headers headers;
    std::string body;
};

struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

template <class T>
using http_result =
    outcome::basic_result<T, http_errc, outcome::policy::all_narrow>;

/// Returns the value of the first header with that name, compared without
/// regard to case, or nullopt. The view refers to `headers`.
std::optional<std::string_view>
find_header(const http_headers& headers, std::string_view name);

/// Percent-encodes all bytes except unreserved characters (RFC 3986) and '/'.
std::string
encode_path(std::string_view value);

struct http_tls
{
    /// PEM file that the server's certificate must match.
    std::string server_certificate;
    /// PEM file with certificate and key; empty = none.
    std::string client_certificate;
    std::string host_name; ///< sent as SNI
};

struct http_address
{
    std::string host; ///< IPv4 address
    std::uint16_t port = 0;
    std::optional<http_tls> tls;
};

/// Parses "IP:port". Returns nullopt if the host is empty or the port is not a
/// 16-bit number; the host is checked only when a connection is opened.
std::optional<http_address>
parse_http_address(std::string_view value);

/// One keep-alive connection. It is closed, and cannot be used again, after any
/// error other than `invalid_request` and after a reply with
/// "Connection: close". Not thread-safe.
class http_connection
{
public:
    /// Returns `connect_failed` if no connection is established by `deadline`.
    static http_result<http_connection>
    open(const http_address& address, monotonic_time deadline);

    http_connection(http_connection&& other) noexcept;
    http_connection&
    operator=(http_connection&& other) noexcept;
    http_connection(const http_connection&) = delete;
    http_connection&
    operator=(const http_connection&) = delete;
    ~http_connection();

    /// Sends a request and returns the reply. Blocks until `deadline` at most.
    http_result<http_response>
    exchange(const http_request& request, monotonic_time deadline);

    bool
    is_open() const;

    /// Returns false if the connection is closed on either side or the server
    /// sent bytes without a request.
    bool
    is_idle() const;

    void
    close();

private:
    struct state;
    explicit http_connection(std::unique_ptr<state> s);
    http_result<http_response>
    receive(monotonic_time deadline);
    std::unique_ptr<state> state_;
};

struct pool_stats
{
    std::uint64_t opened = 0;
    std::uint64_t open_failures = 0;
    std::uint64_t stale = 0; ///< closed, or with unrequested bytes, while idle
    std::size_t idle = 0;
    std::size_t open = 0; ///< idle, in use or being opened
};

/// Returns false if the reply belongs to another request.
using reply_check = std::function<bool(const http_response&)>;

class connection_pool;

/// A connection taken from a pool. The destructor returns it to the pool, which
/// keeps it if it is still open.
class pooled_connection
{
public:
    pooled_connection(connection_pool& pool, http_connection connection);
    pooled_connection(pooled_connection&& other) noexcept;
    pooled_connection&
    operator=(pooled_connection&&) = delete;
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection&
    operator=(const pooled_connection&) = delete;
    ~pooled_connection();

    http_connection*
    operator->()
    {
        return &connection_;
    }

private:
    connection_pool* pool_;
    http_connection connection_;
};

/// Keep-alive connections to one address, at most `limit` at a time. Must
/// outlive the connections taken from it. Thread-safe.
class connection_pool
{
public:
    connection_pool(http_address address, std::size_t limit);

    /// Returns an idle connection that is still usable, or opens one. Waits
    /// until one is released when `limit` are open. Returns `connect_failed` if
    /// opening fails or no connection is released by `deadline`.
    http_result<pooled_connection>
    acquire(monotonic_time deadline);

    /// Performs one exchange on a pooled connection. Closes the connection if
    /// `check` rejects the reply, which is returned all the same.
    http_result<http_response>
    request(const http_request& request, monotonic_time deadline,
        const reply_check& check = {});

    /// Drops stale idle connections and opens new ones until `count` are open,
    /// or `limit` if that is less. Stops at the first failure. Returns the
    /// number of open connections.
    std::size_t
    warm(std::size_t count, monotonic_time deadline);

    /// Sets the limit, 1 at least. Connections above a lower limit are closed
    /// when they are released.
    void
    set_limit(std::size_t limit);

    pool_stats
    stats() const;

private:
    friend class pooled_connection;
    void
    release(http_connection connection);
    http_result<http_connection>
    open_reserved(monotonic_time deadline);
    void
    drop_stale();

    http_address address_;
    std::size_t limit_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<http_connection> idle_;
    pool_stats stats_;
};

} // namespace bramleymux
