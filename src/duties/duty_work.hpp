#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// What the holder of a duty does: plain types between the lease of a duty and
/// the owner of its work, which decides what is sent to the platform's API.
///
/// The owner is asked only while this VM holds the duty, and for one step at a
/// time. Times are those of the boot clock (`boot_time()`).
namespace bramleymux
{

/// A message that the lease object carries from holder to holder, for example a
/// call that must be repeated with the same bytes. The text is opaque.
struct duty_message
{
    std::string id;
    std::string text;
};

inline bool
operator==(const duty_message& a, const duty_message& b)
{
    return a.id == b.id && a.text == b.text;
}

/// One call to the platform's API. Holder and token are added by the sender.
struct duty_call
{
    std::string id; ///< returned with the result
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string content_type = "application/json";
};

enum class duty_step_kind
{
    none,          ///< nothing to do now; the owner is asked again soon
    write_pending, ///< replace the messages in the lease object
    send_call,
    count
};

inline constexpr name_table<duty_step_kind> duty_step_kind_names{
    "none", "write_pending", "send_call"};

/// What the owner of a duty asks for next.
struct duty_step
{
    duty_step_kind kind = duty_step_kind::none;
    /// For `write_pending`: all messages that the lease object shall hold, at
    /// most `config::max_duty_messages`. A message that is missing here is
    /// removed from the object. A list that is too long or too large is refused
    /// with `pending_refused`.
    std::vector<duty_message> pending;
    duty_call call; ///< for `send_call`
};

enum class duty_result_kind
{
    pending_written, ///< the lease object holds the messages of the last step
    pending_refused, ///< too many messages or bytes; nothing was written
    call_accepted,   ///< status 2xx
    call_refused,    ///< 4xx or 503: the call took no effect
    outcome_unknown, ///< sent without such a reply: it may take effect yet
    call_not_sent,   ///< not connected, or the lease ends too soon
    lease_lost,      ///< or released; a step in progress gets no other result
    count
};

inline constexpr name_table<duty_result_kind> duty_result_kind_names{
    "pending_written", "pending_refused", "call_accepted", "call_refused",
    "outcome_unknown", "call_not_sent", "lease_lost"};

struct duty_result
{
    duty_result_kind kind = duty_result_kind::lease_lost;
    std::string id; ///< of the call; empty for the other results
    int status = 0; ///< of the API's reply; 0 without one
};

/// This VM now holds the duty.
struct duty_grant
{
    std::uint64_t era = 0;   ///< of the store
    std::uint64_t token = 0; ///< fencing token
    /// Messages that the lease object holds, written by this VM or by former
    /// holders. Empty in a new era: the object of the old one is not used.
    std::vector<duty_message> pending;
};

/// Functions of the owner of a duty's work; all must be set. They are called
/// from the event loop, never from within each other. After a failed call the
/// next step is asked for only after a wait, so the owner may return the same
/// call again at once.
struct duty_work
{
    /// Called when this VM acquires the duty, before any `next`.
    std::function<void(const duty_grant&)> acquired;
    /// Returns the next step. Called while the lease is valid, no step is in
    /// progress and a call is allowed by the API's rate.
    std::function<duty_step(duration now)> next;
    std::function<void(const duty_result&)> finished;
};

} // namespace bramleymux
