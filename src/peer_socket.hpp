#pragma once

#include <bramleymux/types.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// WebSocket connections with one io thread, plain or with mutual TLS. Hides
/// websocketpp, which compiles slowly.
namespace bramleymux
{

/// PEM files of mutual TLS between VMs; plain when `certificate_file` is empty.
struct tls_files
{
    std::string certificate_file; ///< chain of this VM
    std::string key_file;
    std::string ca_file; ///< issuer that every peer must have

    bool
    enabled() const
    {
        return !certificate_file.empty();
    }
};

/// One open connection. Calls are safe from every thread.
class peer_channel
{
public:
    virtual ~peer_channel() = default;

    virtual bool
    send(const std::string& bytes) = 0;

    /// Bytes accepted by `send` and not yet written.
    virtual std::size_t
    queued_bytes() const = 0;

    virtual void
    close() = 0;

    /// Closes the connection after `timeout` unless `done` then holds.
    virtual void
    close_unless(duration timeout, std::function<bool()> done) = 0;
};

using peer_channel_ptr = std::shared_ptr<peer_channel>;

/// Called on the io thread. `target` is the argument of `connect`, or empty
/// for an incoming connection.
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

    /// Binds; returns the bound port, or 0.
    virtual std::uint16_t
    listen(const std::string& ip, std::uint16_t port) = 0;

    /// Starts the io thread; no event precedes it.
    virtual void
    run() = 0;

    /// Opens a connection to `address` (IP:port) without blocking. `failed`
    /// or `opened` follows.
    virtual void
    connect(const std::string& address, const std::string& target) = 0;

    /// Reads the TLS files again for new connections; on failure, the earlier
    /// ones stay in use.
    virtual bool
    reload_tls() = 0;

    /// Closes every connection and joins the io thread.
    virtual void
    stop() = 0;
};

/// Null when the TLS files cannot be used.
std::unique_ptr<peer_socket>
make_peer_socket(const tls_files& files, peer_socket_events events);

} // namespace bramleymux
