#pragma once

#include "duties/duty_work.hpp"
#include "usage/usage_exchange.hpp"
#include "usage/usage_report.hpp"

/// Reports the usage while this VM holds the duty: collects the counts of each
/// window from the collectors of all zones and hands the reports to the duty.
namespace bramleymux
{

/// Function table of an adapter.
struct usage_report_wire
{
    /// Returns the body of the report of a window.
    std::string (*write_report)(
        window_id window, const workspace_counts& counts);
    /// Returns the call that sends the body.
    duty_call (*make_call)(const std::string& body);
};

class usage_reporter
{
public:
    usage_reporter(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, usage_meter& meter, usage_exchange& exchange,
        std::string vm_id, const usage_limits& limits,
        const usage_report_wire& wire);
    ~usage_reporter();

    void
    set_vms(const std::vector<registered_vm>& vms);

    /// Returns the functions by which the duty uses this object.
    duty_work
    work();

    /// Collects and decides what is due; called periodically.
    void
    tick();

private:
    struct channel;

    void
    on_acquired(const duty_grant& grant);
    duty_step
    next_step();
    void
    on_finished(const duty_result& result);
    void
    on_sent(window_id window, bool accepted);
    void
    ask_collectors(duration now);
    void
    ask_missing_vms(duration now);
    void
    ask(const registered_vm& vm, bool is_collector);
    void
    on_reply(const registered_vm& vm, bool is_collector, window_id window,
        const call_reply& reply);
    void
    decide(duration now);
    void
    log_skipped();

    boost::asio::io_context& loop_;
    metrics& metrics_;
    decision_log& log_;
    usage_meter& meter_;
    usage_exchange& exchange_;
    std::string vm_id_;
    usage_report_wire wire_;
    usage_plan plan_;
    window_id window_ = 0; ///< that is being collected
    window_evidence evidence_;
    std::set<std::string> answered_zones_; ///< since collecting `window_`
    window_summary summary_;
    bool evidence_changed_ = false;
    std::vector<registered_vm> vms_;
    std::map<std::string, std::unique_ptr<channel>> channels_; ///< by address
    failed_collectors failed_;
    duration next_question_at_{}; ///< boot time
};

} // namespace bramleymux
