#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bramleymux::soak
{

enum class fault_kind
{
    new_state, ///< another desired state
    hang_up,   ///< SIGHUP
    pause,     ///< SIGSTOP, then SIGCONT
    terminate, ///< SIGTERM, and a restart after the exit
    kill,      ///< SIGKILL, and a restart
    freeze,    ///< a pause so long that what the VM knows may have changed
    odd_entry, ///< another program writes an entry that cannot be used
    leave,     ///< a target is removed from the store, and registers later
    cut_store, ///< the store leaves the calls of a VM without replies
    restore,   ///< the store goes back to a copy from before a target's leaving
    count
};

constexpr const char* fault_names[] = {"new_state", "hang_up", "pause",
    "terminate", "kill", "freeze", "odd_entry", "leave", "cut_store",
    "restore"};

/// What a desired state varies.
struct state_choice
{
    std::uint64_t idle_timeout_ms = 3000;
    std::uint64_t route_timeout_ms = 2000;
    std::uint64_t routes = 0; ///< bit N set: route /xN/ exists
};

struct planned_fault
{
    duration at{}; ///< since the start
    fault_kind kind = fault_kind::new_state;
    std::size_t vm = 0;
    duration length{};        ///< of a pause, or the delay of a restart; of a
                              ///< restore, the age of the copy
    state_choice state{};     ///< of a new state
    std::uint64_t choice = 0; ///< of an odd entry
};

/// Returns the faults of a run in order of time. The same arguments give the
/// same faults.
std::vector<planned_fault>
make_schedule(std::uint64_t seed, duration length, std::size_t vms);

/// Leaves out the faults after which a VM may not know what the store had.
void
keep_restores_only(std::vector<planned_fault>& schedule);

std::string
describe(const state_choice& state);

} // namespace bramleymux::soak
