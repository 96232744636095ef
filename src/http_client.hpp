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
/// pools of keep-alive connections. See docs/notes/http-client.md.
namespace bramleymux
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

enum class http_errc
{
    ok,
    invalid_request, ///< a method, path or header has a control character
    connect_failed,  ///< no connection before the deadline
    send_failed,
    timeout, ///< sent, no whole reply before the deadline
    truncated,
    too_large,
    malformed,
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

/// Whether bytes of the request may have reached the server.
constexpr bool
may_have_reached(http_errc value)
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

/// Value of the first header of that name (any case), or nothing.
std::optional<std::string_view>
find_header(const http_headers& headers, std::string_view name);

/// Percent-encodes everything but unreserved characters and '/'.
std::string
encode_path(std::string_view value);

struct http_tls
{
    std::string server_certificate; ///< PEM file the server must match
    std::string client_certificate; ///< PEM file with key; empty = none
    std::string host_name;
};

struct http_address
{
    std::string host; ///< IPv4 address
    std::uint16_t port = 0;
    std::optional<http_tls> tls;
};

/// Parses "IP:port".
std::optional<http_address>
parse_http_address(std::string_view value);

/// One keep-alive connection. After an error, or a reply that ends the
/// connection, it is closed and no longer usable.
class http_connection
{
public:
    static http_result<http_connection>
    open(const http_address& address, monotonic_time deadline);

    http_connection(http_connection&& other) noexcept;
    http_connection&
    operator=(http_connection&& other) noexcept;
    http_connection(const http_connection&) = delete;
    http_connection&
    operator=(const http_connection&) = delete;
    ~http_connection();

    http_result<http_response>
    exchange(const http_request& request, monotonic_time deadline);

    bool
    is_open() const;

    /// False when the server closed the idle connection or sent bytes that
    /// nothing asked for.
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
    std::uint64_t stale = 0; ///< idle connections found closed
    std::size_t idle = 0;
    std::size_t open = 0; ///< idle and lent
};

/// False for a reply that belongs to another request.
using reply_check = std::function<bool(const http_response&)>;

class connection_pool;

/// A connection lent by a pool; goes back when destroyed, if still open.
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

/// Keep-alive connections to one address, at most `limit` at a time. Outlives
/// what it lends. Thread-safe.
class connection_pool
{
public:
    connection_pool(http_address address, std::size_t limit);

    /// Lends an idle connection after a check, or opens one; waits for a free
    /// one when `limit` are open.
    http_result<pooled_connection>
    acquire(monotonic_time deadline);

    /// One exchange on a lent connection, which is closed when `check` finds
    /// that the reply does not belong to the request.
    http_result<http_response>
    request(const http_request& request, monotonic_time deadline,
        const reply_check& check = {});

    /// Drops closed idle connections and opens up to `count` in all, `limit`
    /// at most. Returns the number open.
    std::size_t
    warm(std::size_t count, monotonic_time deadline);

    /// Takes effect as connections are given back or opened.
    void
    set_limit(std::size_t limit);

    pool_stats
    stats() const;

private:
    friend class pooled_connection;
    void
    give_back(http_connection connection);
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
