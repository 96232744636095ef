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

/// At-most-once execution of non-idempotent requests by records in the
/// platform.
namespace bramleymux
{

enum class claim_outcome
{
    proceed,
    duplicate_done,    ///< answer with the stored outcome
    duplicate_running, ///< 409, run=unknown
    mismatch,          ///< 422: the key was used with another request
    refused_not_run,   ///< the platform cannot confirm the claim
    count
};

inline constexpr name_table<claim_outcome> claim_outcome_names{"proceed",
    "duplicate_done", "duplicate_running", "mismatch", "refused_not_run"};

/// A claim that proceeds. Pass it to `complete`.
struct claim
{
    std::string key; ///< of the record
    std::string attempt;
    std::string fingerprint;
    std::int64_t at_ms = 0;
    std::uint64_t version = 0; ///< of the record
};

struct claim_result
{
    claim_outcome outcome = claim_outcome::count;
    claim claimed;
    nlohmann::json stored; ///< outcome of the first run
    std::string reason;
};

struct claim_request
{
    std::string service;
    std::string key;     ///< value of Idempotency-Key
    std::string attempt; ///< unique id, never used again
    std::string body;    ///< route and body, for the fingerprint
};

/// An attempt that was refused and will never run, although its record may
/// exist.
struct void_note
{
    std::string key; ///< of the record
    std::string attempt;
    std::string fingerprint;
    std::int64_t at_ms = 0;
};

struct call_time
{
    monotonic_time now;
    std::int64_t unix_ms = 0;
};

/// "idem/{service}/{SHA-256 of the key}".
std::string
record_key(const std::string& service, const std::string& key);

/// Thread-safe; calls block on the platform.
class idempotency
{
public:
    idempotency(platform_api& platform, std::uint64_t seed);

    /// Claims the key before the first byte is sent to a target. The request
    /// may be sent only after `proceed`.
    claim_result
    claim_key(const claim_request& request, const call_time& time);

    /// Stores the outcome. `not_run` frees the key for a repeat; `unknown`
    /// leaves the record as it is, so that a repeat is told so. A write that
    /// fails is kept and retried.
    void
    complete(const claim& done, run_state run, const nlohmann::json& outcome,
        const call_time& time);

    /// Retries kept voids and outcomes that are due; returns how many were
    /// resolved.
    std::size_t
    retry_pending(const call_time& time);

    /// Voids not yet written, for the peers.
    std::vector<void_note>
    open_voids() const;

    /// Takes over a peer's void, in case that peer dies.
    void
    add_void(const void_note& note, const call_time& time);

    std::size_t
    pending() const;

private:
    struct pending_write
    {
        claim target;
        nlohmann::json outcome; ///< null for a void
        monotonic_time due;
        backoff delays;
    };

    claim_result
    read_duplicate(const claim& own, bool& again);

    claim_result
    take_over(const claim& own, std::uint64_t version, bool& again);

    bool
    is_void(const std::string& attempt) const;

    void
    keep(pending_write write, monotonic_time now);

    bool
    write_pending(const pending_write& write);

    platform_api& platform_;
    mutable std::mutex mutex_; ///< guards the members below
    std::deque<pending_write> pending_;
    std::mt19937_64 random_;
};

/// Place in the records of all services; 256 groups by the first byte of the
/// key's hash keep each list short.
struct expiry_cursor
{
    std::size_t service = 0;
    unsigned group = 0;
};

/// Deletes records older than `config::idempotency_expiry` in one group, at
/// most `config::expiry_batch_size`, and moves on. Only the lease holder calls
/// it. Returns how many were deleted.
std::size_t
expire_records(platform_api& platform, const std::vector<std::string>& services,
    expiry_cursor& cursor, std::int64_t unix_ms);

} // namespace bramleymux
