#pragma once

#include "blackboard.hpp"
#include "target_executor.hpp"
#include "target_report.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Latest report of each target, and the routing index and target facts that
/// are derived from the reports.
namespace bramleymux
{

/// Thread-safe.
class report_controller
{
public:
    /// `direct`: every VM uses every target, whoever owns it (the baseline
    /// policy).
    report_controller(blackboard& board, target_executor& executor,
        std::string self, bool direct);

    /// Stores a report that this VM polled.
    void
    publish(target_handle target, const target_report& report);

    /// Handles a target_report message from a peer. Accepts a report from the
    /// same publisher as the known one if it is newer, and from another
    /// publisher if that owns the target or no report is known.
    void
    on_message(const peer_message& message);

    /// Rebuilds the parts of the routing index that changed since the last
    /// call, and all target facts.
    void
    refresh();

    /// Returns the body of a message with this VM's own reports that have not
    /// been sent to `peer`, or with all of them if `repeat`. Null if there are
    /// none.
    nlohmann::json
    changes_for(
        const std::string& peer, std::uint64_t incarnation, bool repeat);

    /// Records that the link accepted the last message from `changes_for`.
    void
    mark_sent(const std::string& peer, std::uint64_t incarnation);

    std::vector<target_report>
    all() const;

private:
    struct entry
    {
        target_report report;
        std::uint64_t revision = 0; ///< of the last change that peers need
    };

    struct peer_progress
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sent = 0;    ///< highest revision accepted
        std::uint64_t offered = 0; ///< highest revision of the last message
    };

    bool
    accepts(target_handle target, const entry& known,
        const target_report& report) const;
    void
    store(target_handle target, const target_report& report);
    void
    refresh_facts(const catalog& topology);

    blackboard& board_;
    target_executor& executor_;
    const std::string self_;
    const bool direct_;
    mutable std::mutex mutex_;
    std::vector<entry> entries_; ///< by target handle
    std::map<std::string, peer_progress> peers_;
    std::uint64_t revision_ = 0;
    bool index_changed_ = true;
    std::shared_ptr<const catalog> compiled_;
    std::vector<service_handle> changed_services_;
};

} // namespace bramleymux
