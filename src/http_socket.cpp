#include "http_socket.hpp"

#include "config.hpp"

#include <arpa/inet.h>
#include <civetweb.h>
#include <dirent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <set>
#include <thread>
#include <tuple>

namespace bramleymux::http_socket
{

namespace
{

/// IPv4 address and port in network byte order.
using endpoint = std::pair<std::uint32_t, std::uint16_t>;

/// Sockets of open connections, and endpoints with a connect in progress.
/// Connects to one endpoint run one at a time, so that the new socket is the
/// only unclaimed one with that peer.
struct socket_registry
{
    std::mutex mutex;
    std::condition_variable changed;
    std::set<int> claimed;
    std::set<endpoint> connecting;
};

/// Never destroyed, because a connect thread may run beyond main().
socket_registry&
sockets()
{
    static socket_registry* const instance = []
    {
        mg_init_library(MG_FEATURES_TLS);
        return new socket_registry;
    }();
    return *instance;
}

/// Returns nullopt if the host is not an IPv4 address.
std::optional<endpoint>
endpoint_of(const http_address& address)
{
    in_addr ip{};
    if (inet_pton(AF_INET, address.host.c_str(), &ip) != 1)
    {
        return std::nullopt;
    }
    return endpoint{ip.s_addr, htons(address.port)};
}

bool
has_peer(int socket, const endpoint& peer)
{
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    return getpeername(socket, reinterpret_cast<sockaddr*>(&name), &size) ==
               0 &&
           name.sin_family == AF_INET && name.sin_addr.s_addr == peer.first &&
           name.sin_port == peer.second;
}

/// Returns the socket that is connected to `peer` and not in the registry, or
/// -1. Requires `r.mutex` to be held.
int
find_unclaimed(const socket_registry& r, const endpoint& peer)
{
    DIR* const directory = opendir("/proc/self/fd");
    if (directory == nullptr)
    {
        return -1;
    }
    int found = -1;
    while (const dirent* entry = readdir(directory))
    {
        char* end = nullptr;
        const long fd = std::strtol(entry->d_name, &end, 10);
        if (*end == '\0' && r.claimed.count(static_cast<int>(fd)) == 0 &&
            has_peer(static_cast<int>(fd), peer))
        {
            found = static_cast<int>(fd);
            break;
        }
    }
    closedir(directory);
    return found;
}

mg_connection*
connect(const http_address& address)
{
    std::array<char, 256> error{};
    if (!address.tls)
    {
        return mg_connect_client(
            address.host.c_str(), address.port, 0, error.data(), error.size());
    }
    const http_tls& tls = *address.tls;
    mg_client_options options{};
    options.host = address.host.c_str();
    options.port = address.port;
    options.client_cert = tls.client_certificate.empty()
                              ? nullptr
                              : tls.client_certificate.c_str();
    options.server_cert = tls.server_certificate.c_str();
    options.host_name = tls.host_name.c_str();
    return mg_connect_client_secure(&options, error.data(), error.size());
}

/// Result of a connect, shared by the connect thread and the waiting caller.
struct pending_connect
{
    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
    bool abandoned = false; ///< the caller's deadline has passed
    connection_handle result;
};

void
run_connect(const http_address& address, const endpoint& peer,
    const std::shared_ptr<pending_connect>& pending)
{
    socket_registry& r = sockets();
    connection_handle result;
    result.connection = connect(address);
    {
        const std::lock_guard lock(r.mutex);
        if (result.connection != nullptr)
        {
            result.socket = find_unclaimed(r, peer);
            if (result.socket < 0)
            {
                mg_close_connection(result.connection);
                result.connection = nullptr;
            }
            else
            {
                r.claimed.insert(result.socket);
            }
        }
        r.connecting.erase(peer);
    }
    r.changed.notify_all();
    if (result.connection != nullptr)
    {
        const int on = 1;
        setsockopt(result.socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    std::unique_lock lock(pending->mutex);
    if (pending->abandoned)
    {
        lock.unlock();
        close(result);
        return;
    }
    pending->result = result;
    pending->done = true;
    pending->changed.notify_all();
}

/// Shuts sockets down at their deadlines, on one thread.
class watchdog
{
public:
    watchdog() : thread_([this] { run(); }) {}

    watchdog(const watchdog&) = delete;
    watchdog&
    operator=(const watchdog&) = delete;

    ~watchdog()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        thread_.join();
    }

    void
    add(const std::pair<monotonic_time, int>& entry)
    {
        bool is_earliest = false;
        {
            const std::lock_guard lock(mutex_);
            entries_.insert(entry);
            is_earliest = *entries_.begin() == entry;
        }
        if (is_earliest)
        {
            changed_.notify_one();
        }
    }

    void
    remove(const std::pair<monotonic_time, int>& entry)
    {
        const std::lock_guard lock(mutex_);
        entries_.erase(entry);
    }

private:
    void
    run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_)
        {
            if (entries_.empty())
            {
                changed_.wait(lock);
                continue;
            }
            const auto [deadline, socket] = *entries_.begin();
            if (deadline > monotonic_clock::now())
            {
                changed_.wait_until(lock, deadline);
                continue;
            }
            entries_.erase(entries_.begin());
            // Holds the lock, so that the guard cannot be destroyed and its
            // socket closed before the shutdown.
            ::shutdown(socket, SHUT_RDWR);
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::pair<monotonic_time, int>> entries_;
    bool stopping_ = false;
    std::thread thread_;
};

watchdog&
deadline_watchdog()
{
    static watchdog instance;
    return instance;
}

} // namespace

std::optional<connection_handle>
open(const http_address& address, monotonic_time deadline)
{
    const auto peer = endpoint_of(address);
    if (!peer)
    {
        return std::nullopt;
    }
    socket_registry& r = sockets();
    {
        std::unique_lock lock(r.mutex);
        if (!r.changed.wait_until(
                lock, deadline, [&] { return r.connecting.count(*peer) == 0; }))
        {
            return std::nullopt;
        }
        r.connecting.insert(*peer);
    }
    auto pending = std::make_shared<pending_connect>();
    std::thread(run_connect, address, *peer, pending).detach();
    std::unique_lock lock(pending->mutex);
    if (!pending->changed.wait_until(
            lock, deadline, [&] { return pending->done; }))
    {
        pending->abandoned = true;
        return std::nullopt;
    }
    if (pending->result.connection == nullptr)
    {
        return std::nullopt;
    }
    return pending->result;
}

void
close(const connection_handle& handle)
{
    if (handle.connection == nullptr)
    {
        return;
    }
    socket_registry& r = sockets();
    // Holds the lock over both steps, because another connection can get the
    // same descriptor as soon as it is closed.
    const std::lock_guard lock(r.mutex);
    mg_close_connection(handle.connection);
    r.claimed.erase(handle.socket);
}

bool
is_idle(int socket)
{
    char byte = 0;
    const auto n = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

deadline_guard::deadline_guard(int socket, monotonic_time deadline)
    : entry_(deadline, socket)
{
    deadline_watchdog().add(entry_);
}

deadline_guard::~deadline_guard()
{
    deadline_watchdog().remove(entry_);
}

} // namespace bramleymux::http_socket
