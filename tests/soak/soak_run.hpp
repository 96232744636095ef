#pragma once

#include "balancer.hpp"
#include "caller.hpp"
#include "deployment.hpp"
#include "report.hpp"
#include "vm_process.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace bramleymux::soak
{

struct soak_options
{
    std::uint64_t seed = 1;
    std::uint64_t seconds = 30;
    std::size_t callers = 60;
    /// At the end, stop all VMs at once while the callers still use them.
    bool vms_stop_first = false;
    /// Only restores of the store, new states, reloads and short pauses. The
    /// other faults leave few VMs of which it is certain that they knew.
    bool restores_only = false;
    std::string program;   ///< the entry program
    std::string directory; ///< for settings and logs of the VMs
};

/// Runs the VMs, the platform around them, the callers and the schedule on one
/// event loop.
class soak_run
{
public:
    explicit soak_run(const soak_options& options);

    /// Returns the report after the last process and caller have ended.
    const report&
    run();

private:
    int
    lock_address_block();
    void
    start_callers();
    void
    await_next_fault();
    void
    apply(const planned_fault& fault);
    void
    pause(const planned_fault& fault);
    /// Returns whether the VM handles signals.
    bool
    takes_signals(std::size_t vm) const;
    bool
    apply_to_vm(const planned_fault& fault);
    /// Applies a fault of the store. Returns false if it is in progress.
    bool
    apply_to_store(const planned_fault& fault);
    /// Returns false if a target has left, whose state the copy would lack.
    bool
    restore_store(const planned_fault& fault);
    bool
    may_have_missed_copy(std::size_t vm, monotonic_time now) const;
    void
    note_departure_known(monotonic_time now);
    /// Calls `action` after `wait`.
    void
    after(duration wait, std::function<void()> action);
    /// Returns whether the VM ran and reached the store for a while before.
    bool
    is_in_touch(std::size_t vm, monotonic_time at) const;
    void
    tick();
    void
    measure_lag(monotonic_time now);
    void
    check_vms(monotonic_time now);
    void
    end_run();
    bool
    stop_vms();
    bool
    stop_callers();
    void
    judge_until(monotonic_time limit);
    evidence
    evidence_of(const attempt& a) const;

    soak_options options_;
    boost::asio::io_context loop_{1};
    boost::asio::ip::tcp::acceptor block_lock_{loop_};
    journal journal_;
    report report_;
    deployment deployment_;
    std::vector<std::unique_ptr<vm_process>> vms_;
    std::vector<duration> restart_delays_;
    std::vector<std::vector<interval>> cuts_; ///< from the store, of each VM
    std::unique_ptr<balancer> balancer_;
    caller_world world_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<planned_fault> schedule_;
    std::size_t next_fault_ = 0;
    monotonic_time start_;
    monotonic_time last_tick_;
    monotonic_time copied_at_{}; ///< copy of the store for a restore
    /// For each VM, when its process of that time knew that the target leaves;
    /// zero if it may not have known before the store went back.
    std::vector<monotonic_time> knew_departure_at_;
    std::vector<interval> lags_; ///< in which this process did not run
    std::deque<attempt> unjudged_;
    std::uint64_t last_id_ = 0;
    bool ending_ = false;
    boost::asio::steady_timer fault_timer_{loop_};
    boost::asio::steady_timer tick_timer_{loop_};
};

} // namespace bramleymux::soak
