#pragma once

#include "caller_connection.hpp"
#include "entry_server.hpp"

#include <boost/asio/ip/tcp.hpp>

/// Listeners and connections of an entry_server.
namespace bramleymux
{

struct entry_server::listener
{
    enum class kind
    {
        callers,
        local, ///< readiness and metrics
        peers,
        count
    };

    static constexpr name_table<kind> kind_names{"callers", "local", "peers"};

    listener(boost::asio::io_context& loop, kind k)
        : acceptor(loop), retry_timer(loop), role(k)
    {
    }

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retry_timer; ///< after a failed accept
    kind role;
};

/// An address that is not open yet.
struct entry_server::planned_listener
{
    std::string address;
    listener::kind role = listener::kind::callers;
    bool required = true; ///< the VM cannot serve without it
};

struct entry_server::open_connection
{
    std::shared_ptr<caller_connection> connection;
    /// The limits of a desired state apply to it; other VMs have their own.
    bool limited_by_state = true;
    bool of_caller = true;
};

} // namespace bramleymux
