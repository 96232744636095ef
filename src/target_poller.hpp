#pragma once

#include "blackboard.hpp"
#include "report_controller.hpp"
#include "target_client.hpp"
#include "target_executor.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Polls the status of the targets that this VM owns, publishes the reports to
/// the other VMs, and keeps connections to the targets open.
namespace bramleymux
{

class target_poller
{
public:
    /// Returns the number of connections to keep open to a target.
    using connection_count = std::function<std::size_t(const catalog_target&)>;

    /// Returns whether this VM currently polls a target.
    using ownership_test = std::function<bool(const catalog_target&)>;

    /// Starts the threads. `vm_id` is published as the publisher of the
    /// reports. The functions are called from the poller's threads.
    target_poller(blackboard& board, target_executor& executor,
        report_controller& reports, target_client& targets, ownership_test owns,
        std::string vm_id, connection_count wanted);
    ~target_poller();

    target_poller(const target_poller&) = delete;
    target_poller&
    operator=(const target_poller&) = delete;

    /// Requests a poll ahead of schedule, for example after the target refused
    /// a snapshot. Thread-safe.
    void
    request(target_handle target);

    /// Stops and joins the threads.
    void
    stop();

private:
    struct poll_state
    {
        std::atomic<bool> urgent{false};
        monotonic_time next{};
        std::uint32_t failures = 0; ///< consecutive
        target_report last;
    };

    void
    run(std::size_t index);
    void
    poll(const catalog_target& row, poll_state& state);
    bool
    is_stopping() const;

    blackboard& board_;
    target_executor& executor_;
    report_controller& reports_;
    target_client& targets_;
    ownership_test owns_;
    const std::string vm_id_;
    const connection_count wanted_;
    std::vector<poll_state> states_; ///< by target handle
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::array<std::thread, config::poller_threads> threads_;
};

} // namespace bramleymux
