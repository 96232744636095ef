#pragma once

#include <bramleymux/types.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Which connections are closed when the memory for callers or the number of
/// connections is used up.
namespace bramleymux
{

/// What a connection is doing.
enum class holder_stage
{
    unused,    ///< idle, without any request so far
    idle,      ///< between two requests
    header,    ///< receives the header of a request
    body,      ///< receives the body of a request
    answering, ///< sends an answer
    busy,      ///< waits for an answer to send, or ends by itself
    count
};

/// A connection as seen by the decisions.
struct memory_holder
{
    std::string address; ///< of the caller, without its port
    holder_stage stage = holder_stage::unused;
    std::size_t held = 0;  ///< bytes
    std::size_t moved = 0; ///< bytes sent or received in this stage
    duration age{};        ///< of the stage
};

/// Returns the connections to close to free `excess` bytes, as indices. Those
/// that need longest to move at their rate what they hold come first, and
/// before all others those of an address whose connections together hold more
/// than `address_limit`. Neither requests in progress nor small holders are
/// chosen.
std::vector<std::size_t>
choose_evictions(const std::vector<memory_holder>& holders, std::size_t excess,
    std::size_t address_limit);

/// Returns the connection to close for a new one: the oldest that never sent a
/// request, else the one idle for longest, else one whose header takes long.
std::optional<std::size_t>
choose_idle(const std::vector<memory_holder>& holders);

} // namespace bramleymux
