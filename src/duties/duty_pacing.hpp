#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>

/// When the holder of a duty may send its next call to the platform's API.
namespace bramleymux
{

struct duty_pacing
{
    duration interval{}; ///< between the sends of two calls
    duration next_call_at{};
    std::uint32_t failures = 0; ///< in a row
};

/// `calls_per_second` is what the API accepts from all VMs together; 0 = not
/// known.
duty_pacing
make_duty_pacing(double calls_per_second);

bool
may_call(const duty_pacing& pacing, duration now);

void
record_call_sent(duty_pacing& pacing, duration now);

/// Calls that fail are repeated after waits that double.
void
record_call_end(duty_pacing& pacing, duration now, bool accepted);

} // namespace bramleymux
