#pragma once

#include "fleet_view.hpp"
#include "http_codec.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

/// One HTTP connection of a caller, or of a reader of readiness and metrics.
namespace bramleymux
{

/// Handles a complete request; it answers later by `caller_connection::answer`.
using request_handler = std::function<void(
    http_request&&, const std::shared_ptr<class caller_connection>&)>;

enum class input_fault
{
    bad_framing,
    header_too_long,
    body_too_long,
    too_slow,
    count
};

using input_fault_handler = std::function<http_reply(input_fault fault)>;

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket&& socket,
        const caller_limits& limits, request_handler handler,
        input_fault_handler on_fault);

    void
    start();

    /// Answers the request in progress.
    void
    answer(http_reply&& reply);

    /// Called when the connection closes before the request is answered.
    void
    set_on_left(std::function<void()> on_left);

    /// After the answer in progress, or at once when idle.
    void
    close_soon();

    /// Answers tell the caller to close.
    void
    set_last();

    /// Header, idle and closing timeouts.
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
        reading,  ///< idle, or a request is arriving
        handling, ///< a request is being served
        writing,
        draining, ///< answered for the last time; input is discarded
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
    std::function<void()> on_left_;
    std::string input_;
    std::string output_;
    std::size_t written_ = 0;
    phase phase_ = phase::reading;
    monotonic_time since_{};
    bool waiting_ = false; ///< a wait for input is pending
    bool last_ = false;
    bool keep_alive_ = true;
    bool bodiless_ = false;
    bool continue_sent_ = false;
};

} // namespace bramleymux
