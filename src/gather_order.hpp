#pragma once

#include "entry_wire.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages by which a VM has several shards of one request asked by a VM in
/// another zone, so that one order and one merged reply cross the zones in
/// place of a sub-request and a reply for each shard. CBOR on the wire.
namespace bramleymux
{

/// Path of the orders. A GET without a body tells whether orders are taken.
inline constexpr std::string_view gather_path = "/v1/gather";

struct gather_order
{
    caller_message message;  ///< `time_left` is what the caller still waits
    duration reply_within{}; ///< the reply goes out by then, with what is in
    duration rest_within{};  ///< late replies are kept until then
    duration expected{};     ///< usual latency of the route
    std::size_t result_limit = 0;
    std::size_t least_parts = 0; ///< refused when fewer shards have room
    std::vector<std::string> shards;
};

enum class part_state
{
    answered,
    unsent,   ///< no byte reached a target
    rejected, ///< a target stated that it ran nothing
    unknown,  ///< sent, and may have run
    count
};

struct gather_part
{
    part_state state = part_state::unsent;
    std::string proof;   ///< of an answered shard
    duration took{};     ///< until an answered shard's reply
    std::string records; ///< of a late reply, which is not merged
};

struct gather_parts
{
    std::vector<gather_part> parts; ///< in the order of the shards
    std::string records;            ///< merged from the answered shards
    /// Names the sends that go on after the first reply; 0 = none. A GET of
    /// `rest_path` gets their replies, for all shards in the same order.
    std::uint64_t rest = 0;
};

/// Path that asks for the late replies of an order.
std::string
rest_path(std::uint64_t rest);

/// The number in such a path; 0 when it is none.
std::uint64_t
rest_of(const std::string& path);

std::string
encode_order(const gather_order& order);

/// Empty for bytes that are no order.
std::optional<gather_order>
decode_order(const std::string& bytes);

std::string
encode_parts(const gather_parts& parts);

/// Empty for bytes that are no such reply.
std::optional<gather_parts>
decode_parts(const std::string& bytes);

} // namespace bramleymux
