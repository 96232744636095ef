#pragma once

#include "fleet_view.hpp"
#include "http_codec.hpp"

#include <bramleymux/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <vector>

/// Stand-in targets whose replies a function determines. Does not depend on the
/// test framework.
namespace bramleymux
{

namespace fixture
{

using boost::asio::ip::tcp;

/// What a stand-in target does with a request.
struct scripted_reply
{
    std::string bytes;        ///< written unchanged
    bool close_after = false; ///< shut down and close the connection
    bool reset_after = false; ///< reset the connection
    bool silent = false;      ///< never reply
    duration wait{};          ///< delay of the reply
};

/// Returns a header of a request that a target received; empty when absent.
inline std::string
header_value(const parsed_request& request, const std::string& name)
{
    const std::string* value = find_field(request.fields, name);
    return value == nullptr ? std::string() : *value;
}

inline std::string
http_text(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns a 200 reply to `request` with its id and the given proof.
inline scripted_reply
good(const parsed_request& request, const std::string& proof,
    const std::string& body)
{
    return {http_text(200,
        "X-Request-Id: " + header_value(request, "X-Request-Id") +
            "\r\nX-Response-Stamp: " + proof + "\r\n",
        body)};
}

/// Never replies.
inline scripted_reply
unresponsive(const parsed_request&)
{
    scripted_reply out;
    out.silent = true;
    return out;
}

/// Target on a loopback port whose replies a function determines.
class stand_in_target
{
public:
    using script = std::function<scripted_reply(const parsed_request&)>;
    /// Takes the bytes that have arrived of a request, its head included.
    using early_script =
        std::function<std::optional<scripted_reply>(const std::string&)>;

    stand_in_target(boost::asio::io_context& loop, std::string id, script s)
        : loop_(loop), id_(std::move(id)), script_(std::move(s)),
          acceptor_(loop, tcp::endpoint(tcp::v4(), 0))
    {
        accept();
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    target_record
    record(const std::string& service, const std::string& zone) const
    {
        target_record out;
        out.id = id_;
        out.service = service;
        out.address = address();
        out.zone = zone;
        out.slots = 4;
        return out;
    }

    void
    set_script(script s)
    {
        script_ = std::move(s);
    }

    /// `s` may reply to a request whose body has not arrived yet. The target
    /// then reads nothing more of that connection.
    void
    set_early_script(early_script s)
    {
        early_script_ = std::move(s);
    }

    /// Sets what the kernel takes of requests that are not read; connections
    /// accepted from now on are like those of a network.
    void
    narrow_window(int receive_buffer_bytes)
    {
        constexpr int segment_bytes = 1460;
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(
            receive_buffer_bytes));
        ::setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
            &segment_bytes, sizeof segment_bytes);
    }

    std::vector<parsed_request> received;
    std::size_t connections = 0;
    std::size_t closed_by_peer = 0; ///< connections

private:
    struct session : std::enable_shared_from_this<session>
    {
        session(stand_in_target& o, tcp::socket&& s)
            : owner(o), socket(std::move(s))
        {
        }

        void
        read()
        {
            socket.async_read_some(boost::asio::buffer(buffer),
                [self = shared_from_this()](
                    boost::system::error_code error, std::size_t n)
                {
                    if (error)
                    {
                        ++self->owner.closed_by_peer;
                        return;
                    }
                    self->input.append(self->buffer.data(), n);
                    if (self->replies_early())
                    {
                        return;
                    }
                    while (self->reader.read(self->input, {65536, 1 << 26}) ==
                           read_result::complete)
                    {
                        self->serve(self->reader.take());
                    }
                    self->read();
                });
        }

        /// Asks the early script once for each request.
        bool
        replies_early()
        {
            if (!owner.early_script_ || was_asked ||
                input.find("\r\n\r\n") == std::string::npos)
            {
                return false;
            }
            was_asked = true;
            const auto reply = owner.early_script_(input);
            if (reply)
            {
                write(*reply);
            }
            return reply.has_value();
        }

        void
        serve(parsed_request&& request)
        {
            was_asked = false;
            owner.received.push_back(request);
            const scripted_reply reply = owner.script_(request);
            if (reply.silent)
            {
                return;
            }
            if (reply.wait > duration::zero())
            {
                auto timer =
                    std::make_shared<boost::asio::steady_timer>(owner.loop_);
                timer->expires_after(reply.wait);
                timer->async_wait(
                    [self = shared_from_this(), reply, timer](
                        boost::system::error_code) { self->write(reply); });
                return;
            }
            write(reply);
        }

        void
        write(const scripted_reply& reply)
        {
            boost::system::error_code error;
            boost::asio::write(socket, boost::asio::buffer(reply.bytes), error);
            if (reply.reset_after)
            {
                socket.set_option(tcp::socket::linger(true, 0), error);
                socket.close(error);
            }
            else if (reply.close_after)
            {
                socket.shutdown(tcp::socket::shutdown_both, error);
                socket.close(error);
            }
        }

        stand_in_target& owner;
        tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::string input;
        request_reader reader;
        bool was_asked = false; ///< the early script
    };

    void
    accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    ++connections;
                    std::make_shared<session>(*this, std::move(socket))->read();
                    accept();
                }
            });
    }

    boost::asio::io_context& loop_;
    std::string id_;
    script script_;
    early_script early_script_;
    tcp::acceptor acceptor_;
};

} // namespace fixture

} // namespace bramleymux
