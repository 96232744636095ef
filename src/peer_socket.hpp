#pragma once

#include <bramleymux/types.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// WebSocket connections with one io thread, plain or with mutual TLS. Keeps
/// websocketpp, which is slow to compile, out of other translation units.
namespace bramleymux
{

/// PEM files for mutual TLS between VMs. Connections are plain if
/// `certificate_file` is empty.
struct tls_files
{
    std::string certificate_file; ///< certificate chain of this VM
    std::string key_file;
    std::string ca_file; ///< authority that issues all peer certificates

    bool
    enabled() const
    {
        return !certificate_file.empty();
    }
};

/// One open connection. Thread-safe.
class peer_channel
{
public:
    virtual ~peer_channel() = default;

    /// Queues a binary message without blocking. Returns false if the
    /// connection has ended.
    virtual bool
    send(const std::string& bytes) = 0;

    /// Returns the number of bytes accepted by `send` and not yet written. May
    /// lag behind the writes of the io thread.
    virtual std::size_t
    queued_bytes() const = 0;

    virtual void
    close() = 0;

    /// Closes the connection if `done` returns false after `timeout`. `done` is
    /// called on the io thread.
    virtual void
    close_unless(duration timeout, std::function<bool()> done) = 0;
};

using peer_channel_ptr = std::shared_ptr<peer_channel>;

/// Callbacks, called on the io thread. `target` is the argument of `connect`,
/// or empty for an incoming connection.
struct peer_socket_events
{
    std::function<void(const peer_channel_ptr&, const std::string& target)>
        opened;
    std::function<void(const peer_channel_ptr&, std::string_view bytes)>
        received;
    std::function<void(const peer_channel_ptr&)> closed;
    std::function<void(const std::string& target)> failed;
};

class peer_socket
{
public:
    virtual ~peer_socket() = default;

    /// Binds and returns the bound port, or 0 on failure.
    virtual std::uint16_t
    listen(const std::string& ip, std::uint16_t port) = 0;

    /// Starts the io thread. No callback is invoked before this call.
    virtual void
    run() = 0;

    /// Opens a connection to `address` (IP:port) without blocking, then calls
    /// `opened` or `failed` with `target`.
    virtual void
    connect(const std::string& address, const std::string& target) = 0;

    /// Reads the TLS files again for new connections. Returns false if they
    /// cannot be used; the earlier ones then stay in use.
    virtual bool
    reload_tls() = 0;

    /// Closes every connection, waits up to `config::peer_close_timeout` for
    /// them to close, and joins the io thread. Does nothing before `run`.
    virtual void
    stop() = 0;
};

/// Returns null if the TLS files cannot be used.
std::unique_ptr<peer_socket>
make_peer_socket(const tls_files& files, peer_socket_events events);

} // namespace bramleymux
