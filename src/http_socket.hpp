#pragma once

#include "http_client.hpp"

struct mg_connection;

/// CivetWeb client connections together with their sockets. CivetWeb 1.15 does
/// not expose the socket and has fixed limits of 10 s for a connect and 30 s
/// for the body of a reply. Shutting the socket down ends any call at its
/// deadline.
namespace bramleymux::http_socket
{

/// An open connection and its socket; must be closed with close().
struct connection_handle
{
    mg_connection* connection = nullptr;
    int socket = -1;
};

/// Connects on a separate thread, so that the caller returns by `deadline`.
/// Returns nullopt on failure; a connection that is established after the
/// deadline is closed.
std::optional<connection_handle>
open(const http_address& address, monotonic_time deadline);

/// Does nothing if the handle has no connection.
void
close(const connection_handle& handle);

/// Returns true if the peer has not closed the connection and no received bytes
/// are unread.
bool
is_idle(int socket);

/// Shuts the socket down at `deadline` unless destroyed earlier. Must be
/// destroyed before the socket is closed.
class deadline_guard
{
public:
    deadline_guard(int socket, monotonic_time deadline);
    deadline_guard(const deadline_guard&) = delete;
    deadline_guard&
    operator=(const deadline_guard&) = delete;
    ~deadline_guard();

private:
    std::pair<monotonic_time, int> entry_;
};

} // namespace bramleymux::http_socket
