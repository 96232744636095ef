#include "call_channel.hpp"

#include "stream_socket.hpp"

#include <boost/asio/post.hpp>

namespace bramleymux
{

namespace
{

target_reply
read_reply(http_reply&& reply)
{
    target_reply out;
    out.status = reply.status;
    out.keep_alive = reply.keep_alive;
    out.body = std::move(reply.body);
    out.forwarded = std::move(reply.fields);
    return out;
}

const entry_wire&
call_wire()
{
    static const entry_wire functions = []
    {
        entry_wire out{};
        out.read_reply = read_reply;
        return out;
    }();
    return functions;
}

} // namespace

call_channel::call_channel(boost::asio::io_context& loop,
    const std::string& address, era_reader read_era)
    : loop_(loop), address_(address), read_era_(read_era), timer_(loop)
{
}

call_channel::~call_channel()
{
    *alive_ = false;
    if (link_)
    {
        link_->close();
    }
}

void
call_channel::call(
    const call_request& request, duration timeout, reply_handler handler)
{
    request_ = request.method + " " + request.path +
               " HTTP/1.1\r\nHost: " + address_ + "\r\n";
    for (const header_field& field : request.fields)
    {
        request_ += field.name + ": " + field.value + "\r\n";
    }
    if (!request.body.empty())
    {
        request_ +=
            "Content-Type: " + request.content_type +
            "\r\nContent-Length: " + std::to_string(request.body.size()) +
            "\r\n";
    }
    request_ += "\r\n" + request.body;
    sent_ = false;
    may_send_ = request.may_send;
    delivery_limit_ = request.delivery_limit;
    handler_ = std::move(handler);
    ++call_id_;
    timer_.expires_after(timeout);
    timer_.async_wait(
        [this, alive = alive_, call_id = call_id_](
            boost::system::error_code error)
        {
            if (!error && *alive && call_id == call_id_ && handler_)
            {
                finish({});
            }
        });
    const bool kept = link_ && link_->check_ready();
    may_resend_ = kept && request.repeatable;
    if (kept)
    {
        send();
        return;
    }
    connect();
}

void
call_channel::connect()
{
    link_ = std::make_shared<target_link>(loop_, call_wire());
    link_->open(*parse_endpoint(address_),
        [this, alive = alive_, call_id = call_id_](bool opened)
        {
            if (!*alive || call_id != call_id_ || !handler_)
            {
                return;
            }
            if (opened)
            {
                send();
            }
            else
            {
                finish({});
            }
        });
}

void
call_channel::cancel()
{
    handler_ = nullptr;
    timer_.cancel();
    if (link_)
    {
        link_->close();
    }
}

void
call_channel::send()
{
    if (may_send_ && !may_send_())
    {
        // Posted, since the caller does not expect a reply from within a call.
        boost::asio::post(loop_,
            [this, alive = alive_, call_id = call_id_]
            {
                if (*alive && call_id == call_id_ && handler_)
                {
                    finish({});
                }
            });
        return;
    }
    sent_ = true;
    if (delivery_limit_ > duration::zero())
    {
        link_->limit_delivery(delivery_limit_);
    }
    link_->exchange(request_, {}, false,
        [this, alive = alive_, call_id = call_id_](link_result&& result)
        {
            if (*alive && call_id == call_id_ && handler_)
            {
                on_result(std::move(result));
            }
        });
}

void
call_channel::on_result(link_result&& result)
{
    const bool resend = may_resend_ && result.outcome == link_outcome::closed &&
                        !result.any_byte;
    may_resend_ = false;
    if (resend)
    {
        connect();
        return;
    }
    call_reply reply;
    if (result.outcome == link_outcome::reply)
    {
        reply.status = result.reply.status;
        reply.body = std::move(result.reply.body);
        if (read_era_ != nullptr)
        {
            reply.store_era = read_era_(result.reply.forwarded);
        }
    }
    finish(std::move(reply));
}

void
call_channel::finish(call_reply&& reply)
{
    const reply_handler handler = std::move(handler_);
    handler_ = nullptr;
    timer_.cancel();
    if (reply.status == 0)
    {
        // A late reply must not be taken for that of the next call.
        const auto link = std::move(link_);
        link_ = nullptr;
        link->close();
        reply.unsent = !sent_;
    }
    handler(std::move(reply));
}

} // namespace bramleymux
