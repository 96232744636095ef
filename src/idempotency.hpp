#pragma once

#include "platform.hpp"
#include "platform_budget.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <string>
#include <vector>

/// At-most-once execution of non-idempotent requests. The platform holds one
/// record per idempotency key: `claimed` before the request is sent, `done`
/// once its outcome is stored, `void` when the request did not run and the key
/// may be claimed again.
namespace bramleymux
{

enum class claim_outcome
{
    proceed,           ///< claimed; the request may be sent
    duplicate_done,    ///< the request ran; answer with the stored outcome
    duplicate_running, ///< an earlier attempt may have run: 409, run=unknown
    mismatch,          ///< 422: the key was used with another request
    refused_not_run,   ///< the platform cannot confirm the claim; run=not_run
    count
};

inline constexpr name_table<claim_outcome> claim_outcome_names{"proceed",
    "duplicate_done", "duplicate_running", "mismatch", "refused_not_run"};

/// One attempt's claim on a key. Pass it to `complete` if it proceeds.
struct claim
{
    std::string key;           ///< of the record
    std::string attempt;       ///< unique id
    std::string fingerprint;   ///< hash of route and body
    std::int64_t at_ms = 0;    ///< Unix time
    std::uint64_t version = 0; ///< of the record; 0 until it is written
};

struct claim_result
{
    claim_outcome outcome = claim_outcome::count;
    claim claimed;         ///< set for `proceed`
    nlohmann::json stored; ///< outcome of the first run, for `duplicate_done`
    std::string reason;    ///< why the claim did not proceed, for callers
};

struct claim_request
{
    std::string service;
    std::string key;     ///< value of Idempotency-Key
    std::string attempt; ///< unique id, never reused
    std::string body;    ///< route and body, for the fingerprint
};

/// Claim of an attempt that was refused and will never run, although its record
/// may exist.
struct voided_claim
{
    std::string key; ///< of the record
    std::string attempt;
    std::string fingerprint;
    std::int64_t at_ms = 0; ///< Unix time of the claim
};

/// Time of a call by both clocks.
struct call_time
{
    monotonic_time now;       ///< for retries
    std::int64_t unix_ms = 0; ///< for records
};

/// Returns "idem/{service}/{SHA-256 of the key in hexadecimal}".
std::string
idempotency_record_key(const std::string& service, const std::string& key);

/// Claims keys and stores outcomes. Writes whose effect is unknown or that
/// failed are queued and retried by `retry_pending`. Thread-safe; calls block
/// on the platform.
class idempotency_store
{
public:
    idempotency_store(platform_api& platform, std::uint64_t seed);

    /// Claims the key. Call it before the first byte is sent to a target, and
    /// send the request only if the outcome is `proceed`. A claim that was sent
    /// to the platform but not confirmed is refused, and its void is queued.
    claim_result
    claim_key(const claim_request& request, const call_time& time);

    /// Stores the outcome of a request that ran. `not_run` voids the claim, so
    /// that a repeat may run; `unknown` leaves the record claimed, so that a
    /// repeat receives run=unknown. A write that fails is queued and retried.
    void
    complete(const claim& done, run_state run, const nlohmann::json& outcome,
        const call_time& time);

    /// Retries queued voids and outcomes that are due, up to
    /// `config::pending_batch_size`. Returns the number removed from the queue:
    /// written, superseded by another attempt, or expired.
    std::size_t
    retry_pending(const call_time& time);

    /// Returns the voids that are not yet written, for sending to peers.
    std::vector<voided_claim>
    pending_voids() const;

    /// Queues a peer's void, in case that peer fails before it writes it.
    void
    add_void(const voided_claim& voided, const call_time& time);

    /// Returns the number of queued writes.
    std::size_t
    pending() const;

private:
    struct pending_write
    {
        claim target;
        nlohmann::json outcome; ///< null for a void
        monotonic_time due;     ///< time of the next attempt
        backoff delays;
    };

    claim_result
    resolve_existing_record(const claim& own, bool& retry);

    claim_result
    replace_voided_record(const claim& own, std::uint64_t version, bool& retry);

    bool
    is_void(const std::string& attempt) const;

    void
    enqueue(pending_write write, monotonic_time now);

    bool
    write_pending(const pending_write& write);

    platform_api& platform_;
    mutable std::mutex mutex_; ///< guards the members below
    std::deque<pending_write> pending_;
    std::mt19937_64 random_;
};

/// Position of the expiry in the records of all services. The records of a
/// service form 256 groups by the first byte of the key's hash, so that each
/// listing stays short.
struct expiry_cursor
{
    std::size_t service = 0;
    unsigned group = 0;
};

/// Deletes the records of the cursor's group that are older than
/// `config::idempotency_expiry`, at most `config::expiry_batch_size` of them,
/// and advances the cursor when the group is finished. Called only by the
/// holder of the controller lease. Returns the number of deleted records.
std::size_t
expire_records(platform_api& platform, const std::vector<std::string>& services,
    expiry_cursor& cursor, std::int64_t unix_ms);

} // namespace bramleymux
