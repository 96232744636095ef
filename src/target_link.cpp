#include "target_link.hpp"

#include "config.hpp"
#include "stream_socket.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>

namespace bramleymux
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr read_limits reply_limits{
    config::max_reply_header_bytes, config::max_reply_body_bytes};

} // namespace

target_link::target_link(asio::io_context& loop, const entry_wire& wire,
    std::shared_ptr<memory_account> memory)
    : socket_(loop), wire_(wire), since_(monotonic_clock::now()),
      idle_limit_(config::max_idle_connection_time), memory_(std::move(memory)),
      request_charge_(memory_, &memory_account::held),
      reply_charge_(memory_, &memory_account::replies)
{
}

void
target_link::enter(link_state state)
{
    state_ = state;
    since_ = monotonic_clock::now();
}

void
target_link::open(const tcp::endpoint& target, opened_handler opened)
{
    error_code error;
    socket_.open(target.protocol(), error);
    if (!error)
    {
        set_stream_options(socket_);
    }
    socket_.async_connect(target,
        [self = shared_from_this(), opened = std::move(opened)](
            error_code failed)
        {
            if (failed || self->state_ == link_state::closed)
            {
                self->close();
                opened(false);
                return;
            }
            self->enter(link_state::idle);
            self->read();
            opened(true);
        });
}

void
target_link::limit_delivery(duration limit)
{
    set_delivery_limit(socket_, limit);
}

bool
target_link::check_ready()
{
    if (state_ != link_state::idle)
    {
        return false;
    }
    char next = 0;
    error_code error;
    socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
    if (error != asio::error::would_block)
    {
        close();
    }
    return state_ == link_state::idle;
}

void
target_link::exchange(std::string bytes, std::string request_id, bool bodiless,
    reply_handler handler)
{
    enter(link_state::busy);
    output_ = std::move(bytes);
    written_ = 0;
    request_id_ = std::move(request_id);
    bodiless_ = bodiless;
    any_byte_ = false;
    handler_ = std::move(handler);
    write();
}

void
target_link::write()
{
    error_code error;
    written_ += socket_.write_some(
        asio::buffer(output_.data() + written_, output_.size() - written_),
        error);
    if (error && error != asio::error::would_block)
    {
        on_write_failed(error);
        return;
    }
    writing_ = written_ < output_.size();
    if (!writing_)
    {
        std::string().swap(output_);
        written_ = 0;
    }
    update_charges();
    if (writing_)
    {
        socket_.async_wait(tcp::socket::wait_write,
            [self = shared_from_this()](error_code failed)
            {
                if (!failed && self->state_ == link_state::busy)
                {
                    self->write();
                }
            });
    }
}

/// The target may have replied before the connection failed, so what has
/// arrived is still read. The kernel reports an error once: a later read finds
/// an end of stream, whether or not the target sent one. Linux gives EPIPE to
/// the first write after a reset only if the target's end of stream arrived
/// before the reset.
void
target_link::on_write_failed(error_code error)
{
    write_failed_ = true;
    torn_ = error != asio::error::broken_pipe;
    writing_ = false;
    std::string().swap(output_);
    written_ = 0;
    update_charges();
    // Posted, since the caller does not expect a result from within a send.
    asio::post(socket_.get_executor(),
        [self = shared_from_this()] { self->close_if_drained(); });
}

/// Closes the connection after a failed write unless the pending read finds
/// bytes or the end of the stream.
void
target_link::close_if_drained()
{
    if (state_ != link_state::busy)
    {
        return;
    }
    char next = 0;
    error_code error;
    socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
    if (error && error != asio::error::eof)
    {
        close();
    }
}

void
target_link::read()
{
    socket_.async_wait(tcp::socket::wait_read,
        [self = shared_from_this()](error_code failed)
        {
            if (failed || self->state_ == link_state::closed)
            {
                return;
            }
            std::array<char, config::socket_read_buffer_bytes> buffer;
            error_code error;
            const std::size_t n =
                self->socket_.read_some(asio::buffer(buffer), error);
            self->input_.append(buffer.data(), n);
            self->on_read(error, n);
        });
}

void
target_link::on_read(error_code error, std::size_t bytes)
{
    if (error && error != asio::error::would_block)
    {
        on_end(error == asio::error::eof);
        return;
    }
    if (bytes > 0)
    {
        any_byte_ = true;
        on_bytes();
    }
    update_charges();
    if (state_ != link_state::closed)
    {
        read_or_pause();
    }
}

/// Leaves the rest of a long reply to the kernel, whose buffer is bounded and
/// makes the target wait, while the memory for replies is used up.
void
target_link::read_or_pause()
{
    paused_ = state_ == link_state::busy && memory_ &&
              !may_read_reply(*memory_, this);
    if (!paused_)
    {
        read();
    }
}

void
target_link::resume()
{
    if (paused_ && state_ != link_state::closed)
    {
        read_or_pause();
    }
}

void
target_link::update_charges()
{
    const bool closed = state_ == link_state::closed;
    request_charge_.set(closed ? 0 : output_.size());
    reply_charge_.set(closed ? 0 : input_.size() + reader_.held_bytes());
    if (memory_ && state_ != link_state::busy)
    {
        end_reply_turn(*memory_, this);
    }
}

void
target_link::on_bytes()
{
    while (state_ == link_state::busy && !input_.empty())
    {
        switch (reader_.read(input_, reply_limits, bodiless_))
        {
        case read_result::need_more:
            return;
        case read_result::complete:
            accept_reply(reader_.take());
            break;
        default:
            finish(link_outcome::faulty, {});
            return;
        }
    }
    // Unsolicited bytes: the connection cannot be reused.
    if (state_ == link_state::idle && !input_.empty())
    {
        close();
    }
}

bool
target_link::is_of_other_request(const target_reply& reply) const
{
    if (request_id_.empty())
    {
        return false;
    }
    // A target that has echoed an id does so in every reply that it attests;
    // without an id, the request that the reply belongs to is unknown.
    return reply.request_id.empty() ? echoes_ids_ && !reply.proof.empty()
                                    : reply.request_id != request_id_;
}

void
target_link::accept_reply(http_reply&& reply)
{
    target_reply decoded = wire_.read_reply(std::move(reply));
    if (is_of_other_request(decoded))
    {
        tainted_ = true;
        if (!decoded.keep_alive)
        {
            finish(link_outcome::malformed, {});
        }
        return;
    }
    const bool unattributed = !request_id_.empty() && echoes_ids_ &&
                              decoded.request_id.empty() && decoded.not_run;
    if (unattributed)
    {
        // It may be a late copy of an earlier rejection. The request may run,
        // so it is neither sent again nor called rejected.
        finish(link_outcome::malformed, {});
        return;
    }
    echoes_ids_ = echoes_ids_ || !decoded.request_id.empty();
    if (memory_)
    {
        decoded.charge = std::make_shared<const memory_charge>(
            memory_, &memory_account::replies, decoded.body.size());
    }
    finish(link_outcome::reply, std::move(decoded));
}

void
target_link::on_end(bool at_eof)
{
    const bool is_orderly = at_eof && !torn_;
    if (state_ == link_state::busy && is_orderly &&
        reader_.end_of_stream() == read_result::complete)
    {
        accept_reply(reader_.take());
    }
    close();
}

void
target_link::finish(link_outcome outcome, target_reply&& reply)
{
    const reply_handler handler = std::move(handler_);
    handler_ = nullptr;
    const int faulty_status =
        outcome == link_outcome::faulty ? reader_.status() : 0;
    const bool reusable = outcome == link_outcome::reply && reply.keep_alive &&
                          !tainted_ && !writing_ && !write_failed_ &&
                          input_.empty();
    if (reply.idle_limit)
    {
        idle_limit_ = std::min<duration>(config::max_idle_connection_time,
            std::max<duration>(*reply.idle_limit - config::keep_alive_margin,
                duration::zero()));
    }
    if (reusable)
    {
        enter(link_state::idle);
    }
    else
    {
        close();
    }
    update_charges();
    if (handler)
    {
        handler({outcome, any_byte_, faulty_status, std::move(reply)});
    }
}

void
target_link::close()
{
    if (state_ == link_state::closed)
    {
        return;
    }
    error_code ignored;
    socket_.close(ignored);
    const reply_handler handler = std::move(handler_);
    handler_ = nullptr;
    enter(link_state::closed);
    paused_ = false;
    update_charges();
    if (handler)
    {
        handler({link_outcome::closed, any_byte_, 0, {}});
    }
}

} // namespace bramleymux
