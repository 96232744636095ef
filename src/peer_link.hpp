#pragma once

#include "peer.hpp"
#include "peer_socket.hpp"

#include <array>
#include <memory>

/// Sends messages between VMs over persistent WebSocket connections.
namespace bramleymux
{

struct peer_link_settings
{
    vm_identity self; ///< port 0 in the peer address becomes the bound port
    std::string bind_ip;
    std::uint16_t port = 0; ///< 0 for an ephemeral port
    tls_files tls;
    std::uint64_t seed = 1; ///< for the reconnect jitter
};

struct traffic_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< encoded messages, without WebSocket framing
};

struct peer_link_stats
{
    using by_type = std::array<traffic_count,
        static_cast<std::size_t>(peer_message_type::count)>;

    by_type sent{};
    by_type received{};
    std::uint64_t unreachable = 0; ///< sends without an open link
    std::uint64_t overflowed = 0;  ///< sends over the message or queue limit
    std::uint64_t invalid = 0;     ///< failed to decode, or the handler threw
    std::uint64_t refused = 0;     ///< closed for a wrong or missing hello
    std::uint64_t open_links = 0;
};

/// Opens a connection to a peer on the first send and keeps it open. Messages
/// use the connection that this side opened, or else the one that the peer
/// opened. Each side sends a hello first; it identifies the sender of every
/// later message on the connection. Thread-safe after `start`.
class peer_link final : public peer_transport
{
public:
    /// `handler` runs on the io thread and must not block.
    peer_link(peer_link_settings settings, peer_message_handler handler);
    ~peer_link() override;

    peer_link(const peer_link&) = delete;
    peer_link&
    operator=(const peer_link&) = delete;

    /// Listens and starts the io thread. Returns false if the address or the
    /// TLS files cannot be used.
    bool
    start();

    /// Closes every connection. The handler is not called after `stop` returns.
    void
    stop();

    std::uint16_t
    port() const;

    /// Identity sent in the hello, with the bound port.
    const vm_identity&
    self() const;

    /// Returns false if there is no open link, its queue is full or the message
    /// is too large. The message is then dropped, never sent later. A link to
    /// an earlier incarnation than that of `to` is closed and opened again.
    bool
    send(const vm_identity& to, const peer_message& message) override;

    /// Reads the TLS files again for new connections. Returns false if they
    /// cannot be used; the earlier ones then stay in use.
    bool
    reload_tls();

    peer_link_stats
    stats() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bramleymux
