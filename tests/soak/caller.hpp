#pragma once

#include "attempt.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bramleymux::soak
{

/// What callers know of the deployment.
struct caller_world
{
    std::vector<boost::asio::ip::tcp::endpoint> vms;
    /// Chooses the VM of a new connection, as the load balancer does.
    std::function<std::size_t(std::mt19937_64&)> choose_vm;
    /// Returns the idle timeout of the newest desired state.
    std::function<duration()> idle_timeout;
    std::function<std::uint64_t()> next_id;
    /// Chooses the key of a request.
    std::function<std::size_t(std::mt19937_64&)> choose_key;
    std::function<void(const attempt&)> on_end;
};

/// Sends one request at a time and reuses its connection while the idle timeout
/// and the VM allow it.
class caller
{
public:
    caller(boost::asio::io_context& loop, std::size_t number,
        std::uint64_t seed, const caller_world& world);
    ~caller();

    void
    start();

    /// Ends after the request in progress.
    void
    stop();

    bool
    is_stopped() const;

private:
    struct connection;

    void
    think();
    void
    proceed();
    void
    connect();
    void
    send();
    void
    choose_request();
    std::string
    head() const;
    bool
    write(const std::string& bytes);
    void
    write_later(std::string bytes);
    void
    read();
    void
    on_bytes();
    void
    on_close(boost::system::error_code error);
    void
    finish(attempt_end end);
    void
    drop_connection();
    std::uint64_t
    random(std::uint64_t low, std::uint64_t high);
    /// Calls `step` after `wait` unless the connection was replaced.
    void
    later(duration wait, void (caller::*step)());
    void
    give_up();
    void
    check_reset();

    boost::asio::io_context& loop_;
    const caller_world& world_;
    std::mt19937_64 random_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<connection> connection_;
    attempt attempt_;
    std::string method_;
    std::string path_;
    std::string body_;
    bool gathered_ = false;
    bool open_ = false; ///< a request is in progress
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace bramleymux::soak
