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

/// Polls the status of the targets that this VM owns and keeps connections to
/// them open.
namespace bramleymux
{

class target_poller
{
public:
    /// Connections to keep open to a target.
    using connection_count = std::function<std::size_t(const catalog_target&)>;

    /// Whether this VM polls a target now.
    using ownership_test = std::function<bool(const catalog_target&)>;

    target_poller(blackboard& board, target_executor& executor,
        report_controller& reports, target_client& targets, ownership_test owns,
        std::string self, connection_count wanted);
    ~target_poller();

    target_poller(const target_poller&) = delete;
    target_poller&
    operator=(const target_poller&) = delete;

    /// Polls the target at once, for example after it refused a snapshot.
    void
    request(target_handle target);

    void
    stop();

private:
    struct poll_state
    {
        std::atomic<bool> urgent{false};
        monotonic_time next{};
        std::uint32_t failures = 0;
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
    const std::string self_;
    const connection_count wanted_;
    std::vector<poll_state> states_; ///< by target handle
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::array<std::thread, config::poller_threads> threads_;
};

} // namespace bramleymux
