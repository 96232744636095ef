#include "peer_link.hpp"

#include "config.hpp"
#include "log_events.hpp"
#include "peer_codec.hpp"

#include <algorithm>
#include <atomic>
#include <exception>
#include <iterator>
#include <mutex>
#include <random>
#include <unordered_map>
#include <utility>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr int protocol_version = 1;

/// State of one connection.
struct link
{
    std::string expected_id; ///< VM that this side dialled; empty if incoming
    vm_identity peer;        ///< from the hello; empty before it
    bool hello_accepted = false;
};

/// Connections to and from one VM.
struct peer_entry
{
    // Set once the hello is accepted.
    peer_channel_ptr outgoing;
    peer_channel_ptr incoming;
    std::uint64_t incarnation = 0; ///< of the open connections or the last one
    bool dialling = false;
    unsigned failures = 0; ///< consecutive failed connection attempts
    monotonic_time next_dial{};
};

/// First message on a connection; identifies the sender.
peer_message
make_hello(const vm_identity& self)
{
    return {peer_message_type::hello, self.id, self.incarnation,
        json{{"zone", self.zone}, {"peer_address", self.peer_address},
            {"protocol", protocol_version}}};
}

/// Returns false if a field is missing or too long or the protocol version
/// differs.
bool
parse_hello(const peer_message& message, vm_identity& out)
{
    const json& body = message.body;
    if (message.type != peer_message_type::hello || message.from.empty() ||
        !body.contains("zone") || !body["zone"].is_string() ||
        !body.contains("peer_address") || !body["peer_address"].is_string() ||
        !body.contains("protocol") || body["protocol"] != protocol_version)
    {
        return false;
    }
    out = {message.from, body["zone"].get<std::string>(),
        body["peer_address"].get<std::string>(), message.from_incarnation};
    return out.id.size() <= config::max_vm_field_bytes &&
           out.zone.size() <= config::max_vm_field_bytes &&
           out.peer_address.size() <= config::max_vm_field_bytes;
}

/// Returns the address with port 0 replaced by `port`.
std::string
with_port(const std::string& address, std::uint16_t port)
{
    const std::size_t colon = address.rfind(':');
    return colon != std::string::npos && address.substr(colon) == ":0"
               ? address.substr(0, colon + 1) + std::to_string(port)
               : address;
}

std::string
endpoint_detail(const vm_identity& peer)
{
    return "vm=" + peer.id + " zone=" + peer.zone +
           " address=" + peer.peer_address +
           " incarnation=" + std::to_string(peer.incarnation);
}

} // namespace

struct peer_link::impl
{
    impl(peer_link_settings given, peer_message_handler on_message)
        : settings(std::move(given)), handler(std::move(on_message)),
          random(settings.seed)
    {
    }

    void
    on_opened(const peer_channel_ptr& channel, const std::string& target)
    {
        {
            const std::lock_guard lock(mutex);
            links[channel.get()] = link{target, {}, false};
        }
        const auto hello = encode_peer_message(make_hello(self));
        if (hello)
        {
            channel->send(hello.value());
            count(stats.sent, peer_message_type::hello, hello.value().size());
        }
        channel->close_unless(config::peer_hello_timeout,
            [this, id = channel.get()] { return is_hello_accepted(id); });
    }

    bool
    is_hello_accepted(const peer_channel* channel)
    {
        const std::lock_guard lock(mutex);
        const auto found = links.find(channel);
        return found != links.end() && found->second.hello_accepted;
    }

    void
    on_received(const peer_channel_ptr& channel, std::string_view bytes)
    {
        auto decoded = decode_peer_message(bytes);
        if (!decoded)
        {
            reject_invalid(channel, decoded.error());
            return;
        }
        peer_message& message = decoded.value();
        count(stats.received, message.type, bytes.size());
        if (message.type == peer_message_type::hello)
        {
            on_hello(channel, message);
            return;
        }
        {
            const std::lock_guard lock(mutex);
            const auto found = links.find(channel.get());
            if (found == links.end() || !found->second.hello_accepted)
            {
                ++stats.refused;
                channel->close();
                return;
            }
            message.from = found->second.peer.id;
            message.from_incarnation = found->second.peer.incarnation;
        }
        try
        {
            handler(std::move(message));
        }
        catch (const std::exception&)
        {
            // An exception in a websocketpp handler ends its read loop.
            reject_invalid(channel, peer_codec_errc::wrong_type);
        }
    }

    void
    reject_invalid(const peer_channel_ptr& channel, peer_codec_errc error)
    {
        std::string from;
        {
            const std::lock_guard lock(mutex);
            ++stats.invalid;
            const auto found = links.find(channel.get());
            from = found == links.end() ? "" : found->second.peer.id;
        }
        log_event(event::peer_message_invalid,
            "vm=" + from + " error=" +
                std::string(
                    peer_codec_errc_names[static_cast<std::size_t>(error)]));
        if (from.empty())
        {
            channel->close();
        }
    }

    void
    on_hello(const peer_channel_ptr& channel, const peer_message& message)
    {
        vm_identity peer;
        peer_channel_ptr replaced;
        bool accepted = parse_hello(message, peer) && peer.id != self.id;
        {
            const std::lock_guard lock(mutex);
            const auto found = links.find(channel.get());
            if (found == links.end() || found->second.hello_accepted)
            {
                return;
            }
            link& current = found->second;
            accepted = accepted && (current.expected_id.empty() ||
                                       current.expected_id == peer.id);
            accepted =
                accepted && register_link(channel, current, peer, replaced);
            if (!accepted)
            {
                ++stats.refused;
            }
        }
        if (!accepted)
        {
            channel->close();
            return;
        }
        if (replaced)
        {
            replaced->close();
        }
        log_event(event::peer_connected, endpoint_detail(peer));
    }

    /// Returns false if a later incarnation of the peer has an open connection.
    /// `replaced` receives the connection whose place the new one takes.
    bool
    register_link(const peer_channel_ptr& channel, link& current,
        const vm_identity& peer, peer_channel_ptr& replaced)
    {
        drop_unused_entries();
        peer_entry& entry = peers[peer.id];
        const bool open = entry.outgoing || entry.incoming;
        if (open && entry.incarnation > peer.incarnation)
        {
            return false;
        }
        if (open && entry.incarnation < peer.incarnation)
        {
            entry.outgoing.reset();
            entry.incoming.reset();
        }
        entry.incarnation = peer.incarnation;
        current.peer = peer;
        current.hello_accepted = true;
        peer_channel_ptr& slot =
            current.expected_id.empty() ? entry.incoming : entry.outgoing;
        replaced = std::exchange(slot, channel);
        if (!current.expected_id.empty())
        {
            entry.dialling = false;
            entry.failures = 0;
        }
        return true;
    }

    /// Bounds the memory for VM ids that are no longer used.
    void
    drop_unused_entries()
    {
        if (peers.size() < 2 * config::max_vms)
        {
            return;
        }
        for (auto at = peers.begin(); at != peers.end();)
        {
            const peer_entry& entry = at->second;
            const bool unused =
                !entry.outgoing && !entry.incoming && !entry.dialling;
            at = unused ? peers.erase(at) : std::next(at);
        }
    }

    void
    on_closed(const peer_channel_ptr& channel)
    {
        link ended;
        {
            const std::lock_guard lock(mutex);
            const auto found = links.find(channel.get());
            if (found == links.end())
            {
                return;
            }
            ended = std::move(found->second);
            links.erase(found);
            if (ended.hello_accepted)
            {
                drop_channel(peers[ended.peer.id], channel);
            }
            else if (!ended.expected_id.empty())
            {
                back_off(peers[ended.expected_id]);
            }
        }
        if (ended.hello_accepted)
        {
            log_event(event::peer_disconnected, endpoint_detail(ended.peer));
        }
    }

    static void
    drop_channel(peer_entry& entry, const peer_channel_ptr& channel)
    {
        if (entry.outgoing == channel)
        {
            entry.outgoing.reset();
        }
        if (entry.incoming == channel)
        {
            entry.incoming.reset();
        }
    }

    void
    on_failed(const std::string& target)
    {
        const std::lock_guard lock(mutex);
        back_off(peers[target]);
    }

    /// Schedules the next connection attempt: exponential backoff with full
    /// jitter.
    void
    back_off(peer_entry& entry)
    {
        entry.dialling = false;
        const unsigned doublings = std::min(entry.failures, 16U);
        ++entry.failures;
        const duration bound = std::min<duration>(config::peer_reconnect_max,
            config::peer_reconnect_min * (1U << doublings));
        std::uniform_int_distribution<duration::rep> jitter(0, bound.count());
        entry.next_dial = monotonic_clock::now() + duration(jitter(random));
    }

    /// Returns an open channel to `to`, or null. Starts an outgoing connection
    /// if there is none.
    peer_channel_ptr
    channel_to(const vm_identity& to)
    {
        std::array<peer_channel_ptr, 2> outdated;
        peer_channel_ptr found;
        bool dial = false;
        {
            const std::lock_guard lock(mutex);
            peer_entry& entry = peers[to.id];
            if (to.incarnation > entry.incarnation)
            {
                outdated = {std::exchange(entry.outgoing, nullptr),
                    std::exchange(entry.incoming, nullptr)};
            }
            found = entry.outgoing ? entry.outgoing : entry.incoming;
            dial = !entry.outgoing && !entry.dialling &&
                   !to.peer_address.empty() &&
                   monotonic_clock::now() >= entry.next_dial;
            entry.dialling = entry.dialling || dial;
            if (!found)
            {
                ++stats.unreachable;
            }
        }
        for (const peer_channel_ptr& each : outdated)
        {
            if (each)
            {
                each->close();
            }
        }
        if (dial)
        {
            socket->connect(to.peer_address, to.id);
        }
        return found;
    }

    bool
    send(const vm_identity& to, const peer_message& message)
    {
        if (!socket || stopped || to.id == self.id)
        {
            return false;
        }
        const peer_channel_ptr channel = channel_to(to);
        if (!channel)
        {
            return false;
        }
        peer_message message_without_sender = message;
        message_without_sender.from.clear(); // the hello identifies the sender
        const auto bytes = encode_peer_message(message_without_sender);
        if (!bytes || channel->queued_bytes() + bytes.value().size() >
                          config::max_peer_send_queue_bytes)
        {
            const std::lock_guard lock(mutex);
            ++stats.overflowed;
            return false;
        }
        if (!channel->send(bytes.value()))
        {
            const std::lock_guard lock(mutex);
            ++stats.unreachable;
            return false;
        }
        count(stats.sent, message.type, bytes.value().size());
        return true;
    }

    void
    count(peer_link_stats::by_type& table, peer_message_type type,
        std::size_t bytes)
    {
        const std::lock_guard lock(mutex);
        traffic_count& each = table[static_cast<std::size_t>(type)];
        ++each.messages;
        each.bytes += bytes;
    }

    const peer_link_settings settings;
    const peer_message_handler handler;
    vm_identity self;
    std::uint16_t port = 0;
    std::atomic<bool> stopped{false};

    // Not to be held while calling a channel, the socket or the handler.
    mutable std::mutex mutex;
    std::unordered_map<const peer_channel*, link> links;
    std::unordered_map<std::string, peer_entry> peers;
    peer_link_stats stats;
    std::mt19937_64 random;

    // Last member: its destructor joins the io thread, which uses the others.
    std::unique_ptr<peer_socket> socket;
};

peer_link::peer_link(peer_link_settings settings, peer_message_handler handler)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(handler)))
{
}

peer_link::~peer_link()
{
    stop();
}

bool
peer_link::start()
{
    impl& i = *impl_;
    i.socket = make_peer_socket(i.settings.tls,
        {[&i](const peer_channel_ptr& channel, const std::string& target)
            { i.on_opened(channel, target); },
            [&i](const peer_channel_ptr& channel, std::string_view bytes)
            { i.on_received(channel, bytes); },
            [&i](const peer_channel_ptr& channel) { i.on_closed(channel); },
            [&i](const std::string& target) { i.on_failed(target); }});
    if (!i.socket)
    {
        return false;
    }
    i.self = i.settings.self;
    i.port = i.socket->listen(i.settings.bind_ip, i.settings.port);
    if (i.port == 0)
    {
        return false;
    }
    i.self.peer_address = with_port(i.self.peer_address, i.port);
    i.socket->run();
    return true;
}

void
peer_link::stop()
{
    if (!impl_->stopped.exchange(true) && impl_->socket)
    {
        impl_->socket->stop();
    }
}

std::uint16_t
peer_link::port() const
{
    return impl_->port;
}

const vm_identity&
peer_link::self() const
{
    return impl_->self;
}

bool
peer_link::send(const vm_identity& to, const peer_message& message)
{
    return impl_->send(to, message);
}

bool
peer_link::reload_tls()
{
    return impl_->socket && impl_->socket->reload_tls();
}

peer_link_stats
peer_link::stats() const
{
    const std::lock_guard lock(impl_->mutex);
    peer_link_stats out = impl_->stats;
    out.open_links = static_cast<std::uint64_t>(
        std::count_if(impl_->links.begin(), impl_->links.end(),
            [](const auto& each) { return each.second.hello_accepted; }));
    return out;
}

} // namespace bramleymux
