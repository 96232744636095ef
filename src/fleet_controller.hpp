#pragma once

#include "blackboard.hpp"
#include "dispatcher.hpp"
#include "distribution.hpp"
#include "membership.hpp"
#include "metrics.hpp"
#include "ownership_guard.hpp"
#include "report_controller.hpp"
#include "table_controller.hpp"
#include "target_executor.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// The control thread of a VM: membership, ownership, table distribution and
/// target reports.
namespace bramleymux
{

/// Membership and ownership as the admin API reports them.
struct fleet_status
{
    std::vector<known_vm> vms;
    std::vector<vm_ref> view; ///< members of this zone's view
    bool may_act = false;     ///< this VM holds its ownership lease
    bool platform_reachable = false;
};

/// Components that the control thread drives.
struct fleet_parts
{
    blackboard& board;
    peer_transport& peers;
    dispatcher& request_dispatcher;
    target_executor& executor;
    table_controller& tables;
    report_controller& reports;
    ownership_guard& ownership;
    metrics& counters;
};

/// Handles messages of the types that the fleet controller does not handle
/// itself. Called on the control thread.
using control_message_handler = std::function<void(const peer_message&)>;

/// Called on the control thread every `config::owner_update_period` with the
/// live peers.
using periodic_task = std::function<void(const std::vector<vm_identity>&)>;

/// Runs the control thread. Thread-safe except for `start` and `stop`.
class fleet_controller
{
public:
    /// `direct`: this VM uses every target, whoever owns it (the baseline
    /// policy).
    fleet_controller(fleet_parts parts, vm_identity self, std::uint64_t seed,
        bool direct, control_message_handler message_handler,
        periodic_task task);
    ~fleet_controller();

    fleet_controller(const fleet_controller&) = delete;
    fleet_controller&
    operator=(const fleet_controller&) = delete;

    void
    start();

    /// Queues a control message. Called on the I/O thread.
    void
    post(peer_message message);

    /// Queues a table that was read from the platform.
    void
    post_table(std::uint64_t version, nlohmann::json value);

    void
    post_vm_list(std::vector<vm_list_entry> list);

    void
    set_platform_reachable(bool reachable);

    /// Whether this VM should watch the table at the platform.
    bool
    watches() const;

    /// Hands the targets over to the other VMs of the zone, and waits until
    /// `until`. Returns false if the controller was stopped meanwhile.
    bool
    release_targets(monotonic_time until);

    /// Announces to the other VMs that this VM leaves.
    void
    leave();

    void
    stop();

    fleet_status
    status() const;

    /// Returns where the table version is in force, as of the last tick.
    in_force_report
    in_force_of(std::uint64_t version) const;

private:
    struct platform_table
    {
        std::uint64_t version = 0;
        table_value value;
    };

    struct inbox
    {
        std::vector<peer_message> messages;
        std::vector<platform_table> tables;
        std::vector<std::vector<vm_list_entry>> lists;
    };

    void
    run();
    inbox
    wait_for_input();
    void
    handle(inbox input, monotonic_time now);
    void
    handle_message(const peer_message& message, monotonic_time now);
    void
    handle_ownership(const peer_message& message, monotonic_time now);
    void
    apply_distribution(const distribution_result& result);
    void
    tick(monotonic_time now);
    void
    report_ended_work(monotonic_time now);
    void
    handle_events(monotonic_time now);
    void
    update_view(monotonic_time now);
    void
    send(const membership_messages& messages);
    void
    send(ownership_actions actions);
    void
    send_to(const vm_ref& to, const peer_message& message);
    void
    refresh_owners(monotonic_time now);
    void
    refresh_zone_targets(const catalog& topology);
    void
    send_reports(monotonic_time now);
    std::vector<vm_identity>
    live_peers() const;
    void
    publish_status();

    fleet_parts parts_;
    const vm_identity self_;
    const bool direct_;
    control_message_handler message_handler_;
    periodic_task periodic_task_;

    // Accessed by the control thread only.
    membership_state members_;
    distribution_state tables_;
    std::vector<known_vm> known_;
    std::vector<std::string> owner_key_;
    std::shared_ptr<const catalog> owners_catalog_;
    monotonic_time next_owner_refresh_{};
    monotonic_time next_repeat_{};
    bool lease_held_ = false;
    std::uint32_t unowned_work_ = 0; ///< running at targets no longer owned
    std::vector<running_count> last_running_;

    mutable std::mutex inbox_mutex_;
    std::condition_variable wake_;
    inbox inbox_;
    bool platform_reachable_ = true;
    bool releasing_ = false;
    bool leaving_ = false;
    bool left_ = false;
    bool stopping_ = false;

    mutable std::mutex status_mutex_;
    fleet_status status_;

    std::thread thread_;
};

} // namespace bramleymux
