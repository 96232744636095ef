#pragma once

#include "target_link.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

/// Calls to another process, by HTTP.
namespace bramleymux
{

struct call_request
{
    std::string method;
    std::string path; ///< with the query
    std::string body;
    std::string content_type = "application/json"; ///< of the body
};

struct call_reply
{
    int status = 0; ///< 0 = no answer; the call may have been executed
    std::string body;
    bool unsent = false; ///< no connection, so the call was not executed
};

/// One connection to a server, with one call at a time. It is opened anew
/// after a failure or a call without an answer.
class call_channel
{
public:
    using reply_handler = std::function<void(call_reply&&)>;

    call_channel(boost::asio::io_context& loop, const std::string& address);
    ~call_channel();

    call_channel(const call_channel&) = delete;
    call_channel&
    operator=(const call_channel&) = delete;

    /// `handler` is called later, unless the channel is destroyed before.
    void
    call(const call_request& request, duration timeout, reply_handler handler);

    /// Drops the call in progress; its handler is not called.
    void
    cancel();

    const std::string&
    address() const
    {
        return address_;
    }

private:
    void
    send();
    void
    finish(call_reply&& reply);

    boost::asio::io_context& loop_;
    std::string address_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<target_link> link_;
    std::string request_;
    reply_handler handler_;
    bool sent_ = false;
    std::uint64_t call_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace bramleymux
