#pragma once

#include <memory>
#include <mutex>

namespace bramleymux
{

/// Latest immutable value of one part of the blackboard. Thread-safe; a reader
/// may keep the value that it got for as long as it needs it.
template <class T>
class published
{
public:
    /// Returns nullptr before the first `set`.
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
