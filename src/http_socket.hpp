#pragma once

#include "http_client.hpp"

struct mg_connection;

/// CivetWeb client connections with the socket behind them. CivetWeb 1.15
/// gives no access to the socket and has fixed limits of 10 s for a connect
/// and 30 s for the body of a reply; with the socket, every call can be ended
/// at its deadline.
namespace bramleymux::http_socket
{

struct opened
{
    mg_connection* connection = nullptr;
    int socket = -1;
};

/// Connects on a thread of its own, so that the caller returns at `deadline`.
/// A connection that is established later is closed.
std::optional<opened>
open(const http_address& address, monotonic_time deadline);

void
close(const opened& value);

/// Whether the peer neither closed the connection nor sent anything.
bool
is_quiet(int socket);

/// Shuts the socket down at `deadline` unless destroyed before.
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
