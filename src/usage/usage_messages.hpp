#pragma once

#include "usage/true_clock.hpp"
#include "usage/usage_collector.hpp"

#include <optional>
#include <string>
#include <vector>

/// Messages between VMs on usage, encoded as CBOR. The decoders are bounded in
/// bytes, items, depth and lengths, and return nullopt for anything else than a
/// valid message.
namespace bramleymux
{

/// Path of the peer port that takes the counts of a VM by POST, and answers a
/// GET with "?window=N" with the counts of that window.
inline constexpr std::string_view usage_path = "/v1/usage";

/// Reply of a collector to a message.
struct usage_ack
{
    std::uint64_t process = 0; ///< random number of the collector's process
    clock_median median;
};

std::string
window_path(window_id window);

/// Returns nullopt unless `window_path` made the path.
std::optional<window_id>
parse_window_path(const std::string& path);

/// Removes the oldest windows of a message that would be too long.
void
limit_bytes(usage_message& message);

std::string
encode_usage_message(const usage_message& message);

std::optional<usage_message>
decode_usage_message(const std::string& bytes);

std::string
encode_usage_ack(const usage_ack& ack);

std::optional<usage_ack>
decode_usage_ack(const std::string& bytes);

std::string
encode_sources(const std::vector<source_usage>& sources);

std::optional<std::vector<source_usage>>
decode_sources(const std::string& bytes);

} // namespace bramleymux
