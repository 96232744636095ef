#include "stream_socket.hpp"

#include "config.hpp"

#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace bramleymux
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

void
set_option(int socket, int level, int name, int value)
{
    // Failure is ignored: the socket works without the option, but is slower or
    // detects a lost peer later.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void
set_stream_options(tcp::socket& socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    const int fd = socket.native_handle();
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, config::tcp_keep_alive_idle_s);
    set_option(
        fd, IPPROTO_TCP, TCP_KEEPINTVL, config::tcp_keep_alive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, config::tcp_keep_alive_probes);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(
            std::chrono::milliseconds(config::tcp_user_timeout).count()));
}

void
set_delivery_limit(tcp::socket& socket, duration limit)
{
    set_option(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(limit)
                .count()));
    error_code ignored;
    socket.set_option(tcp::socket::linger(true, 0), ignored);
}

std::optional<tcp::endpoint>
parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto [rest, failed] =
        std::from_chars(address.data() + colon + 1, end, port);
    if (error || failed != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

} // namespace bramleymux
