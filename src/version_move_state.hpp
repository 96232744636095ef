#pragma once

#include "config.hpp"
#include "version_move.hpp"

/// State transitions of a move. Internal to version_move*.cpp.
namespace bramleymux
{

inline constexpr std::size_t last_move_step = config::move_steps.size() - 1;

/// Adds the replies since the last call to the counts of all routes and updates
/// the reply rate.
void
update_counts(const version_moves& moves, move_monitor& m, monotonic_time now);

/// Returns whether the new version gets traffic and is being tested.
bool
is_under_test(const move_monitor& m);

/// Restarts the test windows of all routes.
void
start_all_windows(move_monitor& m, monotonic_time now);

/// Enters a step and restarts the test windows. The last step begins the soak.
void
begin_step(move_monitor& m, std::size_t step, const move_clock& clock);

/// Discards the counts from before the move and begins its first step.
void
start_move(version_moves& moves, move_monitor& m, const move_clock& clock);

/// Ends a move; `phase` is done or withdrawn.
void
end_move(move_monitor& m, move_phase phase);

/// Adopts the phase and step of a peer if they are ahead of this VM's.
void
adopt_progress(version_moves& moves, move_monitor& m, move_phase phase,
    std::size_t step, const move_clock& clock);

} // namespace bramleymux
