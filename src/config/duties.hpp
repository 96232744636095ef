#pragma once

#include "config/units.hpp"

#include <chrono>

/// Limits of the duties that one VM holds at a time.
namespace bramleymux::config
{

// In force if the settings name an API but no lease.
inline constexpr auto default_duty_lease = std::chrono::milliseconds(3000);
// The lease is valid for this share less than its length, which covers
// differences in clock rates (1%) and the timers of the event loop.
inline constexpr int duty_margin_divisor = 10;
// A lease that is renewed every third of its length survives one lost renewal.
inline constexpr int duty_renewals_per_lease = 3;

// VMs that may acquire a duty. Eight VMs of four equal zones are nearly never
// all in one zone, and their stale reads cost less than one consistent read a
// second.
inline constexpr std::size_t duty_candidates = 8;
// The first candidates read the lease object often, so that a hand-over is
// fast; the others only need to notice that these are gone.
inline constexpr std::size_t duty_first_candidates = 2;
inline constexpr auto duty_first_read_period = std::chrono::seconds(1);
inline constexpr auto duty_read_period = std::chrono::seconds(3);

// A call to the store without a reply for this time is resolved by a read. Two
// such calls fit between the time at which a renewal is due and the end of a
// lease of 3 s.
inline constexpr auto duty_store_timeout = std::chrono::milliseconds(700);
// Waits after failed calls to the store: refused calls have a price as well.
inline constexpr auto duty_retry_base = std::chrono::milliseconds(100);
inline constexpr auto duty_retry_max = std::chrono::milliseconds(800);

// The lease has to cover this time when a call to the platform's API is sent.
inline constexpr auto duty_call_timeout = std::chrono::milliseconds(500);
// Waits after calls to the API that failed; a 429 counts as a failure.
inline constexpr auto duty_call_retry_base = std::chrono::milliseconds(200);
inline constexpr auto duty_call_retry_max = std::chrono::seconds(2);
// Part of the API's rate that the holder uses. The rest is for the last calls
// of the former holder and for the API's own counting of a second.
inline constexpr double duty_rate_share = 0.5;

// Former holders that the lease object names. More holders than this cannot
// follow each other within one lease, since each reads the object first.
inline constexpr std::size_t max_duty_formers = 8;
// Messages that the lease object holds, and their bytes together: the store
// takes 1 MiB, and each renewal writes the object again.
inline constexpr std::size_t max_duty_messages = 6;
inline constexpr std::size_t max_duty_message_bytes = 768 * kib;

} // namespace bramleymux::config
