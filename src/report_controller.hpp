#pragma once

#include "blackboard.hpp"
#include "target_executor.hpp"
#include "target_report.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Newest report of each target, and what follows from it: the routing index
/// and the facts about each target.
namespace bramleymux
{

class report_controller
{
public:
    report_controller(blackboard& board, target_executor& executor,
        std::string self, bool direct);

    /// A report that this VM polled.
    void
    publish(target_handle target, const target_report& report);

    /// Reports of a peer: taken when their publisher owns the target, or when
    /// they are newer than the publisher's last one.
    void
    on_message(const peer_message& message);

    /// Compiles what changed since the last call.
    void
    refresh();

    /// Own reports that `peer` has not been sent, as one message body; null
    /// when there are none. `repeat` sends all again.
    nlohmann::json
    changes_for(
        const std::string& peer, std::uint64_t incarnation, bool repeat);

    /// The message returned by `changes_for` was accepted by the link.
    void
    mark_sent(const std::string& peer, std::uint64_t incarnation);

    std::vector<target_report>
    all() const;

private:
    struct entry
    {
        target_report report;
        std::uint64_t revision = 0; ///< rises with each change worth sending
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
