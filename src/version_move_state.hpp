#pragma once

#include "config.hpp"
#include "version_move.hpp"

/// State changes of one move, shared by the move's own source files.
namespace bramleymux
{

inline constexpr std::size_t last_move_step = config::move_steps.size() - 1;

/// Takes the replies since the last call into the counts of all routes.
void
update_counts(const version_moves& moves, move_monitor& m, monotonic_time now);

/// Whether the move's new version has traffic and is tested.
bool
is_watched(const move_monitor& m);

/// Starts the tests of all routes again.
void
start_all_windows(move_monitor& m, monotonic_time now);

void
begin_step(move_monitor& m, std::size_t step, const move_clock& clock);

void
start_move(version_moves& moves, move_monitor& m, const move_clock& clock);

/// Ends a move as done or withdrawn.
void
end_move(move_monitor& m, move_phase phase);

/// Takes over a peer's later phase or step.
void
adopt_progress(version_moves& moves, move_monitor& m, move_phase phase,
    std::size_t step, const move_clock& clock);

} // namespace bramleymux
