#pragma once

#include "ownership.hpp"

#include <mutex>
#include <string>
#include <unordered_set>

namespace bramleymux
{

/// Ownership state of this VM, guarded by a mutex. The control thread changes
/// it; the executor's threads read the lease before each send. Thread-safe.
class ownership_guard
{
public:
    ownership_guard(const vm_ref& self, monotonic_time started)
        : state_(self, started)
    {
    }

    /// Calls `function` with the state while holding the lock and returns its
    /// result.
    template <class Function>
    auto
    with(const Function& function)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return function(state_);
    }

    /// Sets the names of the targets in this VM's zone; a VM never sends to
    /// targets of other zones.
    void
    set_zone_targets(std::unordered_set<std::string> names)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        zone_targets_ = std::move(names);
    }

    /// Returns the time until which this VM may send to the target, or
    /// `monotonic_time::min()` if it may not.
    monotonic_time
    lease_end_for(const std::string& target, monotonic_time now) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return zone_targets_.count(target) == 0
                   ? monotonic_time::min()
                   : state_.lease_end_for(target, now);
    }

private:
    mutable std::mutex mutex_;
    ownership_state state_;
    std::unordered_set<std::string> zone_targets_;
};

} // namespace bramleymux
