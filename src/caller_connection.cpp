#include "caller_connection.hpp"

#include "config.hpp"
#include "stream_socket.hpp"

#include <boost/asio/buffer.hpp>

#include <array>

namespace bramleymux
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

caller_connection::caller_connection(tcp::socket&& socket,
    const caller_limits& limits, request_handler handler,
    input_fault_handler on_fault)
    : socket_(std::move(socket)), limits_(limits), handler_(std::move(handler)),
      on_fault_(std::move(on_fault)), since_(monotonic_clock::now())
{
    prepare_stream(socket_);
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
    since_ = monotonic_clock::now();
}

void
caller_connection::set_on_left(std::function<void()> on_left)
{
    on_left_ = std::move(on_left);
}

void
caller_connection::set_last()
{
    last_ = true;
}

void
caller_connection::wait_readable()
{
    if (waiting_ || phase_ == phase::closed ||
        input_.size() > config::max_pipelined_bytes + limits_.max_body_bytes)
    {
        return;
    }
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read,
        [self = shared_from_this()](error_code failed)
        {
            self->waiting_ = false;
            if (!failed && self->phase_ != phase::closed)
            {
                self->on_readable();
            }
        });
}

void
caller_connection::on_readable()
{
    std::array<char, config::socket_read_bytes> buffer;
    error_code error;
    const std::size_t n = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block)
    {
        close();
        return;
    }
    if (phase_ != phase::draining)
    {
        input_.append(buffer.data(), n);
    }
    if (phase_ == phase::reading)
    {
        parse();
    }
    wait_readable();
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
        since_ = monotonic_clock::now();
    }
    const read_result result = reader_.read(
        input_, {limits_.max_header_bytes, limits_.max_body_bytes});
    switch (result)
    {
    case read_result::need_more:
        if (reader_.expects_continue() && !continue_sent_)
        {
            continue_sent_ = true;
            constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
            error_code ignored;
            socket_.write_some(
                asio::buffer(go_on.data(), go_on.size()), ignored);
        }
        return;
    case read_result::complete:
    {
        http_request request = reader_.take();
        keep_alive_ = request.keep_alive;
        bodiless_ = request.method == "HEAD";
        continue_sent_ = false;
        enter(phase::handling);
        handler_(std::move(request), shared_from_this());
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

void
caller_connection::refuse(input_fault fault)
{
    keep_alive_ = false;
    bodiless_ = false;
    enter(phase::handling);
    answer(on_fault_(fault));
}

void
caller_connection::answer(http_reply&& reply)
{
    if (phase_ != phase::handling)
    {
        return;
    }
    on_left_ = nullptr;
    keep_alive_ = keep_alive_ && !last_;
    reply.keep_alive = keep_alive_;
    output_ = serialize(reply, bodiless_);
    written_ = 0;
    enter(phase::writing);
    write();
}

void
caller_connection::write()
{
    error_code error;
    written_ += socket_.write_some(
        asio::buffer(output_.data() + written_, output_.size() - written_),
        error);
    if (error && error != asio::error::would_block)
    {
        close();
        return;
    }
    if (written_ == output_.size())
    {
        on_written();
        return;
    }
    socket_.async_wait(tcp::socket::wait_write,
        [self = shared_from_this()](error_code failed)
        {
            if (!failed && self->phase_ == phase::writing)
            {
                self->write();
            }
        });
}

void
caller_connection::on_written()
{
    output_.clear();
    if (!keep_alive_)
    {
        begin_drain();
        return;
    }
    enter(phase::reading);
    if (!input_.empty())
    {
        // Later, so that pipelined requests do not nest.
        asio::post(socket_.get_executor(),
            [self = shared_from_this()]
            {
                if (self->phase_ == phase::reading)
                {
                    self->parse();
                }
            });
    }
    wait_readable();
}

/// Closing with unread input would reset the connection and could destroy the
/// answer on its way.
void
caller_connection::begin_drain()
{
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    input_.clear();
    enter(phase::draining);
    wait_readable();
}

void
caller_connection::close_soon()
{
    last_ = true;
    if (phase_ == phase::reading && !reader_.started())
    {
        begin_drain();
    }
}

void
caller_connection::tick(monotonic_time now)
{
    const duration age = now - since_;
    if (phase_ == phase::reading)
    {
        const bool arriving = reader_.started();
        const bool header_late =
            arriving && !reader_.header_done() && age > limits_.header_timeout;
        const bool body_late = arriving && age > limits_.idle_timeout;
        if (header_late || body_late)
        {
            refuse(input_fault::too_slow);
        }
        else if (!arriving && age > limits_.idle_timeout)
        {
            begin_drain();
        }
        return;
    }
    const bool drained =
        phase_ == phase::draining && age > config::close_drain_time;
    const bool stuck = phase_ == phase::writing && age > limits_.idle_timeout;
    if (drained || stuck)
    {
        close();
    }
}

void
caller_connection::close()
{
    if (phase_ == phase::closed)
    {
        return;
    }
    enter(phase::closed);
    error_code ignored;
    socket_.close(ignored);
    const std::function<void()> on_left = std::move(on_left_);
    on_left_ = nullptr;
    if (on_left)
    {
        on_left();
    }
}

} // namespace bramleymux
