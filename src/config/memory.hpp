#pragma once

#include "config/units.hpp"

/// Limits on the memory and the connections that callers may use.
namespace bramleymux::config
{

// Part of the VM's memory for requests and answers of callers. The rest holds
// the program, the copy of the store, and buffers that grow by copying.
inline constexpr double caller_memory_share = 0.25;
// Holds the longest reply of a target twice, as reply and as answer, and a
// long request.
inline constexpr std::size_t min_caller_memory = 16 * mib;
inline constexpr double min_memory_mb = 32;
inline constexpr double max_memory_mb = 1e6;
// Part of the memory for callers beyond which replies of targets are read one
// after the other: a half.
inline constexpr std::size_t reply_memory_divisor = 2;
// Part of it above which the connections of one address are closed first.
inline constexpr std::size_t address_memory_divisor = 2;
// A request up to this size is served also while the memory is used up.
inline constexpr std::size_t small_request_bytes = 64 * kib;
// Closing a connection that holds less would free too little.
inline constexpr std::size_t min_evicted_bytes = 16 * kib;
// Age from which the rate of a connection is known.
inline constexpr auto rate_grace = 250ms;
// Pause after a search for connections to close that found none.
inline constexpr auto relief_retry_delay = 10ms;
// A header that is still incomplete at this age may make room for a new
// connection.
inline constexpr auto header_grace = 1s;

// Less than half of what a modem of 14,400 bit/s takes.
inline constexpr double default_min_read_rate = 512; // bytes/s
inline constexpr auto default_read_span = 10s;
// Send buffer of a caller's connection while memory is limited. The kernel
// doubles it; without a bound it grows to 4 MiB.
inline constexpr int caller_send_buffer_bytes = 128 * 1024;
// Blocks of this size are returned to the system when they are freed. glibc
// raises its own threshold up to 32 MiB and then keeps freed blocks.
inline constexpr int memory_return_bytes = 128 * 1024;

// Part of the descriptors that callers do not get, and its bounds: connections
// to targets, other VMs and the store, listeners and the log.
inline constexpr double reserved_descriptor_share = 0.25;
inline constexpr std::size_t min_reserved_descriptors = 48;
inline constexpr std::size_t max_reserved_descriptors = 256;
inline constexpr double min_descriptors = 64;
inline constexpr double max_descriptors = 1e7;

} // namespace bramleymux::config
