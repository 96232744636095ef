#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <string>

namespace bramleymux::soak
{

/// How a request ended, as its caller saw it.
enum class attempt_end
{
    answered,         ///< one complete answer
    closed,           ///< the connection ended before any byte of an answer
    closed_in_answer, ///< the connection ended within an answer
    malformed,        ///< the bytes received are not an answer
    extra_bytes,      ///< more bytes followed a complete answer
    no_answer,        ///< neither an answer nor an end of the connection
    count
};

/// One request of a caller and its end.
struct attempt
{
    std::uint64_t id = 0;
    std::size_t caller = 0;
    std::size_t vm = 0;
    bool idempotent = true;
    bool permanent_route = true; ///< part of every desired state
    std::size_t key = 0;         ///< 0 = the one that is never revoked
    bool reused_connection = false;
    monotonic_time sent_at{}; ///< first byte
    monotonic_time ended_at{};
    attempt_end end = attempt_end::no_answer;
    /// The VM's kernel reset the connection, which tells that the VM did not
    /// read all that was sent.
    bool reset = false;
    int status = 0;
    /// The body is the one that belongs to `id`, or to the parts that a
    /// gathered answer names.
    bool own_body = false;
};

/// Length of the body of a long request: more than the kernel takes at once for
/// a target that does not read, and less than a desired state allows.
inline constexpr std::size_t long_body_bytes = 262000;

/// Returns the text of the key with this number.
std::string
key_text(std::size_t key);

} // namespace bramleymux::soak
