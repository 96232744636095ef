#pragma once

#include <cstdint>
#include <string>

/// What targets answer to a request, and what a caller therefore gets.
namespace bramleymux::soak
{

/// Shards of the gathered route.
inline constexpr std::size_t shard_count = 2;

/// Size of one record of a part.
inline constexpr std::size_t record_bytes = 16;

/// Returns the only body that a target sends to the request `id` of a route
/// that is not gathered.
std::string
body_of(std::uint64_t id);

/// Returns the only part that a target of a shard sends to the request `id`,
/// and the stamp that goes with it.
std::string
part_of(std::size_t shard, std::uint64_t id);
std::string
stamp_of_part(std::size_t shard, std::uint64_t id);

/// Returns whether a gathered answer to `id` holds the whole parts whose stamps
/// it names, and nothing else.
bool
is_merged_answer(
    std::uint64_t id, const std::string& stamps, const std::string& body);

} // namespace bramleymux::soak
