#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

/// Options that every TCP connection of the event loop has.
namespace bramleymux
{

/// Non-blocking, without delay, and with keep-alive probes that find a silent
/// peer within `config::tcp_user_timeout`.
void
prepare_stream(boost::asio::ip::tcp::socket& socket);

/// Endpoint of "IP:port"; no names are looked up.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address);

} // namespace bramleymux
