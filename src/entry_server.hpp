#pragma once

#include "entry_query.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

/// Callers' connections of an entry VM, and its readiness.
namespace bramleymux
{

class caller_connection;
class gather_job;

/// Times of a graceful stop, counted from its begin.
struct stop_times
{
    duration keep_idle = std::chrono::milliseconds(2500);
    duration exit_at = std::chrono::milliseconds(5500);
};

class entry_server
{
public:
    entry_server(entry_context& context, stop_times times);
    ~entry_server();

    /// False when an address cannot be bound.
    bool
    listen(const std::string& callers, const std::string& readiness,
        const std::string& metrics, const std::string& peers);

    /// Handles requests of other VMs; it answers later.
    void
    set_peer_handler(std::function<void(
            const std::string& path, std::function<void(http_reply&&)>)>
            handler);

    /// Bound addresses in the order of `listen`.
    std::vector<std::string>
    addresses() const;

    /// The state that new requests pin. Versions never go back.
    bool
    adopt(std::shared_ptr<const desired_state> state);

    const desired_state*
    state() const
    {
        return state_.get();
    }

    /// Whether the VM knows enough to serve.
    void
    set_informed(bool informed);

    /// Begins a graceful stop; `done` is called when the process may exit.
    void
    stop(std::function<void()> done);

    /// Timeouts of connections and the progress of a stop.
    void
    tick();

private:
    friend class caller_connection;
    struct listener;

    void
    accept(listener& from);
    void
    on_accept(listener& from, boost::asio::ip::tcp::socket&& socket);
    bool
    is_ready() const;
    bool
    is_servable(const route_rule& route) const;
    bool
    is_cut_off() const;
    void
    update_reach();
    void
    route(caller_message&& message,
        const std::shared_ptr<caller_connection>& connection);
    /// Asks shards on behalf of a VM in another zone.
    void
    serve_order(http_request&& request,
        const std::shared_ptr<caller_connection>& connection);
    http_reply
    local_reply(const std::string& path) const;
    http_reply
    refuse(const caller_message& message, problem_code code, run_state run,
        std::string_view detail);
    void
    update_readiness();

    entry_context& context_;
    stop_times times_;
    std::shared_ptr<const desired_state> state_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::list<std::shared_ptr<caller_connection>> connections_;
    std::unordered_map<std::uint64_t, std::shared_ptr<gather_job>> jobs_;
    bool informed_ = false;
    bool reported_ready_ = false;
    bool cut_off_ = false;
    bool stopping_ = false;
    monotonic_time stop_began_{};
    std::function<void()> stopped_;
    std::function<void(const std::string&, std::function<void(http_reply&&)>)>
        peer_handler_;
};

} // namespace bramleymux
