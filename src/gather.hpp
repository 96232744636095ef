#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Merges the records of the shards and decides when the answer of a query is
/// sent.
namespace bramleymux
{

/// Returns the `limit` greatest records of all parts in descending byte order.
/// Duplicates are kept; a remainder shorter than a record is dropped.
std::string
merge_records(const std::vector<std::string_view>& parts, std::size_t limit);

/// Progress of one query over its shards.
struct gather_progress
{
    std::size_t shards = 0;
    std::size_t answered = 0;
    std::size_t open = 0; ///< shards whose reply is still pending
    double min_coverage = 1.0;
    duration elapsed{};        ///< since the caller sent its request
    duration target_latency{}; ///< answers up to here earn full credit
    duration give_up{};        ///< deadline of the caller or the route
};

enum class gather_step
{
    wait,
    answer,
    fail,
    count
};

/// Returns whether `shards` out of `of` reach the share `min_coverage`.
bool
reaches_coverage(std::size_t shards, std::size_t of, double min_coverage);

/// Returns whether at least one shard and `min_coverage` of all have answered.
bool
has_min_coverage(const gather_progress& progress);

/// Decides whether to answer, fail or keep waiting. A partial answer is held
/// until just before the target latency to let the missing shards reply: credit
/// grows with the square of the coverage and is nearly lost after that latency.
gather_step
next_step(const gather_progress& progress);

/// Returns the elapsed time at which the result of `next_step` may change
/// without another reply.
duration
next_decision_at(const gather_progress& progress);

} // namespace bramleymux
