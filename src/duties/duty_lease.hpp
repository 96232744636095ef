#pragma once

#include "duties/duty_work.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Lease of a duty: which VM holds it, proved by conditional writes of one
/// object in a store. A pure state machine; all times are those of this VM's
/// boot clock and are never compared with those of other VMs.
///
/// Each era of the store has its own object for a duty, so that neither a
/// restored object nor a delayed write of an earlier era can change the lease.
namespace bramleymux
{

struct duty_limits
{
    duration lease{};
    duration margin{};      ///< by which the holder stops before the end
    duration renew_after{}; ///< the send of the last successful write
};

/// A `lease` of zero stands for `config::default_duty_lease`.
duty_limits
make_duty_limits(duration lease);

/// Content of the lease object.
struct duty_record
{
    /// Of the store. In a write: the condition; 0 = the object must not exist.
    std::uint64_t revision = 0;
    std::string holder;        ///< id of the VM
    std::uint64_t claim = 0;   ///< random number of the holder's process
    std::uint64_t write = 0;   ///< number of the write within the process
    std::uint64_t counter = 0; ///< increases with each change of the holder
    /// Holders before this one, latest first.
    std::vector<std::string> formers;
    bool released = false;
    std::vector<duty_message> pending;
};

enum class duty_action_kind
{
    none,
    stale_read, ///< cheap; may return an old object
    read,
    write, ///< on the condition of `record.revision`
    count
};

struct duty_action
{
    duty_action_kind kind = duty_action_kind::none;
    std::uint64_t era = 0; ///< whose object is meant
    duty_record record;    ///< for `write`
};

enum class duty_reply_kind
{
    success,  ///< the object was read or written; the record is given
    conflict, ///< the condition failed; the record is given if it is known
    missing,  ///< the object does not exist
    refused,  ///< the call was not executed
    unknown,  ///< the call may have been executed, or may be executed later
    count
};

struct duty_reply
{
    duty_reply_kind kind = duty_reply_kind::unknown;
    /// Of the store when it replied; nullopt without a reply.
    std::optional<std::uint64_t> era;
    std::optional<duty_record> record;
};

struct duty_lease
{
    std::string self;        ///< id of this VM
    std::uint64_t claim = 0; ///< random number of this process
    duty_limits limits;
    duration started_at{};

    std::uint64_t era = 0;
    std::optional<duty_record> known;  ///< newest object of the era
    bool was_seen = false;             ///< an object of the era existed
    std::uint64_t highest_counter = 0; ///< seen in the era
    /// Since when `known`, or the absence of the object, has stayed the same.
    std::optional<duration> same_since;
    duration last_seen_at{}; ///< when a reply last confirmed it

    bool holding = false;      ///< `known` carries the claim of this process
    duration valid_until{};    ///< if holding; zero = not proved
    duration may_have_acted{}; ///< end of the latest validity so far
    bool releasing = false;    ///< this VM stops
    std::optional<std::vector<duty_message>> wanted_pending;

    duty_action_kind in_progress = duty_action_kind::none;
    std::uint64_t sent_era = 0;    ///< of the call in progress
    bool unresolved = false;       ///< the last write had no reply
    std::uint64_t writes_sent = 0; ///< also the number of the last write
    duration write_sent_at{};      ///< of the last write
    duration renew_at{};
    std::optional<duration> read_sent_at; ///< of the last read
    duration next_call_at{};              ///< not before, after a failure
    std::uint32_t failures = 0;           ///< in a row
};

duty_lease
make_duty_lease(
    std::string self, std::uint64_t claim, duration lease, duration now);

/// Returns the call to the store that is due, if any. `rank` is the position of
/// this VM among the candidates. Each action has to be recorded by
/// `record_sent` before it is sent, and its outcome by `record_read` or
/// `record_write_reply`.
duty_action
next_action(
    const duty_lease& lease, duration now, std::optional<std::size_t> rank);

void
record_sent(duty_lease& lease, duration now, const duty_action& action);

void
record_read(duty_lease& lease, duration now, const duty_reply& reply);

void
record_write_reply(duty_lease& lease, duration now, const duty_reply& reply);

/// A newer era than known ends the lease: the store lost the object. Returns
/// false if `era` is older than known.
bool
record_era(duty_lease& lease, duration now, std::uint64_t era);

/// The process did not run for a while: the lease has to be proved again before
/// the next call.
void
record_pause(duty_lease& lease, duration now);

/// The holder stops acting and releases the lease; a candidate no longer
/// acquires it. Call it once no call to the API is in progress, since the next
/// holder may act at once.
void
request_release(duty_lease& lease);

/// Has the holder replace the pending messages in the object.
void
set_pending(duty_lease& lease, std::vector<duty_message> pending);

/// Whether the object holds the messages of the last `set_pending`.
bool
is_pending_written(const duty_lease& lease);

/// Returns the fencing token if the lease is proved for `call_time` from now.
std::optional<std::uint64_t>
token_for(const duty_lease& lease, duration now, duration call_time);

/// Returns the token of the record in an era.
std::uint64_t
fencing_token(std::uint64_t era, std::uint64_t counter);

} // namespace bramleymux
