#pragma once

#include "stand_in_target.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

/// What the targets of the soak do with a request besides serving it.
namespace bramleymux::soak
{

/// How a reply shows where its body ends.
enum class framing
{
    length,
    chunked,
    none, ///< by the end of the connection
    count
};

/// What a target does with one request.
struct conduct
{
    bool runs = true;
    int status = 200;
    framing body_framing = framing::length;
    bool cut = false;           ///< resets the connection within the reply
    bool resets = false;        ///< without any reply
    bool ends_in_order = false; ///< ends the connection after a whole reply
};

/// Chooses conducts from a seed of its own, so that the schedule of the faults
/// does not depend on them.
class conduct_source
{
public:
    explicit conduct_source(std::uint64_t seed);

    conduct
    next();

    /// Returns what a target does with a long request before it has read the
    /// body: it mostly replies and ends the connection.
    std::optional<conduct>
    next_early();

private:
    std::uint64_t
    random(std::uint64_t low, std::uint64_t high);
    framing
    any_framing();

    std::mt19937_64 random_;
};

/// Returns the reply that a conduct leads to. `fields` are the id and the
/// stamp, `body` is that of a success.
fixture::scripted_reply
reply_of(const conduct& c, const std::string& fields, const std::string& body);

} // namespace bramleymux::soak
