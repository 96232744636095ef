#pragma once

#include "fleet_view.hpp"
#include "http_codec.hpp"
#include "memory/eviction.hpp"
#include "memory/memory_account.hpp"
#include "memory/read_rate.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
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
    no_memory, ///< given up to free memory
    count
};

/// Returns the reply to a request that could not be read.
using input_fault_handler = std::function<http_reply(input_fault fault)>;

/// Why a connection ended.
enum class close_cause
{
    caller_closed,    ///< end of stream, or a reset
    caller_asked,     ///< the request ended keep-alive
    input_refused,    ///< after the reply to an input fault
    keep_alive_ended, ///< by this VM, after a reply
    idle_timeout,
    stopping,      ///< idle during a graceful stop
    write_timeout, ///< the caller read its answer too slowly
    evicted,       ///< to free memory, or a descriptor for a new connection
    count
};

inline constexpr name_table<close_cause> close_cause_names{"caller_closed",
    "caller_asked", "input_refused", "keep_alive_ended", "idle_timeout",
    "stopping", "write_timeout", "evicted"};

/// What a connection left undone when it ended.
struct connection_end
{
    close_cause cause = close_cause::caller_closed;
    std::size_t dropped_bytes =
        0;                        ///< received, but neither parsed nor answered
    std::size_t unsent_bytes = 0; ///< of a reply
    bool handling = false;        ///< a request was in progress
    duration idle_timeout{};      ///< that was in force for the connection
};

/// What a connection shares with the others of its process.
struct connection_resources
{
    std::shared_ptr<memory_account> memory; ///< null = not accounted
    read_rate_limit read_rate;
    std::function<void()> on_full; ///< called while `memory` exceeds its limit
};

using end_handler = std::function<void(const connection_end&)>;

struct connection_handlers
{
    request_handler on_request;
    input_fault_handler on_fault;
    end_handler on_end;
};

/// Serves one request at a time and buffers pipelined ones. Runs on the
/// socket's event loop; pending operations keep the object alive.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket&& socket,
        const caller_limits& limits, connection_handlers handlers,
        connection_resources resources = {});

    void
    start();

    /// Returns what it holds, and what the decision whom to close needs.
    memory_holder
    usage(monotonic_time now) const;

    /// Frees what it holds: refuses a request that is being received, cuts an
    /// answer off, and closes an idle connection unless a request has arrived
    /// meanwhile. Does nothing while a request is in progress.
    void
    evict();

    /// Closes the connection if it is idle, unless a request has arrived
    /// meanwhile, or if it receives a request.
    void
    free_descriptor();

    /// Sets the limits of further requests; one that is being received keeps
    /// its own. The idle period in progress keeps its timeout if that is
    /// longer, since the caller may rely on it.
    void
    set_limits(const caller_limits& limits);

    /// Reads what has arrived, and handles it unless a request is in progress.
    void
    receive();

    /// Sends the reply to the request in progress. Does nothing when no request
    /// is in progress.
    void
    answer(http_reply&& reply);

    /// Sets a callback for a connection that closes before the request in
    /// progress is answered. It is dropped once the request is answered.
    void
    set_on_disconnect(std::function<void()> on_disconnect);

    /// Ends keep-alive, and closes the connection once it has been idle for
    /// `idle_timeout`, if its own timeout is not shorter.
    void
    close_when_idle(duration idle_timeout);

    /// Ends keep-alive: the connection closes after the next reply, which
    /// carries `Connection: close`, unless a request is already queued behind.
    void
    disable_keep_alive();

    /// Applies the header, idle and drain timeouts and the least rate at which
    /// an answer is read; called periodically.
    void
    tick(monotonic_time now);

    bool
    is_open() const
    {
        return phase_ != phase::closed;
    }

    /// Returns whether part of a request has arrived.
    bool
    is_receiving() const
    {
        return phase_ == phase::reading && reader_.started();
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
    parse();
    bool
    is_idle() const;
    void
    announce_idle_timeout(http_reply& reply) const;
    /// Returns the sent bytes that the caller's system has not acknowledged.
    std::size_t
    in_transit() const;
    bool
    is_reading_too_slowly(monotonic_time now);
    /// Enters what the connection holds in the account.
    void
    update_charge();
    void
    write();
    void
    on_written();
    void
    send_continue();
    void
    refuse(input_fault fault);
    bool
    is_receiving_late(monotonic_time now) const;
    bool
    is_idle_expired(monotonic_time now) const;
    void
    begin_drain(close_cause cause);
    void
    close(close_cause cause);
    void
    report_end();

    boost::asio::ip::tcp::socket socket_;
    connection_resources resources_;
    memory_charge charge_;
    std::string address_;       ///< of the caller, without its port
    caller_limits limits_;      ///< of the request being received, or the next
    caller_limits next_limits_; ///< replace `limits_` at the next request
    duration idle_timeout_;     ///< of the idle period in progress, or the next
    connection_handlers handlers_;
    request_reader reader_;
    std::function<void()> on_disconnect_;
    std::string input_;
    std::string output_;
    std::size_t written_ = 0;
    std::size_t written_before_ = 0; ///< by earlier replies
    std::size_t received_ = 0;       ///< of the request being received
    std::size_t request_bytes_ = 0;  ///< of the request in progress
    read_progress read_progress_;
    bool used_ = false; ///< a request has arrived
    phase phase_ = phase::reading;
    /// Reset also when the first bytes of a request arrive.
    monotonic_time phase_started_at_{};
    connection_end end_;
    bool read_wait_pending_ = false;
    bool input_ended_ = false; ///< the caller closed its sending side
    bool keep_alive_disabled_ = false;
    /// Set by `close_when_idle`.
    std::optional<duration> stop_idle_timeout_;
    bool keep_alive_ = true;
    bool bodiless_ = false;      ///< reply to a HEAD request
    bool continue_sent_ = false; ///< 100 Continue, for the current request
};

} // namespace bramleymux
