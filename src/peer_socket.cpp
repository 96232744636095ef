#include "peer_socket.hpp"

#include "config.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

namespace bramleymux
{

namespace
{

namespace asio = boost::asio;
namespace ssl = boost::asio::ssl;
using error_code = boost::system::error_code;
using tcp = asio::ip::tcp;
using ssl_context_ptr = std::shared_ptr<ssl::context>;

long
to_milliseconds(duration value)
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Returns null if a file cannot be used.
ssl_context_ptr
make_ssl_context(const tls_files& files)
{
    try
    {
        auto context = std::make_shared<ssl::context>(ssl::context::tls);
        context->set_options(ssl::context::default_workarounds |
                             ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                             ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
        context->set_verify_mode(
            ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
        context->load_verify_file(files.ca_file);
        context->use_certificate_chain_file(files.certificate_file);
        context->use_private_key_file(files.key_file, ssl::context::pem);
        // A resumed session would skip the verification of new certificates.
        SSL_CTX_set_session_cache_mode(
            context->native_handle(), SSL_SESS_CACHE_OFF);
        SSL_CTX_set_num_tickets(context->native_handle(), 0);
        return context;
    }
    catch (const boost::system::system_error&)
    {
        return nullptr;
    }
}

void
set_tcp_options(tcp::socket::lowest_layer_type& socket)
{
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    // A peer that disappears sends no reset. Without this limit the connection
    // would stay open for the kernel's retransmission time of about 15 minutes.
    const int limit =
        static_cast<int>(to_milliseconds(config::peer_unacked_timeout));
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
        sizeof(limit));
}

template <class Connection>
class channel final : public peer_channel,
                      public std::enable_shared_from_this<channel<Connection>>
{
public:
    channel(asio::io_context& io, const std::shared_ptr<Connection>& connection)
        : io_(io), connection_(connection)
    {
    }

    bool
    send(const std::string& bytes) override
    {
        const auto connection = connection_.lock();
        if (!connection)
        {
            return false;
        }
        const std::lock_guard lock(mutex_);
        queued_ += bytes.size();
        return !connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    std::size_t
    queued_bytes() const override
    {
        if (!update_posted_.exchange(true))
        {
            asio::post(io_,
                [self = this->shared_from_this()] { self->update_queued(); });
        }
        return queued_;
    }

    void
    close() override
    {
        if (const auto connection = connection_.lock())
        {
            std::error_code ignored;
            const std::lock_guard lock(mutex_);
            connection->close(
                websocketpp::close::status::going_away, "", ignored);
        }
    }

    void
    close_unless(duration timeout, std::function<bool()> done) override
    {
        const auto connection = connection_.lock();
        if (!connection)
        {
            return;
        }
        connection->set_timer(to_milliseconds(timeout),
            [this_connection = connection_, done = std::move(done)](
                const std::error_code& ec)
            {
                const auto open = this_connection.lock();
                if (!ec && open && !done())
                {
                    std::error_code ignored;
                    open->close(websocketpp::close::status::policy_violation,
                        "", ignored);
                }
            });
    }

private:
    /// Runs on the io thread: websocketpp reads its buffered amount without a
    /// lock. Only the io thread reduces the amount, and the mutex keeps other
    /// threads from increasing it meanwhile.
    void
    update_queued() const
    {
        update_posted_ = false;
        if (const auto connection = connection_.lock())
        {
            const std::lock_guard lock(mutex_);
            queued_ = connection->get_buffered_amount();
        }
    }

    asio::io_context& io_;
    std::weak_ptr<Connection> connection_; // owned by pending operations
    mutable std::mutex mutex_;
    // Last measured amount plus later sends.
    mutable std::atomic<std::size_t> queued_{0};
    mutable std::atomic<bool> update_posted_{false};
};

template <class ServerConfig, class ClientConfig>
class websocket_socket final : public peer_socket
{
public:
    websocket_socket(
        tls_files files, ssl_context_ptr context, peer_socket_events events)
        : files_(std::move(files)), context_(std::move(context)),
          events_(std::move(events))
    {
        configure(server_);
        configure(client_);
        server_.set_reuse_addr(true);
        server_.set_open_handler([this](websocketpp::connection_hdl handle)
            { opened(server_.get_con_from_hdl(std::move(handle)), {}); });
    }

    ~websocket_socket() override
    {
        stop();
    }

    std::uint16_t
    listen(const std::string& ip, std::uint16_t port) override
    {
        error_code ec;
        const auto address = asio::ip::make_address(ip, ec);
        if (ec)
        {
            return 0;
        }
        std::error_code listen_ec;
        server_.listen(tcp::endpoint(address, port), listen_ec);
        if (listen_ec)
        {
            return 0;
        }
        server_.start_accept(listen_ec);
        if (listen_ec)
        {
            return 0;
        }
        const std::uint16_t bound = server_.get_local_endpoint(ec).port();
        return ec ? 0 : bound;
    }

    void
    run() override
    {
        thread_ = std::thread([this] { run_events(); });
    }

    void
    connect(const std::string& address, const std::string& target) override
    {
        asio::post(io_, [this, address, target] { dial(address, target); });
    }

    bool
    reload_tls() override
    {
        ssl_context_ptr context =
            files_.enabled() ? make_ssl_context(files_) : nullptr;
        if (files_.enabled() && !context)
        {
            return false;
        }
        const std::lock_guard lock(mutex_);
        context_ = std::move(context);
        return true;
    }

    void
    stop() override
    {
        if (!thread_.joinable())
        {
            return;
        }
        asio::post(io_, [this] { close_all(); });
        {
            std::unique_lock lock(mutex_);
            channels_changed_.wait_for(lock, config::peer_close_timeout,
                [this] { return stopping_ && channels_.empty(); });
        }
        io_.stop();
        thread_.join();
    }

private:
    using server = websocketpp::server<ServerConfig>;
    using client = websocketpp::client<ClientConfig>;

    template <class Endpoint>
    void
    configure(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&io_);
        endpoint.set_max_message_size(config::max_peer_message_bytes);
        endpoint.set_open_handshake_timeout(
            to_milliseconds(config::peer_hello_timeout));
        endpoint.set_close_handshake_timeout(
            to_milliseconds(config::peer_close_timeout));
        endpoint.set_tcp_pre_init_handler(
            [&endpoint](websocketpp::connection_hdl handle)
            {
                set_tcp_options(endpoint.get_con_from_hdl(std::move(handle))
                                    ->get_raw_socket());
            });
        if constexpr (!std::is_same_v<ServerConfig, websocketpp::config::asio>)
        {
            endpoint.set_tls_init_handler(
                [this](const websocketpp::connection_hdl&)
                {
                    const std::lock_guard lock(mutex_);
                    return context_;
                });
        }
    }

    void
    run_events()
    {
        const auto work = asio::make_work_guard(io_);
        while (!io_.stopped())
        {
            try
            {
                io_.run();
            }
            catch (const std::exception&)
            {
                // An error on one connection must not stop the others.
                continue;
            }
        }
    }

    void
    dial(const std::string& address, const std::string& target)
    {
        std::error_code ec;
        const auto connection = client_.get_connection(
            (files_.enabled() ? "wss://" : "ws://") + address + "/peer", ec);
        if (ec || is_stopping())
        {
            events_.failed(target);
            return;
        }
        connection->set_open_handler(
            [this, target](websocketpp::connection_hdl handle)
            { opened(client_.get_con_from_hdl(std::move(handle)), target); });
        connection->set_fail_handler(
            [this, target](const websocketpp::connection_hdl&)
            { events_.failed(target); });
        client_.connect(connection);
    }

    template <class ConnectionPtr>
    void
    opened(const ConnectionPtr& connection, const std::string& target)
    {
        using connection_type = typename ConnectionPtr::element_type;
        const peer_channel_ptr new_channel =
            std::make_shared<channel<connection_type>>(io_, connection);
        connection->set_message_handler(
            [this, new_channel](const websocketpp::connection_hdl&,
                const typename connection_type::message_ptr& message)
            { events_.received(new_channel, message->get_payload()); });
        connection->set_close_handler(
            [this, new_channel](const websocketpp::connection_hdl&)
            {
                events_.closed(new_channel);
                remove_channel(new_channel);
            });
        {
            const std::lock_guard lock(mutex_);
            channels_.push_back(new_channel);
        }
        if (is_stopping())
        {
            new_channel->close();
        }
        events_.opened(new_channel, target);
    }

    void
    remove_channel(const peer_channel_ptr& closed)
    {
        const std::lock_guard lock(mutex_);
        channels_.erase(std::remove(channels_.begin(), channels_.end(), closed),
            channels_.end());
        channels_changed_.notify_all();
    }

    void
    close_all()
    {
        std::error_code ignored;
        server_.stop_listening(ignored);
        std::vector<peer_channel_ptr> open;
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            open = channels_;
            channels_changed_.notify_all();
        }
        for (const peer_channel_ptr& each : open)
        {
            each->close();
        }
    }

    bool
    is_stopping()
    {
        const std::lock_guard lock(mutex_);
        return stopping_;
    }

    // Destroyed last, because pending operations refer to it.
    asio::io_context io_;
    const tls_files files_;
    std::mutex mutex_; // guards context_, channels_ and stopping_
    ssl_context_ptr context_;
    std::vector<peer_channel_ptr> channels_;
    bool stopping_ = false;
    std::condition_variable channels_changed_;
    const peer_socket_events events_;
    server server_;
    client client_;
    std::thread thread_;
};

} // namespace

std::unique_ptr<peer_socket>
make_peer_socket(const tls_files& files, peer_socket_events events)
{
    // These two functions detect the byte order on their first call without
    // synchronization, which would be a data race between two io threads.
    static const std::uint64_t byte_order =
        websocketpp::lib::net::_ntohll(websocketpp::lib::net::_htonll(1));
    if (byte_order != 1)
    {
        return nullptr;
    }
    if (!files.enabled())
    {
        return std::make_unique<websocket_socket<websocketpp::config::asio,
            websocketpp::config::asio_client>>(
            files, nullptr, std::move(events));
    }
    ssl_context_ptr context = make_ssl_context(files);
    if (!context)
    {
        return nullptr;
    }
    return std::make_unique<websocket_socket<websocketpp::config::asio_tls,
        websocketpp::config::asio_tls_client>>(
        files, std::move(context), std::move(events));
}

} // namespace bramleymux
