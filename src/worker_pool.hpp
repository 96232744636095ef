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

/// Thread pool for blocking calls. Threads are added on demand, up to a
/// maximum, and kept until destruction. Tasks must not throw.
class worker_pool
{
public:
    using task = std::function<void()>;

    explicit worker_pool(std::size_t max_threads);
    worker_pool(const worker_pool&) = delete;
    worker_pool&
    operator=(const worker_pool&) = delete;

    /// Runs all posted tasks, then joins the threads.
    ~worker_pool();

    /// Queues a task. Urgent tasks are put at the front of the queue.
    void
    post(task work, bool urgent = false);

    /// Returns the number of threads started.
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
