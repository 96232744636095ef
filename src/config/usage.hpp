#pragma once

#include "config/units.hpp"

#include <cstdint>

/// Limits of the usage counts of workspaces.
namespace bramleymux::config
{

// A VM that is killed loses the counts since its last message, so the period
// bounds the loss to a tenth of a window of 5 s.
inline constexpr auto usage_message_period = 500ms;
// Period during a graceful stop, whose end is not announced.
inline constexpr auto usage_stop_period = 100ms;
inline constexpr auto usage_message_timeout = 400ms;
// A window is closed this long after its end. Replies that prove that a send
// ran nothing are taken off the count until then.
inline constexpr auto usage_settle_time = 1s;
inline constexpr auto usage_retention = 30s;
inline constexpr std::size_t max_usage_windows = 12;
// Of one window. A window with more is not exact.
inline constexpr std::size_t max_usage_workspaces = 4096;
// Counts that a collector keeps, 80 bytes each: 16 MB.
inline constexpr std::size_t max_usage_entries = 200'000;
// Processes of VMs that a collector knows: several times the VMs of a zone.
inline constexpr std::size_t max_usage_sources = 512;
inline constexpr std::size_t max_usage_message_bytes = 768 * kib;
inline constexpr std::size_t max_usage_message_items = 65'536;
inline constexpr std::size_t max_usage_message_depth = 6;

// Collectors of a zone to which each VM sends its counts. The reporter asks one
// more, since VMs may differ in which ones they reach.
inline constexpr std::size_t usage_collectors = 2;
inline constexpr std::size_t usage_collectors_asked = 3;
// VMs that the reporter asks itself, since their collectors lack their counts.
inline constexpr std::size_t max_missing_vms_asked = 16;
// A VM that answers none of so many questions, and sends nothing, is stopped
// or frozen, and runs nothing.
inline constexpr std::uint32_t usage_silent_after = 3;
inline constexpr auto usage_collector_retry = 3s;
inline constexpr auto usage_question_period = 600ms;
inline constexpr auto usage_question_timeout = 500ms;

// A report is sent by then even if VMs are missing, if the tolerance allows it.
// Leaves time for the write of the pending report and repeated calls.
inline constexpr auto usage_decision_lead = 2500ms;
inline constexpr auto usage_skip_lead = 1s;
// Largest parts of the time until a report is due that the leads take.
inline constexpr double usage_decision_lead_share = 0.25;
inline constexpr double usage_skip_lead_share = 0.1;
// A repeat of a report that is not answered.
inline constexpr auto usage_send_period = 400ms;
// A report that is not answered is repeated for this time after it was due.
inline constexpr auto usage_repeat_time = 10s;
// Reports that the lease object keeps: those of 30 s at windows of 5 s.
inline constexpr std::size_t max_pending_reports = 6;
// Clocks of VMs differ by less than this, once corrected.
inline constexpr auto usage_clock_margin = 1s;

// A clock that differs by more from the median of at least `min_clock_vms`
// VMs is set to the median.
inline constexpr auto max_clock_deviation = 300ms;
inline constexpr std::size_t min_clock_vms = 5;
// A slower exchange says too little about the time.
inline constexpr auto max_clock_round_trip = 200ms;
inline constexpr auto clock_sample_max_age = 15s;
// After a pause of the process, messages that waited in its sockets carry old
// times.
inline constexpr auto clock_pause_threshold = 250ms;
inline constexpr auto clock_pause_recovery = 1s;

} // namespace bramleymux::config
