#pragma once

#include "config/units.hpp"

#include <cstddef>
#include <cstdint>

/// Limits of the age of what a VM knows of the workspaces' keys.
/// docs/design/revocation.md derives the shares of the revocation bound.
namespace bramleymux::config
{

// Covers differences between the rates of the VMs' clocks, and nothing else.
inline constexpr double proof_margin_share = 0.01;
inline constexpr auto proof_margin = 50ms;
// A VM asks others once its proof is older than this share of the bound. The
// first relay of a zone does not reach it: its proof is at most two watches
// old.
inline constexpr double question_age_share = 0.3;
inline constexpr double proof_watch_share = 0.14;
inline constexpr auto min_proof_watch_wait = 50ms;
inline constexpr auto question_period = 250ms; // at most 4 questions/s
inline constexpr auto question_timeout = 300ms;
// Questions in a row without a young proof after which a VM that follows the
// store watches the desired state at short intervals itself.
inline constexpr std::uint32_t failures_before_watch = 2;
// VMs that a process asks after a restore of the store: one of them may have
// been cut off when the lost state was written.
inline constexpr std::size_t restart_confirmations = 2;
// Connections that are kept to VMs that were asked: three relays and one other.
inline constexpr std::size_t max_question_channels = 4;
// A desired state of 1 MiB grows while its keys are replaced by digests.
inline constexpr std::size_t max_freshness_bytes = 4 * mib;
inline constexpr auto max_stated_age = 1h;

} // namespace bramleymux::config
