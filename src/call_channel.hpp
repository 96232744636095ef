#pragma once

#include "target_link.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// HTTP calls to another process.
namespace bramleymux
{

struct call_request
{
    std::string method;
    std::string path; ///< with the query string
    std::string body;
    std::string content_type = "application/json"; ///< sent with a body
    /// The call may be executed twice. It is sent once more, on a new
    /// connection, if a kept one closes without a byte of a reply.
    bool repeatable = false;
    header_fields fields{}; ///< further ones
    /// If set, asked right before the bytes are written. If it returns false,
    /// the call ends as unsent.
    std::function<bool()> may_send{};
    /// If not zero, bytes that the other side has not acknowledged by this time
    /// or by the end of the call are never delivered.
    duration delivery_limit{};
};

struct call_reply
{
    int status = 0; ///< 0 if no reply came; the call may have been executed
    std::string body;
    /// Not connected, or not sent on the word of `may_send`: the call was not
    /// executed.
    bool unsent = false;
    /// Restores of the platform's store so far, as the reply states them; see
    /// `era_reader`.
    std::optional<std::uint64_t> store_era;
};

/// Function of an adapter that finds the store's era in the fields of a reply.
using era_reader = std::optional<std::uint64_t> (*)(const header_fields&);

/// One connection to a server, for one call at a time. Reconnects on the next
/// call after a failure or a call without a reply.
class call_channel
{
public:
    using reply_handler = std::function<void(call_reply&&)>;

    /// With `read_era`, replies of any status carry the era of the store.
    call_channel(boost::asio::io_context& loop, const std::string& address,
        era_reader read_era = nullptr);
    ~call_channel();

    call_channel(const call_channel&) = delete;
    call_channel&
    operator=(const call_channel&) = delete;

    /// Sends the request and calls `handler` with the reply, or with status 0
    /// on failure or after `timeout`. The handler is not called after `cancel`
    /// or destruction. Only one call may be in progress.
    void
    call(const call_request& request, duration timeout, reply_handler handler);

    /// Abandons the call in progress, if any.
    void
    cancel();

    const std::string&
    address() const
    {
        return address_;
    }

private:
    void
    connect();
    void
    send();
    void
    on_result(link_result&& result);
    void
    finish(call_reply&& reply);

    boost::asio::io_context& loop_;
    std::string address_;
    era_reader read_era_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<target_link> link_;
    std::string request_;
    std::function<bool()> may_send_;
    duration delivery_limit_{};
    reply_handler handler_;
    bool sent_ = false;
    bool may_resend_ = false;
    std::uint64_t call_id_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace bramleymux
