#pragma once

#include "idempotency.hpp"
#include "metrics.hpp"
#include "move_controller.hpp"
#include "peer.hpp"
#include "platform_lease.hpp"
#include "table_edit.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

/// Writes to the platform that no caller waits for: lasting withdrawals and
/// completions of moves, voids of claims, and, by the holder of the controller
/// lease alone, the status object and the expiry of records.
namespace bramleymux
{

/// Platform calls by purpose, so that each keeps to its own budget.
struct duty_platforms
{
    platform_api& table;
    platform_api& lease;
    platform_api& status;
    platform_api& list;
};

class platform_duties
{
public:
    /// Live peers, for claims that a peer should void if this VM dies.
    using peer_list = std::function<std::vector<vm_identity>()>;
    using status_source = std::function<nlohmann::json()>;

    platform_duties(duty_platforms platforms, idempotency& records,
        move_controller& moves, blackboard& board, peer_transport& peers,
        vm_identity self, peer_list live_peers, status_source status);
    ~platform_duties();

    platform_duties(const platform_duties&) = delete;
    platform_duties&
    operator=(const platform_duties&) = delete;

    void
    start();

    /// Gives the lease up and ends the thread.
    void
    stop();

    /// Takes a claim_void message of a peer.
    void
    on_message(const peer_message& message);

    bool
    holds_lease() const;

private:
    void
    run();
    void
    save_moves(monotonic_time now);
    void
    share_voids();
    void
    hold_duties(monotonic_time now);
    table_edit
    identity_of(const std::string& purpose) const;

    duty_platforms platforms_;
    idempotency& records_;
    move_controller& moves_;
    blackboard& board_;
    peer_transport& peers_;
    const vm_identity self_;
    peer_list live_peers_;
    status_source status_;
    platform_lease lease_; ///< of the thread
    expiry_cursor expiry_;
    monotonic_time next_status_{};
    monotonic_time next_expiry_{};
    monotonic_time unsaved_since_{};
    std::uint64_t edits_ = 0;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool holds_ = false;
    std::thread thread_;
};

} // namespace bramleymux
