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

/// What operators are told of the fleet.
struct fleet_status
{
    std::vector<known_vm> vms;
    std::vector<vm_ref> view;
    bool may_act = false;
    bool platform_reachable = false;
};

/// Parts that the control thread works on.
struct fleet_parts
{
    blackboard& board;
    peer_transport& peers;
    dispatcher& sink;
    target_executor& executor;
    table_controller& tables;
    report_controller& reports;
    ownership_guard& ownership;
    metrics& counters;
};

/// Handles a message of a type that the fleet controller does not know, and
/// runs on the control thread.
using control_extension = std::function<void(const peer_message&)>;

/// Runs on the control thread every `config::owner_update_period`, with the
/// live peers.
using control_frame = std::function<void(const std::vector<vm_identity>&)>;

class fleet_controller
{
public:
    fleet_controller(fleet_parts parts, vm_identity self, std::uint64_t seed,
        bool direct, control_extension extension, control_frame frame);
    ~fleet_controller();

    fleet_controller(const fleet_controller&) = delete;
    fleet_controller&
    operator=(const fleet_controller&) = delete;

    void
    start();

    /// Queues a control message; called from the io thread.
    void
    post(peer_message message);

    /// A table that the platform returned.
    void
    post_table(std::uint64_t version, nlohmann::json value);

    void
    post_vm_list(std::vector<vm_list_entry> list);

    void
    set_platform_reachable(bool reachable);

    /// Whether this VM should hold a watch on the table.
    bool
    watches() const;

    /// Hands the targets over to the other VMs of the zone. False when no
    /// other VM has taken over at `until`.
    bool
    release_targets(monotonic_time until);

    /// Tells the other VMs that this run ends.
    void
    leave();

    void
    stop();

    fleet_status
    status() const;

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
    tell_ended_work(monotonic_time now);
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
    control_extension extension_;
    control_frame frame_;

    // Used by the control thread only.
    membership_state members_;
    distribution_state tables_;
    std::vector<known_vm> known_;
    std::vector<std::string> owner_key_;
    std::shared_ptr<const catalog> owners_catalog_;
    monotonic_time next_owners_{};
    monotonic_time next_repeat_{};
    bool lease_held_ = false;
    std::uint32_t former_work_ = 0; ///< running at targets not owned any more
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
