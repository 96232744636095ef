#include "worker_pool.hpp"

#include <utility>

namespace bramleymux
{

worker_pool::worker_pool(std::size_t max_threads) : max_threads_(max_threads) {}

worker_pool::~worker_pool()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_)
    {
        thread.join();
    }
}

void
worker_pool::post(task work, bool urgent)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (urgent)
    {
        tasks_.push_front(std::move(work));
    }
    else
    {
        tasks_.push_back(std::move(work));
    }
    if (idle_ < tasks_.size() && threads_.size() < max_threads_)
    {
        threads_.emplace_back([this] { run(); });
    }
    changed_.notify_one();
}

std::size_t
worker_pool::threads() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return threads_.size();
}

void
worker_pool::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;)
    {
        ++idle_;
        changed_.wait(lock, [&] { return stopping_ || !tasks_.empty(); });
        --idle_;
        if (tasks_.empty())
        {
            return;
        }
        task work = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
}

} // namespace bramleymux
