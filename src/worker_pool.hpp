#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bramleymux
{

/// Threads for blocking calls; a thread is added when none is idle, up to a
/// maximum. Tasks must not throw.
class worker_pool
{
public:
    using task = std::function<void()>;

    explicit worker_pool(std::size_t max_threads);
    worker_pool(const worker_pool&) = delete;
    worker_pool&
    operator=(const worker_pool&) = delete;

    /// Runs every task that was posted, then ends the threads.
    ~worker_pool();

    /// Urgent tasks go before all others.
    void
    post(task work, bool urgent = false);

    std::size_t
    threads() const;

private:
    void
    run();

    const std::size_t max_threads_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<task> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace bramleymux
