#pragma once

#include "http_codec.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the entry path by their meaning, and the translation that an
/// adapter supplies.
namespace bramleymux
{

/// A caller's request.
struct caller_message
{
    std::string id;
    std::string host;
    std::string method;
    std::string path;                  ///< with the query
    std::optional<duration> time_left; ///< how long the caller waits
    header_fields forwarded;           ///< end-to-end fields, passed on as sent
    std::string body;
    bool keep_alive = true;
};

/// Load that a target reports with its replies.
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// A target's reply.
struct target_reply
{
    int status = 0;
    std::string request_id; ///< of the request that it answers; may be absent
    std::string proof;      ///< shows that the target made this reply
    bool not_run = false;   ///< the target states that it ran nothing
    bool wrong_target = false; ///< another process has the address
    bool encoded = false;      ///< the body is not the target's own bytes
    std::string target_id;     ///< the process that replied, when it says so
    std::optional<target_load> load;
    std::optional<duration> cold_left;  ///< remaining cold start
    std::optional<duration> idle_limit; ///< it closes idle connections then
    header_fields forwarded;            ///< end-to-end fields for the caller
    std::string body;
    bool keep_alive = true;
};

/// A merged answer of several shards.
struct gathered_answer
{
    std::vector<std::string_view> proofs; ///< of the parts that are in
    std::size_t missing = 0;              ///< shards that are left out
    std::string records;
};

/// Functions of one adapter.
struct entry_wire
{
    caller_message (*read_request)(http_request&& request);
    /// The whole request to a target; `left` is the time that it may take.
    std::string (*write_request)(const caller_message& request,
        const std::string& target_id, duration left);
    std::string (*write_health_request)(
        const std::string& path, const std::string& address);
    target_reply (*read_reply)(http_reply&& reply);
    http_reply (*write_answer)(target_reply&& reply);
    http_reply (*write_gathered)(gathered_answer&& answer);
};

} // namespace bramleymux
