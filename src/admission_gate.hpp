#pragma once

#include "admission.hpp"

#include <memory>
#include <mutex>

namespace bramleymux
{

/// Thread-safe admission control of this VM. With `unlimited` set (the baseline
/// policy), every request is admitted and nothing is recorded.
class admission_gate
{
public:
    explicit admission_gate(bool unlimited) : unlimited_(unlimited) {}

    void
    apply_catalog(const catalog& c)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        apply(state_, c);
    }

    admission_decision
    enter(route_handle route)
    {
        if (unlimited_)
        {
            return {true, miss_reason::none, {}};
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        return admit(state_, route, monotonic_clock::now());
    }

    void
    leave(route_handle route, duration spent)
    {
        if (!unlimited_)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            release(state_, route, spent, monotonic_clock::now());
        }
    }

    void
    record_reply(service_handle service, const sub_reply& reply)
    {
        if (!unlimited_)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            observe(state_, service, reply);
        }
    }

private:
    const bool unlimited_;
    std::mutex mutex_;
    admission_state state_;
};

} // namespace bramleymux
