#pragma once

#include "ownership.hpp"

#include <mutex>
#include <string>
#include <unordered_set>

namespace bramleymux
{

/// Ownership state of this VM under its lock: the control thread changes it,
/// the executor's threads read the lease before each send.
class ownership_guard
{
public:
    ownership_guard(const vm_ref& self, monotonic_time started)
        : state_(self, started)
    {
    }

    template <class Function>
    auto
    with(const Function& function)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return function(state_);
    }

    /// Names of the targets of the own zone; no VM sends to those of others.
    void
    set_zone_targets(std::unordered_set<std::string> names)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        zone_targets_ = std::move(names);
    }

    /// `monotonic_time::min()` when this VM may not send to the target.
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
