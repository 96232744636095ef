#pragma once

#include <bramleymux/types.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

/// Socket options and address parsing for the TCP connections of the event
/// loop.
namespace bramleymux
{

/// Makes the socket non-blocking, disables Nagle's algorithm and enables
/// keep-alive probes. A peer that stops responding is detected within
/// `config::tcp_user_timeout`. Options that cannot be set are skipped.
void
set_stream_options(boost::asio::ip::tcp::socket& socket);

/// Ends the connection if sent bytes stay without acknowledgement for `limit`.
/// Closing the socket resets the connection and drops bytes that are still on
/// their way.
void
set_delivery_limit(boost::asio::ip::tcp::socket& socket, duration limit);

/// Parses "IP:port". Returns nullopt if it is malformed; host names are not
/// resolved.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address);

} // namespace bramleymux
