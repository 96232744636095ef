#pragma once

#include "sub_request.hpp"

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace bramleymux
{

/// Queue of the sub-replies to one query: any thread pushes, the query's thread
/// waits.
class mailbox
{
public:
    void
    push(sub_reply reply)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            replies_.push_back(std::move(reply));
        }
        wake_.notify_one();
    }

    /// Takes all queued replies. Blocks until there is one or `until` has
    /// passed; returns an empty vector on timeout.
    std::vector<sub_reply>
    wait(monotonic_time until)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        wake_.wait_until(lock, until, [this] { return !replies_.empty(); });
        return std::exchange(replies_, {});
    }

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<sub_reply> replies_;
};

} // namespace bramleymux
