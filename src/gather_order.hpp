#pragma once

#include "entry_wire.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages between a VM and its delegate in another zone, which queries
/// several shards of one request. One order and one merged reply cross the zone
/// boundary in place of a sub-request and a reply for each shard. Encoded as
/// CBOR.
namespace bramleymux
{

/// Path that accepts orders by POST. A GET of it is a probe, which succeeds if
/// orders are accepted.
inline constexpr std::string_view gather_path = "/v1/gather";

/// An order for several shards. Its deadlines count from its receipt.
struct gather_order
{
    caller_message message;  ///< `time_left`: until the caller's deadline
    duration reply_within{}; ///< deadline of the first reply, partial or not
    duration rest_within{};  ///< late replies can be collected until then
    duration expected{};     ///< expected reply time of a target
    std::size_t result_limit = 0;
    std::size_t min_shards = 0; ///< refused if fewer shards have room
    std::vector<std::string> shards;
};

enum class part_state
{
    answered,
    unsent,   ///< no byte reached a target
    rejected, ///< the target stated that it did not run it
    unknown,  ///< sent; the target may have run it
    count
};

/// What a VM knows of the requests that a target takes from all VMs.
struct shared_notice
{
    std::string target_id;
    std::uint64_t started_ms = 0;     ///< of the target's process
    std::optional<double> rate_limit; ///< none if it has ended
    bool leaving = false;
};

/// Result of one shard.
struct gather_part
{
    part_state state = part_state::unsent;
    std::string proof;   ///< set if answered
    duration took{};     ///< reply time of the target, set if answered
    std::string records; ///< only in late replies, which are not merged
    /// What the asked target wants of all VMs, if there is anything to tell.
    std::optional<shared_notice> notice{};
};

/// Reply to an order, or to a request for its late replies.
struct gather_parts
{
    std::vector<gather_part> parts; ///< in the order of the shards
    std::string records;            ///< merged from the answered shards
    /// Id of the job whose sub-requests are still pending; 0 if none are. A GET
    /// of `rest_path` collects their replies, with a part for each shard in the
    /// same order.
    std::uint64_t rest = 0;
};

/// Returns the path to collect the late replies of an order.
std::string
rest_path(std::uint64_t rest);

/// Returns the job id in a path made by `rest_path`, or 0 for any other path.
std::uint64_t
parse_rest_path(const std::string& path);

std::string
encode_order(const gather_order& order);

/// Returns nullopt if the bytes are not a valid order.
std::optional<gather_order>
decode_order(const std::string& bytes);

std::string
encode_parts(const gather_parts& parts);

/// Returns nullopt if the bytes are not a valid reply.
std::optional<gather_parts>
decode_parts(const std::string& bytes);

} // namespace bramleymux
