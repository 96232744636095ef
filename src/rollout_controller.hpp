#pragma once

#include "entry_context.hpp"
#include "rollout.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Runs rollouts on one VM: splits the traffic between versions, pools evidence
/// with the other VMs and writes the verdict to the store. Any VM may write it:
/// their rank only staggers the writes, and each write is conditional on the
/// revision that the decision was based on.
namespace bramleymux
{

/// Reply counts of one VM for the running rollouts.
struct rollout_report
{
    struct entry
    {
        std::string service;
        std::string version;
        std::uint64_t created = 0; ///< see rollout_order
        rollout_counts counts;
    };

    std::vector<entry> entries;
};

struct rollout_handlers
{
    /// The flag marks a state that the store had before it was restored.
    std::function<void(const rollout_order&, rollout_state, bool)> write_state;
    std::function<void(const rollout_report&)> write_report;
    /// Called with true when reports of other VMs are needed, with false when
    /// they no longer are.
    std::function<void(bool)> follow_reports;
    /// Returns whether the orders and the reports of other VMs are as the store
    /// has them, but for a short delay.
    std::function<bool()> is_evidence_current;
};

class rollout_controller
{
public:
    rollout_controller(entry_context& context, std::string vm_id,
        rollout_limits limits, rollout_handlers handlers);

    void
    set_limits(rollout_limits limits);

    /// Adds or updates the rollout of the order's service. An order with
    /// another version or creation revision starts the rollout anew.
    void
    put(const rollout_order& order);

    /// Ends the rollout of a service; its requests go to all versions again.
    void
    remove(const std::string& service);

    /// Keeps the share of a rollout that the restored store lacks, but writes
    /// nothing, until the next `put` or `remove`.
    void
    hold(const std::string& service);

    /// Writes the next report also without new replies, since the restored
    /// store may lack the last one.
    void
    repeat_report();

    /// Stores the latest report of a VM. Reports of this VM itself are ignored.
    void
    take_report(const std::string& vm, rollout_report&& report);

    /// Sets the ids of all VMs; their sorted order is the order of writing.
    void
    set_vms(std::vector<std::string> ids);

    /// Updates the shares and writes verdicts and reports that are due. Call
    /// regularly.
    void
    tick();

private:
    struct rollout
    {
        rollout_order order;
        monotonic_time seen_at{};
        rollout_state verdict = rollout_state::running;
        monotonic_time decided_at{};
        monotonic_time next_write_at{};
        /// Revision at which the store had the final verdict, if it had it.
        std::optional<store_revision> stored_at;
        /// The store had the verdict, was restored, and shows another state.
        bool lost = false;
        bool held = false; ///< see `hold`
    };

    /// Updates the verdict and the share. The verdict `completed` is reviewed
    /// until the store shows it, since evidence may arrive before the write.
    /// One that the store lost again by a restore stands: targets of the former
    /// version may have stopped on it.
    void
    decide(rollout& r, monotonic_time now);
    void
    compare_with_store(rollout& r, monotonic_time now);
    void
    apply_share(const rollout& r, double share);
    void
    write_if_due(rollout& r, monotonic_time now);
    void
    report_if_due(monotonic_time now);
    rollout_counts
    pooled_counts(const rollout_order& order) const;
    rollout_counts
    own_counts(const rollout_order& order) const;
    bool
    is_active() const;
    duration
    write_delay() const;
    void
    log_verdict(const rollout& r, const rollout_counts& counts);

    entry_context& context_;
    std::string vm_id_;
    rollout_limits limits_;
    rollout_handlers handlers_;
    std::map<std::string, rollout> rollouts_;       ///< by service
    std::map<std::string, rollout_report> reports_; ///< of other VMs
    std::vector<std::string> vms_;
    double reported_replies_ = 0; ///< number of replies in the last report
    monotonic_time next_report_at_{};
    bool following_ = false;
};

} // namespace bramleymux
