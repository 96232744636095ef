#include "caller_connection.hpp"

#include "config.hpp"
#include "stream_socket.hpp"

#include <boost/asio/buffer.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>

namespace bramleymux
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Frees the buffer of the string as well, which `clear` keeps.
void
release(std::string& text)
{
    std::string().swap(text);
}

std::size_t
bytes_of(const parsed_request& request)
{
    std::size_t out = request.path.size() + request.body.size();
    for (const header_field& field : request.fields)
    {
        out += field.name.size() + field.value.size();
    }
    return out;
}

} // namespace

caller_connection::caller_connection(tcp::socket&& socket,
    const caller_limits& limits, connection_handlers handlers,
    connection_resources resources)
    : socket_(std::move(socket)), resources_(std::move(resources)),
      charge_(resources_.memory, &memory_account::held), limits_(limits),
      next_limits_(limits), idle_timeout_(limits.idle_timeout),
      handlers_(std::move(handlers)), phase_started_at_(monotonic_clock::now())
{
    set_stream_options(socket_);
    error_code error;
    const auto caller = socket_.remote_endpoint(error);
    address_ = error ? std::string() : caller.address().to_string();
    if (resources_.memory && resources_.memory->limit > 0)
    {
        socket_.set_option(asio::socket_base::send_buffer_size(
                               config::caller_send_buffer_bytes),
            error);
    }
}

void
caller_connection::start()
{
    wait_readable();
}

void
caller_connection::enter(phase next)
{
    phase_ = next;
    phase_started_at_ = monotonic_clock::now();
}

void
caller_connection::set_limits(const caller_limits& limits)
{
    next_limits_ = limits;
    idle_timeout_ = std::max(idle_timeout_, limits.idle_timeout);
}

void
caller_connection::set_on_disconnect(std::function<void()> on_disconnect)
{
    on_disconnect_ = std::move(on_disconnect);
}

void
caller_connection::disable_keep_alive()
{
    keep_alive_disabled_ = true;
}

void
caller_connection::wait_readable()
{
    if (read_wait_pending_ || input_ended_ || phase_ == phase::closed ||
        input_.size() > config::max_pipelined_bytes + limits_.max_header_bytes)
    {
        return;
    }
    read_wait_pending_ = true;
    socket_.async_wait(tcp::socket::wait_read,
        [self = shared_from_this()](error_code wait_error)
        {
            self->read_wait_pending_ = false;
            if (!wait_error && self->phase_ != phase::closed)
            {
                self->receive();
                self->wait_readable();
            }
        });
}

void
caller_connection::receive()
{
    std::array<char, config::socket_read_buffer_bytes> buffer;
    error_code error;
    const std::size_t n = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::eof && phase_ == phase::writing)
    {
        // A caller that closed only its sending side still reads its answer.
        input_ended_ = true;
        return;
    }
    if (error && error != asio::error::would_block)
    {
        close(close_cause::caller_closed);
        return;
    }
    if (phase_ == phase::draining)
    {
        end_.dropped_bytes += n;
    }
    else
    {
        input_.append(buffer.data(), n);
        received_ += n;
    }
    if (phase_ == phase::reading)
    {
        parse();
    }
    update_charge();
}

bool
caller_connection::is_idle() const
{
    return phase_ == phase::reading && !reader_.started() && input_.empty();
}

void
caller_connection::parse()
{
    if (input_.empty())
    {
        return;
    }
    if (!reader_.started())
    {
        limits_ = next_limits_;
        phase_started_at_ = monotonic_clock::now();
        received_ = input_.size();
    }
    used_ = true;
    const read_result result = reader_.read(
        input_, {limits_.max_header_bytes, limits_.max_body_bytes});
    switch (result)
    {
    case read_result::need_more:
        if (reader_.expects_continue() && !continue_sent_)
        {
            send_continue();
        }
        return;
    case read_result::complete:
    {
        parsed_request request = reader_.take();
        keep_alive_ = request.keep_alive;
        end_.cause = keep_alive_ ? close_cause::keep_alive_ended
                                 : close_cause::caller_asked;
        bodiless_ = request.method == "HEAD";
        continue_sent_ = false;
        request_bytes_ = bytes_of(request);
        enter(phase::handling);
        update_charge();
        handlers_.on_request(std::move(request), shared_from_this());
        return;
    }
    case read_result::header_too_long:
        refuse(input_fault::header_too_long);
        return;
    case read_result::body_too_long:
        refuse(input_fault::body_too_long);
        return;
    default:
        refuse(input_fault::bad_framing);
    }
}

/// Without room for the interim reply the caller sends its body after a wait of
/// its own. The kernel reports the error of a connection once, so a failure
/// here is the only sign that the caller is gone: what it has sent would be
/// read as if it still waited.
void
caller_connection::send_continue()
{
    continue_sent_ = true;
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code error;
    const std::size_t n =
        socket_.write_some(asio::buffer(interim.data(), interim.size()), error);
    const bool failed = error && error != asio::error::would_block;
    const bool is_cut = n > 0 && n < interim.size();
    if (failed || is_cut)
    {
        close(close_cause::caller_closed);
    }
}

void
caller_connection::refuse(input_fault fault)
{
    keep_alive_ = false;
    bodiless_ = false;
    end_.cause = close_cause::input_refused;
    enter(phase::handling);
    answer(handlers_.on_fault(fault));
}

void
caller_connection::answer(http_reply&& reply)
{
    if (phase_ != phase::handling)
    {
        return;
    }
    on_disconnect_ = nullptr;
    // A request that has arrived behind this one is answered too.
    if (keep_alive_disabled_)
    {
        receive();
    }
    if (phase_ != phase::handling)
    {
        return;
    }
    keep_alive_ = keep_alive_ && (!keep_alive_disabled_ || !input_.empty());
    reply.keep_alive = keep_alive_;
    announce_idle_timeout(reply);
    output_ = serialize(reply, bodiless_);
    release(reply.body);
    written_ = 0;
    request_bytes_ = 0;
    enter(phase::writing);
    update_charge();
    write();
    if (phase_ == phase::writing)
    {
        const std::size_t waiting = in_transit();
        read_progress_ =
            begin_span(phase_started_at_, written_before_ + written_ - waiting,
                output_.size() - written_ + waiting);
    }
}

/// The field has whole seconds; a shorter timeout is not announced.
void
caller_connection::announce_idle_timeout(http_reply& reply) const
{
    const auto announced = std::chrono::duration_cast<std::chrono::seconds>(
        next_limits_.idle_timeout * config::announced_idle_share);
    if (keep_alive_ && announced.count() > 0)
    {
        reply.fields.push_back(
            {"Keep-Alive", "timeout=" + std::to_string(announced.count())});
    }
}

void
caller_connection::write()
{
    error_code error;
    const std::size_t n = socket_.write_some(
        asio::buffer(output_.data() + written_, output_.size() - written_),
        error);
    if (error && error != asio::error::would_block)
    {
        close(close_cause::caller_closed);
        return;
    }
    written_ += n;
    if (written_ == output_.size())
    {
        on_written();
        return;
    }
    socket_.async_wait(tcp::socket::wait_write,
        [self = shared_from_this()](error_code wait_error)
        {
            if (!wait_error && self->phase_ == phase::writing)
            {
                self->write();
            }
        });
}

void
caller_connection::on_written()
{
    release(output_);
    written_before_ += written_;
    written_ = 0;
    if (input_.empty() && input_.capacity() > config::socket_read_buffer_bytes)
    {
        release(input_);
    }
    update_charge();
    if (input_ended_)
    {
        close(close_cause::caller_closed);
        return;
    }
    if (!keep_alive_)
    {
        begin_drain(end_.cause);
        return;
    }
    idle_timeout_ = next_limits_.idle_timeout;
    enter(phase::reading);
    if (!input_.empty())
    {
        // Posted rather than called, so that a run of pipelined requests does
        // not deepen the stack.
        asio::post(socket_.get_executor(),
            [self = shared_from_this()]
            {
                if (self->phase_ == phase::reading)
                {
                    self->parse();
                    self->update_charge();
                }
            });
    }
    wait_readable();
}

/// Shuts down the sending side and discards input for up to
/// `config::close_drain_time`. Closing a socket with unread input resets the
/// connection, which can lose the reply in flight.
void
caller_connection::begin_drain(close_cause cause)
{
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    end_.cause = cause;
    end_.dropped_bytes += input_.size();
    release(input_);
    enter(phase::draining);
    update_charge();
    wait_readable();
}

void
caller_connection::close_when_idle(duration idle_timeout)
{
    keep_alive_disabled_ = true;
    stop_idle_timeout_ = idle_timeout;
}

bool
caller_connection::is_receiving_late(monotonic_time now) const
{
    const duration age = now - phase_started_at_;
    const bool header_late =
        !reader_.header_done() && age > limits_.header_timeout;
    return is_receiving() && (header_late || age > limits_.idle_timeout);
}

bool
caller_connection::is_idle_expired(monotonic_time now) const
{
    const duration timeout =
        std::min(idle_timeout_, stop_idle_timeout_.value_or(idle_timeout_));
    return is_idle() && now - phase_started_at_ > timeout;
}

void
caller_connection::tick(monotonic_time now)
{
    if (is_receiving_late(now) || is_idle_expired(now))
    {
        // A request, or the rest of it, may have arrived meanwhile.
        receive();
    }
    if (is_receiving_late(now))
    {
        refuse(input_fault::too_slow);
    }
    else if (is_idle_expired(now))
    {
        // Not drained: a request that arrives later is not read, and the reset
        // tells its caller that it was not handled.
        close(stop_idle_timeout_ ? close_cause::stopping
                                 : close_cause::idle_timeout);
    }
    const duration age = now - phase_started_at_;
    if (phase_ == phase::draining && age > config::close_drain_time)
    {
        close(end_.cause);
    }
    else if (phase_ == phase::writing && is_reading_too_slowly(now))
    {
        close(close_cause::write_timeout);
    }
}

std::size_t
caller_connection::in_transit() const
{
    int bytes = 0;
    const bool known =
        ::ioctl(const_cast<tcp::socket&>(socket_).native_handle(), SIOCOUTQ,
            &bytes) == 0 &&
        bytes > 0;
    return known ? std::min(static_cast<std::size_t>(bytes),
                       written_before_ + written_)
                 : 0;
}

bool
caller_connection::is_reading_too_slowly(monotonic_time now)
{
    const std::size_t waiting = in_transit();
    return reads_too_slowly(read_progress_, resources_.read_rate, now,
        written_before_ + written_ - waiting, waiting,
        output_.size() - written_ + waiting);
}

void
caller_connection::update_charge()
{
    charge_.set(phase_ == phase::closed
                    ? 0
                    : input_.size() + output_.size() + request_bytes_ +
                          reader_.held_bytes());
    if (resources_.memory && resources_.on_full &&
        excess_bytes(*resources_.memory) > 0)
    {
        resources_.on_full();
    }
}

memory_holder
caller_connection::usage(monotonic_time now) const
{
    memory_holder out;
    out.address = address_;
    out.held = charge_.bytes();
    out.age = now - phase_started_at_;
    out.stage = holder_stage::busy;
    if (phase_ == phase::writing)
    {
        const std::size_t waiting = in_transit();
        out.stage = holder_stage::answering;
        out.moved = written_ > waiting ? written_ - waiting : 0;
    }
    else if (is_receiving())
    {
        out.stage =
            reader_.header_done() ? holder_stage::body : holder_stage::header;
        out.moved = received_;
    }
    else if (is_idle())
    {
        out.stage = used_ ? holder_stage::idle : holder_stage::unused;
    }
    return out;
}

void
caller_connection::evict()
{
    if (phase_ == phase::writing)
    {
        close(close_cause::evicted);
        return;
    }
    if (is_idle())
    {
        receive();
    }
    if (is_idle())
    {
        close(close_cause::evicted);
    }
    else if (is_receiving())
    {
        end_.dropped_bytes += input_.size();
        release(input_);
        reader_.reset();
        refuse(input_fault::no_memory);
    }
}

void
caller_connection::free_descriptor()
{
    if (is_idle())
    {
        receive();
    }
    if (is_idle() || is_receiving())
    {
        close(close_cause::evicted);
    }
}

void
caller_connection::report_end()
{
    error_code ignored;
    end_.dropped_bytes += input_.size() + socket_.available(ignored);
    end_.unsent_bytes = output_.size() - written_;
    end_.handling = phase_ == phase::handling;
    end_.idle_timeout = idle_timeout_;
    handlers_.on_end(end_);
}

/// `cause` does not apply to a connection that is draining already.
void
caller_connection::close(close_cause cause)
{
    if (phase_ == phase::closed)
    {
        return;
    }
    end_.cause = phase_ == phase::draining ? end_.cause : cause;
    report_end();
    enter(phase::closed);
    error_code ignored;
    socket_.close(ignored);
    release(output_);
    release(input_);
    update_charge();
    const std::function<void()> on_disconnect = std::move(on_disconnect_);
    on_disconnect_ = nullptr;
    if (on_disconnect)
    {
        on_disconnect();
    }
}

} // namespace bramleymux
