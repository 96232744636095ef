#pragma once

#include "entry_context.hpp"
#include "rollout.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Rollouts of one VM: directs the traffic, pools evidence with the other VMs
/// and writes what a rollout has come to. Any VM can write; the order of the
/// VMs only staggers them, and each write is conditional on the revision that
/// it was decided on.
namespace bramleymux
{

/// What one VM has seen of the rollouts that run.
struct rollout_report
{
    struct entry
    {
        std::string service;
        std::string version;
        std::uint64_t created = 0; ///< of the order
        rollout_counts counts;
    };

    std::vector<entry> entries;
};

struct rollout_handlers
{
    std::function<void(const rollout_order&, rollout_state)> write_state;
    std::function<void(const rollout_report&)> write_report;
    /// Reports of other VMs are needed, or no longer.
    std::function<void(bool)> follow_reports;
};

class rollout_controller
{
public:
    rollout_controller(entry_context& context, std::string vm_id,
        rollout_limits limits, rollout_handlers handlers);

    void
    set_limits(rollout_limits limits);

    void
    put(const rollout_order& order);

    void
    remove(const std::string& service);

    void
    take_report(const std::string& vm, rollout_report&& report);

    /// All VMs, for the order in which they write.
    void
    set_vms(std::vector<std::string> ids);

    void
    tick();

private:
    struct rollout
    {
        rollout_order order;
        monotonic_time seen_at{};
        rollout_state verdict = rollout_state::running;
        monotonic_time decided_at{};
        monotonic_time write_at{};
    };

    void
    decide(rollout& r, monotonic_time now);
    void
    direct(const rollout& r, double share);
    void
    write_due(rollout& r, monotonic_time now);
    void
    report_due(monotonic_time now);
    rollout_counts
    pooled(const rollout_order& order) const;
    rollout_counts
    own_counts(const rollout_order& order) const;
    bool
    is_active() const;
    duration
    turn() const;
    void
    log_verdict(const rollout& r, const rollout_counts& counts);

    entry_context& context_;
    std::string vm_id_;
    rollout_limits limits_;
    rollout_handlers handlers_;
    std::map<std::string, rollout> rollouts_;       ///< by service
    std::map<std::string, rollout_report> reports_; ///< of other VMs
    std::vector<std::string> vms_;
    double reported_ = 0; ///< replies in the last report
    monotonic_time report_at_{};
    bool following_ = false;
};

} // namespace bramleymux
