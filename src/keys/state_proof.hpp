#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Decides whether the desired state in force on this VM is known to be so
/// recent that no revoked key is accepted, and which VM to ask if it is not.
/// Times are boot times (`boot_time`), so that suspensions count.
namespace bramleymux
{

/// A process starts without a proof.
struct state_proof
{
    /// The state in force is at least as new as the store's at this time.
    std::optional<duration> as_of;
};

/// Returns the age of a proof up to which keys are accepted: the revocation
/// bound less a margin for differences in clock rates.
duration
longest_proof_age(duration bound);

/// Returns the age of a proof from which other VMs are asked.
duration
question_age(duration bound);

/// Returns the longest wait of a watch of the desired state.
duration
proof_watch_wait(duration bound);

/// Records a successful list or watch, after what it returned has been applied.
/// `sent_at` is the time at which the call was sent: the store may have changed
/// at any time since, also if the reply was late.
void
record_store_proof(state_proof& proof, duration sent_at);

/// Records the age that another VM stated of its own proof. The state in force
/// must be the one that the answer named. The age counts from the question,
/// which was sent before the other VM determined its age.
void
record_peer_proof(state_proof& proof, duration asked_at, duration age);

/// Returns nullopt without a proof.
std::optional<duration>
age_of(const state_proof& proof, duration now);

bool
is_current(const state_proof& proof, duration now, duration bound);

/// Addresses of the VMs that may be asked.
struct proof_sources
{
    /// First relays of the zones, without this VM; they have young proofs.
    std::vector<std::string> relays;
    std::vector<std::string> others; ///< all VMs but this one
};

struct question_state
{
    duration next_at{};         ///< not earlier
    std::size_t relay = 0;      ///< index of the relay to ask
    std::uint32_t failures = 0; ///< questions since the last useful answer
};

/// Returns the address of the VM to ask now, or nullopt if no question is due.
/// One relay is asked until it fails, then the next one; after a failure, any
/// VM every other time.
/// `random` selects that VM. Call only while no question is in progress.
std::optional<std::string>
next_question(question_state& questions, const state_proof& proof, duration now,
    duration bound, const proof_sources& sources, std::uint64_t random);

/// Whether a process has made sure that no VM knows a newer desired state. A
/// store that was restored from an older copy may lack a revocation that VMs
/// know which ran before, so one that starts asks them before it accepts keys.
struct restart_check
{
    bool passed = false;
    std::vector<std::string> answered; ///< addresses of VMs, each once
};

/// Records the era of the store. A process that sees the store before any
/// restore needs no check.
void
record_store_era(restart_check& check, std::uint64_t era);

/// Records that a VM knows no newer state than the one in force here.
void
record_confirmation(restart_check& check, const std::string& address);

/// Returns whether proofs count: after confirmations of two VMs, or of the only
/// other one, or `bound` after the start, so that a fleet that starts
/// as a whole serves again.
bool
is_restart_checked(const restart_check& check, duration since_start,
    duration bound, std::size_t other_vms);

/// Records the end of a question. It was useful if the proof is now younger
/// than `question_age`: a VM that is cut off itself answers with a proof that
/// grows old.
void
record_question_end(question_state& questions, bool useful);

} // namespace bramleymux
