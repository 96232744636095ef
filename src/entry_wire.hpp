#pragma once

#include "http_codec.hpp"
#include "memory/memory_account.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Protocol-neutral messages of the entry path, and the functions by which an
/// adapter translates them to and from a deployment's HTTP.
namespace bramleymux
{

/// Request of a caller.
struct caller_message
{
    std::string id;
    std::string host;
    std::string method;
    std::string path;                  ///< with the query string
    std::optional<duration> time_left; ///< until the caller's deadline
    header_fields forwarded;           ///< end-to-end fields, unchanged
    std::string workspace;             ///< whose key the request carried
    std::string body;
    bool keep_alive = true;
};

/// Load that a target reports with a reply.
struct target_load
{
    std::uint32_t running = 0; ///< requests
    std::uint32_t waiting = 0; ///< requests
    std::uint32_t slots = 0;   ///< requests that it can run at once
};

/// What a target asks of the VMs in its replies.
struct target_notice
{
    /// Requests/s that it takes from all VMs together, while it says so.
    std::optional<double> rate_limit;
    /// Time in which it takes no request of this VM, stated with a rejection.
    std::optional<duration> retry_after;
    bool leaving = false; ///< it will stop soon
};

/// Reply of a target.
struct target_reply
{
    int status = 0;
    std::string request_id; ///< echoed from the request; empty if absent
    std::string proof;      ///< attests that the target produced the reply
    bool not_run = false;   ///< the target reports that the request did not run
    bool wrong_target = false; ///< another process listens at the address
    bool encoded = false;      ///< content-encoded: not the target's own bytes
    std::string target_id;     ///< reported by the replier; may be empty
    std::optional<target_load> load;
    target_notice notice;
    std::optional<duration> cold_start_left; ///< as the target reports it
    std::optional<duration> idle_limit; ///< idle time before the target closes
    header_fields forwarded;            ///< end-to-end fields for the caller
    std::string body;
    bool keep_alive = true;
    std::shared_ptr<const memory_charge> charge; ///< for the body
};

/// Answer merged from the replies of several shards.
struct gathered_answer
{
    std::vector<std::string_view> proofs; ///< one per answered shard
    std::size_t missing = 0;              ///< shards without a reply
    std::string records;                  ///< merged, greatest first
};

/// Function table of one adapter.
struct entry_wire
{
    caller_message (*read_request)(parsed_request&& request);
    /// Removes the caller's key, and a workspace that it named itself, from the
    /// forwarded fields. Returns the key; empty if there is none or several.
    std::string (*take_key)(caller_message& request);
    /// Returns the serialized request to the target `target_id`, which has the
    /// time `left` for it.
    std::string (*write_request)(const caller_message& request,
        const std::string& target_id, duration left);
    /// Returns the serialized health probe of the target at `address`.
    std::string (*write_health_request)(
        const std::string& path, const std::string& address);
    target_reply (*read_reply)(http_reply&& reply);
    http_reply (*write_answer)(target_reply&& reply);
    http_reply (*write_gathered)(gathered_answer&& answer);
};

} // namespace bramleymux
