#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Merge of the shards' records and the decision when a gathered answer goes
/// out.
namespace bramleymux
{

/// The greatest `limit` records of all parts, greatest first, compared byte by
/// byte. Equal records all count; a remainder shorter than a record is dropped.
std::string
merge_records(const std::vector<std::string_view>& parts, std::size_t limit);

struct gather_progress
{
    std::size_t shards = 0;
    std::size_t answered = 0;
    std::size_t open = 0; ///< shards that may still answer
    double min_coverage = 1.0;
    duration elapsed{};        ///< since the caller sent its request
    duration target_latency{}; ///< full credit until then
    duration give_up{};        ///< the caller or the route waits no longer
};

enum class gather_step
{
    wait,
    answer,
    fail,
    count
};

/// Whether the share of shards reaches `min_coverage`.
bool
is_enough(std::size_t shards, std::size_t of, double min_coverage);

bool
covers(const gather_progress& progress);

/// A partial answer waits for the missing shards until just before the target
/// latency, since credit grows with the square of the coverage and is nearly
/// lost after it.
gather_step
next_step(const gather_progress& progress);

/// Elapsed time at which `next_step` can change without another reply.
duration
next_decision(const gather_progress& progress);

} // namespace bramleymux
