#pragma once

#include "peer.hpp"
#include "peer_socket.hpp"

#include <array>
#include <memory>

/// Messages between VMs over persistent WebSocket connections.
namespace bramleymux
{

struct peer_link_settings
{
    vm_identity self; ///< a peer address with port 0 takes the bound port
    std::string bind_ip;
    std::uint16_t port = 0; ///< 0 for an ephemeral port
    tls_files tls;
    std::uint64_t seed = 1; ///< of the reconnect jitter
};

struct traffic_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< encoded messages, without frames
};

struct peer_link_stats
{
    using by_type = std::array<traffic_count,
        static_cast<std::size_t>(peer_message_type::count)>;

    by_type sent{};
    by_type received{};
    std::uint64_t unreachable = 0; ///< sends without an open link
    std::uint64_t overflowed = 0;  ///< sends dropped above the queue's bound
    std::uint64_t invalid = 0;     ///< received and not decoded
    std::uint64_t refused = 0;     ///< connections closed for their hello
    std::uint64_t open_links = 0;
};

/// Opens a connection to a peer on the first send and keeps it. A message goes
/// over the connection that this side opened, or else over one that the peer
/// opened. The sender of every received message is the one that the hello of
/// its connection named.
class peer_link final : public peer_transport
{
public:
    /// `handler` runs on the io thread and must not block.
    peer_link(peer_link_settings settings, peer_message_handler handler);
    ~peer_link() override;

    peer_link(const peer_link&) = delete;
    peer_link&
    operator=(const peer_link&) = delete;

    /// False when the address or the TLS files cannot be used.
    bool
    start();

    /// Closes every connection; no message is handled after the return.
    void
    stop();

    std::uint16_t
    port() const;

    /// Identity that peers are told, with the bound port.
    const vm_identity&
    self() const;

    /// False when there is no open link, or its queue is full. Nothing is
    /// then sent later. A link to an earlier incarnation than that of `to` is
    /// closed and opened anew.
    bool
    send(const vm_identity& to, const peer_message& message) override;

    /// Applies to new connections; false when the files cannot be used.
    bool
    reload_tls();

    peer_link_stats
    stats() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bramleymux
