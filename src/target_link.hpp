#pragma once

#include "entry_wire.hpp"
#include "memory/memory_account.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

/// HTTP client connection to a target on an event loop. Not thread-safe.
namespace bramleymux
{

enum class link_state
{
    connecting,
    idle,
    busy,
    closed,
    count
};

enum class link_outcome
{
    reply,
    closed,    ///< the connection ended before a complete reply
    malformed, ///< the reply cannot be attributed to the request
    faulty,    ///< the bytes received are not a valid final reply
    count
};

struct link_result
{
    link_outcome outcome = link_outcome::closed;
    bool any_byte = false; ///< the target sent bytes after this request
    int faulty_status = 0; ///< of a faulty reply; 0 if it is unreadable
    target_reply reply;
};

/// Runs one request at a time. Skips replies that carry the id of another
/// request; a connection that received one, or unsolicited bytes, is not
/// reused.
class target_link : public std::enable_shared_from_this<target_link>
{
public:
    using opened_handler = std::function<void(bool)>;
    using reply_handler = std::function<void(link_result&&)>;

    /// What the link holds is entered in `memory`, if there is one.
    target_link(boost::asio::io_context& loop, const entry_wire& wire,
        std::shared_ptr<memory_account> memory = nullptr);

    /// Connects to `target`. Calls `opened` once, from the event loop, with
    /// whether the connection is open.
    void
    open(const boost::asio::ip::tcp::endpoint& target, opened_handler opened);

    /// Sends a request on an idle connection. Calls `handler` once, from the
    /// event loop. `bodiless` marks a request whose reply has no body. The
    /// reply id is not checked if `request_id` is empty.
    void
    exchange(std::string bytes, std::string request_id, bool bodiless,
        reply_handler handler);

    /// Closes the connection; a pending handler gets `link_outcome::closed`.
    void
    close();

    /// Has the kernel drop bytes that the target has not acknowledged for
    /// `limit`, and those that are on their way when the connection is closed.
    void
    limit_delivery(duration limit);

    /// Returns whether a request can be sent now. Closes an idle connection
    /// that the target has closed or on which unsolicited bytes have arrived,
    /// also if the event loop has not reported either yet.
    bool
    check_ready();

    /// Reads on if it was paused because of the memory in use and may go on.
    void
    resume();

    /// Returns whether it waits for memory to read its reply.
    bool
    is_paused() const
    {
        return paused_;
    }

    link_state
    state() const
    {
        return state_;
    }

    /// Start of the current state.
    monotonic_time
    since() const
    {
        return since_;
    }

    /// Maximum idle time, shorter than the target's own limit if it states one.
    duration
    idle_limit() const
    {
        return idle_limit_;
    }

private:
    void
    read();
    void
    read_or_pause();
    void
    on_read(boost::system::error_code error, std::size_t bytes);
    void
    write();
    void
    on_write_failed(boost::system::error_code error);
    void
    close_if_drained();
    void
    on_bytes();
    void
    on_end(bool at_eof);
    bool
    is_of_other_request(const target_reply& reply) const;
    void
    accept_reply(http_reply&& reply);
    void
    finish(link_outcome outcome, target_reply&& reply);
    void
    enter(link_state state);
    /// Enters what the link holds in the account.
    void
    update_charges();

    boost::asio::ip::tcp::socket socket_;
    const entry_wire& wire_;
    link_state state_ = link_state::connecting;
    monotonic_time since_{};
    duration idle_limit_;
    reply_reader reader_;
    std::string input_;
    std::string output_;
    std::size_t written_ = 0;
    bool writing_ = false;
    bool write_failed_ = false; ///< the rest of the request cannot be sent
    bool torn_ = false;         ///< ended by an error that a write has consumed
    bool paused_ = false;
    bool tainted_ = false;    ///< received a reply to another request
    bool echoes_ids_ = false; ///< an earlier reply carried its request's id
    bool any_byte_ = false;
    bool bodiless_ = false;
    std::string request_id_;
    reply_handler handler_;
    std::shared_ptr<memory_account> memory_;
    memory_charge request_charge_;
    memory_charge reply_charge_;
};

} // namespace bramleymux
