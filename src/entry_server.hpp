#pragma once

#include "entry_query.hpp"
#include "memory/memory_limits.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

/// Listeners and server connections of an entry VM, its readiness, and its
/// graceful stop.
namespace bramleymux
{

class caller_connection;
class gather_job;
struct connection_end;
struct connection_resources;

/// Times of a graceful stop, from its start. Idle connections stay open until
/// `close_idle_after`. At `exit_after`, running requests are answered with what
/// is in or with an unknown outcome, and the process exits.
struct stop_times
{
    duration close_idle_after = std::chrono::milliseconds(2500);
    duration exit_after = std::chrono::milliseconds(5500);
};

/// Serves callers, other VMs, and readiness and metrics requests on one event
/// loop.
class entry_server
{
public:
    entry_server(entry_context& context, stop_times times);
    ~entry_server();

    /// Opens the listeners (IP:port; none for an empty address). Logs an
    /// address that cannot be opened; `tick` tries it again. Returns
    /// `is_listening`.
    bool
    listen(const std::string& callers, const std::string& readiness,
        const std::string& metrics, const std::string& peers);

    /// Returns whether all listeners are open that the VM needs: all but that
    /// of the metrics.
    bool
    is_listening() const;

    /// Sets the handler of other VMs' requests, except for orders. It may
    /// answer later. Must be set before the first such request.
    void
    set_peer_handler(std::function<void(
            const std::string& path, std::function<void(http_reply&&)>)>
            handler);

    /// Sets a handler of other VMs' requests whose paths begin with `prefix`,
    /// ahead of the general one.
    void
    add_peer_handler(std::string prefix,
        std::function<void(
            const parsed_request&, std::function<void(http_reply&&)>)>
            handler);

    /// Sets the test of whether this VM knows the keys of the workspaces as of
    /// so recently that no revoked one is accepted. Without it, always.
    void
    set_key_guard(std::function<bool()> are_keys_current);

    /// Sets the limits of connections that are opened from now on.
    void
    set_memory_limits(const memory_limits& limits);

    /// Returns the bound addresses in the order of the parameters of `listen`.
    std::vector<std::string>
    addresses() const;

    /// Sets the desired state for new requests. Returns false, and changes
    /// nothing, unless its version is newer than the current one.
    bool
    adopt(std::shared_ptr<const desired_state> state);

    /// Returns null before the first `adopt`.
    const desired_state*
    state() const
    {
        return state_.get();
    }

    /// Sets whether the VM has read all records that it serves from. Without
    /// them it is not ready and refuses orders.
    void
    set_synced(bool synced);

    /// Begins a graceful stop. `done` is called when the process may exit.
    void
    stop(std::function<void()> done);

    /// Applies timeouts, updates readiness and advances a stop; called
    /// periodically.
    void
    tick();

private:
    friend class caller_connection;
    struct listener;
    struct planned_listener;
    struct open_connection;

    /// Opens a listener, or logs why it cannot be opened and returns false.
    bool
    open(const planned_listener& planned);
    void
    open_planned_listeners();
    void
    accept(listener& from);
    void
    retry_accept(listener& from);
    void
    on_accept(listener& from, boost::asio::ip::tcp::socket&& socket);
    /// Accepts the connections in the listen backlogs. Returns whether there
    /// were any.
    bool
    accept_waiting();
    bool
    is_ready() const;
    /// Returns whether requests with keys are served, if the state has any.
    bool
    accepts_keys() const;
    bool
    is_servable(const route_rule& route) const;
    bool
    is_cut_off() const;
    void
    update_cut_off();
    void
    route(caller_message&& message,
        const std::shared_ptr<caller_connection>& connection);
    /// Returns whether the request may run, and names its workspace. Answers it
    /// otherwise.
    bool
    admit_key(const route_rule& rule, caller_message& message,
        std::uint32_t& priority,
        const std::shared_ptr<caller_connection>& connection);
    void
    serve_peer(parsed_request&& request,
        const std::shared_ptr<caller_connection>& connection);
    /// Handles an order of a VM in another zone, or its request for late
    /// replies.
    void
    serve_order(parsed_request&& request,
        const std::shared_ptr<caller_connection>& connection);
    /// Returns the reply to a readiness or metrics request.
    http_reply
    local_reply(const std::string& path) const;
    http_reply
    refuse(const caller_message& message, problem_code code, run_state run,
        std::string_view detail);
    /// Logs a connection that this VM closed with a request unanswered.
    void
    on_connection_end(const connection_end& end, std::string_view listener_name,
        std::uint64_t opened_version);
    connection_resources
    make_resources();
    /// Returns the open connections of callers.
    std::vector<std::shared_ptr<caller_connection>>
    open_callers() const;
    /// Closes connections of callers until the memory is within its limit.
    void
    relieve_memory();
    /// Returns false for a large request while the memory is used up.
    bool
    has_memory_for(const caller_message& message);
    /// Returns whether a caller may connect. Closes an idle connection if there
    /// are too many.
    bool
    has_room_for_caller();
    void
    record_eviction(std::string_view listener_name, std::string_view cause,
        std::size_t bytes);
    void
    update_memory_gauges();
    void
    update_readiness();
    /// Time at which the process exits, during a stop.
    monotonic_time
    exit_at() const;
    bool
    can_finish(const route_rule& route) const;
    void
    end_stop_if_due(monotonic_time now, bool busy);
    void
    answer_all();

    entry_context& context_;
    stop_times times_;
    std::shared_ptr<const desired_state> state_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::vector<planned_listener> planned_listeners_; ///< not open yet
    monotonic_time next_listen_at_{};
    std::list<open_connection> connections_;
    std::list<std::weak_ptr<entry_query>> queries_; ///< maybe ended since
    /// Orders in progress, by id.
    std::unordered_map<std::uint64_t, std::shared_ptr<gather_job>> jobs_;
    std::shared_ptr<memory_account> memory_ =
        std::make_shared<memory_account>();
    std::size_t max_connections_ = 0; ///< of callers; 0 = no limit
    read_rate_limit read_rate_;
    bool relief_posted_ = false; ///< a call to `relieve_memory`
    monotonic_time next_relief_at_{};
    bool synced_ = false;
    bool reported_ready_ = false;
    bool cut_off_ = false; ///< from the targets of other zones
    bool stopping_ = false;
    monotonic_time stop_started_at_{};
    std::function<void()> on_stopped_;
    std::function<void(const std::string&, std::function<void(http_reply&&)>)>
        peer_handler_;
    std::vector<std::pair<std::string, std::function<void(const parsed_request&,
                                           std::function<void(http_reply&&)>)>>>
        prefix_handlers_; ///< of other VMs' requests, by the path's prefix
    std::function<bool()> are_keys_current_ = [] { return true; };
};

} // namespace bramleymux
