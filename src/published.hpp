#pragma once

#include <memory>
#include <mutex>

namespace bramleymux
{

/// Latest immutable value of one part of the blackboard. Readers keep the
/// value that they took for as long as they need it.
template <class T>
class published
{
public:
    std::shared_ptr<const T>
    get() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return value_;
    }

    void
    set(std::shared_ptr<const T> value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        value_.swap(value);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_;
};

} // namespace bramleymux
