#pragma once

#include "target_pool.hpp"

#include <deque>

/// State behind target_pool, shared by its source files.
namespace bramleymux
{

struct target_pool::waiter
{
    monotonic_time stale_at{};
    std::function<bool()> ready;
};

struct target_pool::service_state
{
    service_rule rule;
    extra_load_window extra;
    std::vector<target_state*> targets;
    std::deque<waiter> waiters; ///< for a target with room
    bool waking = false;
    std::optional<version_share> rollout;
    rollout_counts counts;     ///< of both versions
    double fresh_credit = 0.0; ///< requests due to the version of the rollout
};

struct target_pool::entry
{
    target_state state;
    boost::asio::ip::tcp::endpoint endpoint;
    service_state* service = nullptr;
    std::vector<std::shared_ptr<target_link>> links;
    bool removed = false;
};

struct target_pool::pending_send
{
    entry* target = nullptr;
    send_order order;
    std::weak_ptr<target_link> link;
    monotonic_time since{};
    monotonic_time close_at = monotonic_time::max(); ///< of an abandoned send
    bool on_wire = false; ///< bytes of the request were sent
    bool silent = false;  ///< counted as unreachable already
};

} // namespace bramleymux
