#include "caller.hpp"

#include "answers.hpp"
#include "http_codec.hpp"

#include <boost/asio/write.hpp>

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bramleymux::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

// Shares of behaviours, in percent.
constexpr std::uint64_t percent = 100;
constexpr std::uint64_t new_connection_share = 8;
constexpr std::uint64_t post_share = 30;
constexpr std::uint64_t changing_route_share = 6;
constexpr std::uint64_t gathered_share = 10;
constexpr std::uint64_t long_body_share = 10; // of POST and gathered requests
constexpr std::uint64_t split_write_share = 30;
constexpr std::uint64_t long_idle_share = 15;

constexpr std::uint64_t changing_routes = 4;
constexpr std::uint64_t longest_pause_ms = 60;
constexpr std::uint64_t longest_body_gap_us = 3000;
constexpr std::uint64_t longest_body_bytes = 1500;
constexpr auto time_limit = 4s;
// Beyond the time limit plus all stops of a VM that can fall into it.
constexpr auto patience = 10s;
constexpr auto connect_timeout = 1s;
constexpr auto reconnect_delay = 20ms;
// The kernel of the VM's side answers bytes that arrive after a close at once.
constexpr auto reset_wait = 50ms;
constexpr read_limits answer_limits{16384, 1 << 20};

/// Returns whether the peer has already closed an idle connection.
bool
is_closed_by_peer(tcp::socket& socket)
{
    char byte = 0;
    const auto n =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Returns whether a reset has arrived after the peer's end of stream.
bool
is_reset(tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
               &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
}

} // namespace

std::string
key_text(std::size_t key)
{
    return "soak-key-" + std::to_string(key);
}

struct caller::connection
{
    explicit connection(asio::io_context& loop) : socket(loop) {}

    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string input;
    reply_reader reader;
    bool used = false;
    bool received = false; ///< a byte of the current answer
    bool ended = false;    ///< by the VM
    monotonic_time idle_since{};
};

caller::caller(asio::io_context& loop, std::size_t number, std::uint64_t seed,
    const caller_world& world)
    : loop_(loop), world_(world), random_(seed * 1000 + number), timer_(loop)
{
    attempt_.caller = number;
}

caller::~caller() = default;

void
caller::start()
{
    think();
}

void
caller::stop()
{
    stopping_ = true;
}

bool
caller::is_stopped() const
{
    return stopped_;
}

std::uint64_t
caller::random(std::uint64_t low, std::uint64_t high)
{
    return std::uniform_int_distribution<std::uint64_t>(low, high)(random_);
}

void
caller::later(duration wait, void (caller::*step)())
{
    timer_.expires_after(wait);
    timer_.async_wait(
        [this, step](error_code error)
        {
            if (!error)
            {
                (this->*step)();
            }
        });
}

/// Waits before the next request; at times for most of the idle timeout.
void
caller::think()
{
    duration wait = std::chrono::milliseconds(random(0, longest_pause_ms));
    if (random(1, percent) <= long_idle_share)
    {
        wait = world_.idle_timeout() * random(40, 80) / percent;
    }
    later(wait, &caller::proceed);
}

void
caller::proceed()
{
    if (stopping_)
    {
        drop_connection();
        stopped_ = true;
        return;
    }
    if (connection_)
    {
        // Four fifths of the idle timeout, as callers of the platform do.
        const bool idle_too_long =
            connection_->used &&
            monotonic_clock::now() - connection_->idle_since >
                world_.idle_timeout() * 4 / 5;
        if (idle_too_long || is_closed_by_peer(connection_->socket) ||
            random(1, percent) <= new_connection_share)
        {
            drop_connection();
        }
    }
    if (connection_)
    {
        send();
        return;
    }
    connect();
}

void
caller::connect()
{
    attempt_.vm = world_.choose_vm(random_);
    connection_ = std::make_shared<connection>(loop_);
    later(connect_timeout, &caller::drop_connection);
    connection_->socket.async_connect(world_.vms[attempt_.vm],
        [this, c = connection_](error_code error)
        {
            if (c != connection_ || error)
            {
                drop_connection();
                later(reconnect_delay, &caller::proceed);
                return;
            }
            error_code ignored;
            c->socket.set_option(tcp::no_delay(true), ignored);
            read();
            send();
        });
}

void
caller::choose_request()
{
    const bool changing = random(1, percent) <= changing_route_share;
    gathered_ = !changing && random(1, percent) <= gathered_share;
    attempt_.idempotent =
        changing || gathered_ || random(1, percent) > post_share;
    attempt_.permanent_route = !changing;
    path_ = attempt_.idempotent ? "/r/" : "/w/";
    if (gathered_)
    {
        path_ = "/g/";
    }
    if (changing)
    {
        path_ = "/x" + std::to_string(random(0, changing_routes - 1)) + "/";
    }
    body_ = attempt_.idempotent
                ? std::string()
                : std::string(random(1, longest_body_bytes), 'b');
    if ((gathered_ || !attempt_.idempotent) &&
        random(1, percent) <= long_body_share)
    {
        body_.assign(long_body_bytes, 'b');
    }
    method_ = body_.empty() ? "GET" : "POST";
}

std::string
caller::head() const
{
    const auto limit_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_limit);
    std::string out = method_ + " " + path_ + std::to_string(attempt_.caller) +
                      " HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: " +
                      std::to_string(attempt_.id) +
                      "\r\nX-Deadline-Ms: " + std::to_string(limit_ms.count()) +
                      "\r\nApi-Key: " + key_text(attempt_.key) + "\r\n";
    if (!body_.empty())
    {
        out += "Content-Length: " + std::to_string(body_.size()) + "\r\n";
    }
    return out + "\r\n";
}

void
caller::send()
{
    choose_request();
    attempt_.id = world_.next_id();
    // A VM may refuse a wrong key before it has read a long body, and the close
    // that follows may overtake its answer.
    attempt_.key = world_.choose_key && body_.size() != long_body_bytes
                       ? world_.choose_key(random_)
                       : 0;
    attempt_.reused_connection = connection_->used;
    attempt_.sent_at = monotonic_clock::now();
    attempt_.reset = false;
    attempt_.status = 0;
    attempt_.own_body = false;
    connection_->used = true;
    connection_->received = false;
    // A write of a long body must not wait for a VM that is stopped.
    const bool split = body_.size() == long_body_bytes ||
                       random(1, percent) <= split_write_share;
    if (!write(split ? head() : head() + body_))
    {
        // Nothing was sent: the connection had ended before.
        drop_connection();
        later(reconnect_delay, &caller::proceed);
        return;
    }
    open_ = true;
    later(patience, &caller::give_up);
    if (split)
    {
        write_later(body_);
    }
}

bool
caller::write(const std::string& bytes)
{
    error_code error;
    asio::write(connection_->socket, asio::buffer(bytes), error);
    return !error;
}

/// Sends the body in a segment of its own.
void
caller::write_later(std::string bytes)
{
    auto timer = std::make_shared<asio::steady_timer>(loop_);
    timer->expires_after(
        std::chrono::microseconds(random(0, longest_body_gap_us)));
    timer->async_wait(
        [this, timer, c = connection_, bytes = std::move(bytes)](error_code)
        {
            // Bytes sent after the end would provoke a reset that tells nothing
            // about those sent before.
            if (c == connection_ && !c->ended)
            {
                // The read in progress reports a connection that has ended.
                const auto kept = std::make_shared<std::string>(bytes);
                asio::async_write(c->socket, asio::buffer(*kept),
                    [c, kept](error_code, std::size_t) {});
            }
        });
}

void
caller::read()
{
    connection_->socket.async_read_some(asio::buffer(connection_->buffer),
        [this, c = connection_](error_code error, std::size_t n)
        {
            if (c != connection_)
            {
                return;
            }
            if (error)
            {
                on_close(error);
                return;
            }
            c->input.append(c->buffer.data(), n);
            c->received = true;
            on_bytes();
            if (c == connection_)
            {
                read();
            }
        });
}

void
caller::on_bytes()
{
    if (!open_)
    {
        finish(attempt_end::extra_bytes);
        return;
    }
    const read_result result =
        connection_->reader.read(connection_->input, answer_limits, false);
    if (result == read_result::need_more)
    {
        return;
    }
    if (result != read_result::complete)
    {
        finish(attempt_end::malformed);
        return;
    }
    const http_reply reply = connection_->reader.take();
    attempt_.status = reply.status;
    const std::string* stamps = find_field(reply.fields, "X-Part-Stamps");
    attempt_.own_body =
        gathered_ ? is_merged_answer(attempt_.id,
                        stamps == nullptr ? std::string() : *stamps, reply.body)
                  : reply.body == body_of(attempt_.id);
    if (!connection_->input.empty())
    {
        finish(attempt_end::extra_bytes);
        return;
    }
    if (!reply.keep_alive)
    {
        drop_connection();
    }
    finish(attempt_end::answered);
}

void
caller::on_close(error_code error)
{
    attempt_.ended_at = monotonic_clock::now();
    attempt_.reset = error == asio::error::connection_reset;
    if (!open_)
    {
        drop_connection();
        return;
    }
    connection_->ended = true;
    if (connection_->received)
    {
        finish(attempt_end::closed_in_answer);
        return;
    }
    later(reset_wait, &caller::check_reset);
}

void
caller::check_reset()
{
    attempt_.reset = attempt_.reset || is_reset(connection_->socket);
    finish(attempt_end::closed);
}

void
caller::give_up()
{
    finish(attempt_end::no_answer);
}

/// Reports the end of the request and begins the pause before the next one.
void
caller::finish(attempt_end end)
{
    open_ = false;
    attempt_.end = end;
    if (end != attempt_end::closed && end != attempt_end::closed_in_answer)
    {
        attempt_.ended_at = monotonic_clock::now();
    }
    if (end != attempt_end::answered)
    {
        drop_connection();
    }
    if (connection_)
    {
        connection_->idle_since = attempt_.ended_at;
    }
    world_.on_end(attempt_);
    think();
}

void
caller::drop_connection()
{
    if (connection_)
    {
        error_code ignored;
        connection_->socket.close(ignored);
        connection_ = nullptr;
    }
}

} // namespace bramleymux::soak
