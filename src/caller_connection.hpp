#pragma once

#include "fleet_view.hpp"
#include "http_codec.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

/// Server side of one HTTP/1.1 connection: from a caller, from another VM, or
/// from a client of the readiness and metrics endpoints.
namespace bramleymux
{

/// Handles one complete request. The reply is passed to
/// `caller_connection::answer`, at once or later.
using request_handler = std::function<void(
    parsed_request&&, const std::shared_ptr<class caller_connection>&)>;

/// Why a request could not be read.
enum class input_fault
{
    bad_framing,
    header_too_long,
    body_too_long,
    too_slow,
    count
};

/// Returns the reply to a request that could not be read.
using input_fault_handler = std::function<http_reply(input_fault fault)>;

/// Serves one request at a time and buffers pipelined ones. Runs on the
/// socket's event loop; pending operations keep the object alive.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket&& socket,
        const caller_limits& limits, request_handler handler,
        input_fault_handler on_fault);

    void
    start();

    /// Sends the reply to the request in progress. Does nothing when no request
    /// is in progress.
    void
    answer(http_reply&& reply);

    /// Sets a callback for a connection that closes before the request in
    /// progress is answered. It is dropped once the request is answered.
    void
    set_on_disconnect(std::function<void()> on_disconnect);

    /// Closes the connection after the reply to the request in progress, or at
    /// once when idle.
    void
    close_when_idle();

    /// Ends keep-alive: the connection closes after the next reply, which
    /// carries `Connection: close`, unless a request is already queued behind.
    void
    disable_keep_alive();

    /// Applies the header, idle, write and drain timeouts; called periodically.
    void
    tick(monotonic_time now);

    bool
    is_open() const
    {
        return phase_ != phase::closed;
    }

    bool
    is_busy() const
    {
        return phase_ == phase::handling || phase_ == phase::writing;
    }

private:
    enum class phase
    {
        reading,  ///< idle, or receiving a request
        handling, ///< waiting for the handler's reply
        writing,  ///< sending the reply
        draining, ///< last reply sent; input is read and discarded
        closed,
        count
    };

    void
    enter(phase next);
    void
    wait_readable();
    void
    on_readable();
    void
    parse();
    void
    write();
    void
    on_written();
    void
    refuse(input_fault fault);
    void
    begin_drain();
    void
    close();

    boost::asio::ip::tcp::socket socket_;
    caller_limits limits_;
    request_handler handler_;
    input_fault_handler on_fault_;
    request_reader reader_;
    std::function<void()> on_disconnect_;
    std::string input_;
    std::string output_;
    std::size_t written_ = 0;
    phase phase_ = phase::reading;
    /// Reset also when the first bytes of a request arrive.
    monotonic_time phase_started_at_{};
    bool read_wait_pending_ = false;
    bool keep_alive_disabled_ = false;
    bool keep_alive_ = true;
    bool bodiless_ = false;      ///< reply to a HEAD request
    bool continue_sent_ = false; ///< 100 Continue, for the current request
};

} // namespace bramleymux
