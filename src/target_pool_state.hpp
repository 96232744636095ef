#pragma once

#include "target_pool.hpp"

#include <deque>

/// Private types of target_pool, shared by its source files.
namespace bramleymux
{

/// A request that waits for a target with capacity; see `wait_for_room`.
struct target_pool::waiter
{
    monotonic_time stale_at{};
    std::uint32_t priority = 0; ///< 0 = most urgent
    std::function<bool()> ready;
};

struct target_pool::service_state
{
    service_rule rule;
    extra_load_window extra;
    std::vector<target_state*> targets;
    std::deque<waiter> waiters; ///< in order of arrival
    bool waking = false;        ///< a call to `serve_waiter` is posted
    std::optional<rollout_share> rollout;
    rollout_counts counts;
    double fresh_credit = 0.0; ///< requests owed to the version of the rollout
};

struct target_pool::entry
{
    target_state state;
    boost::asio::ip::tcp::endpoint endpoint;
    service_state* service = nullptr;
    std::vector<std::shared_ptr<target_link>> links;
    std::uint64_t era = 0;     ///< of the store, when last put
    double hash = 0.0;         ///< of the target's id, 0 to 1
    std::size_t max_links = 1; ///< connections of this VM
    std::weak_ptr<target_link> probe_link;
    bool paused = false;            ///< until `target_state::paused_until`
    std::uint64_t probe_number = 0; ///< of the latest probe
    monotonic_time probe_until{};   ///< when its connection is closed
    std::uint32_t sent_since_rate_log = 0; ///< requests
    monotonic_time rate_logged_at{};
    bool removed = false; ///< dropped; idle connections are closed
};

struct target_pool::pending_send
{
    entry* target = nullptr;
    send_order order;
    std::weak_ptr<target_link> link;
    monotonic_time since{};
    /// Time at which the connection of an abandoned send is closed.
    monotonic_time close_at = monotonic_time::max();
    bool on_wire = false; ///< the request was handed to a connection
    /// The missing reply has been recorded as unresponsiveness.
    bool recorded_unresponsive = false;
};

} // namespace bramleymux
