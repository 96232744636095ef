#include "idempotency.hpp"

#include "config.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace bramleymux
{

namespace
{

using nlohmann::json;

constexpr std::string_view hex_digits = "0123456789abcdef";

/// Returns the digest in lower-case hexadecimal.
std::string
sha256(const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(
        text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string out;
    for (unsigned i = 0; i < size; ++i)
    {
        out += hex_digits[digest[i] >> 4U];
        out += hex_digits[digest[i] & 0x0fU];
    }
    return out;
}

json
record_of(const claim& c, const char* state, const json& outcome)
{
    json record{{"attempt", c.attempt}, {"state", state},
        {"fingerprint", c.fingerprint}, {"at_ms", c.at_ms}};
    if (!outcome.is_null())
    {
        record["outcome"] = outcome;
    }
    return record;
}

std::string
string_member(const json& record, const char* name)
{
    const auto at = record.find(name);
    return at != record.end() && at->is_string() ? at->get<std::string>() : "";
}

/// Returns true if a write that failed with `error` may have taken effect.
bool
may_have_taken_effect(platform_errc error)
{
    return error == platform_errc::reply_lost ||
           error == platform_errc::bad_reply;
}

claim_result
result_of(claim_outcome outcome, std::string reason)
{
    claim_result result;
    result.outcome = outcome;
    result.reason = std::move(reason);
    return result;
}

claim_result
proceed(const claim& own, std::uint64_t version)
{
    claim_result result = result_of(claim_outcome::proceed, "");
    result.claimed = own;
    result.claimed.version = version;
    return result;
}

std::string
reason_of(platform_errc error)
{
    return "the platform answered: " +
           std::string(platform_errc_names[static_cast<std::size_t>(error)]);
}

/// Returns the outcome to store. One above `config::max_outcome_bytes` is
/// replaced by a marker that the request ran.
json
stored_outcome(const json& outcome)
{
    const std::string text =
        outcome.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() <= config::max_outcome_bytes)
    {
        return outcome.is_null() ? json::object() : outcome;
    }
    return {{"run", "run"}, {"too_large", true}};
}

} // namespace

std::string
idempotency_record_key(const std::string& service, const std::string& key)
{
    return "idem/" + service + "/" + sha256(key);
}

idempotency_store::idempotency_store(platform_api& platform, std::uint64_t seed)
    : platform_(platform), random_(seed)
{
}

claim_result
idempotency_store::claim_key(
    const claim_request& request, const call_time& time)
{
    const claim own{idempotency_record_key(request.service, request.key),
        request.attempt, sha256(request.body), time.unix_ms, 0};
    bool in_doubt = false;
    claim_result result;
    for (std::size_t i = 0; i < config::max_claim_attempts; ++i)
    {
        const auto written =
            platform_.put(own.key, record_of(own, "claimed", nullptr), 0);
        if (written)
        {
            return proceed(own, written.value());
        }
        bool retry = false;
        if (written.error() == platform_errc::conflict ||
            may_have_taken_effect(written.error()))
        {
            in_doubt = in_doubt || may_have_taken_effect(written.error());
            result = resolve_existing_record(own, retry);
            if (result.outcome == claim_outcome::refused_not_run && !in_doubt &&
                !retry)
            {
                // The conflict shows that an earlier attempt has a record, so
                // that attempt may have run.
                result.outcome = claim_outcome::duplicate_running;
            }
            in_doubt = in_doubt || retry;
        }
        else
        {
            result = result_of(
                claim_outcome::refused_not_run, reason_of(written.error()));
        }
        if (!retry)
        {
            break;
        }
        result = result_of(
            claim_outcome::refused_not_run, "the claim could not be confirmed");
    }
    if (result.outcome == claim_outcome::refused_not_run && in_doubt)
    {
        enqueue({own, nullptr, time.now, {}}, time.now);
    }
    return result;
}

/// Decides the outcome by the existing record. Sets `retry` if the claim should
/// be tried once more.
claim_result
idempotency_store::resolve_existing_record(const claim& own, bool& retry)
{
    const auto read = platform_.get(own.key);
    if (!read)
    {
        retry = read.error() == platform_errc::not_found;
        return result_of(
            claim_outcome::refused_not_run, reason_of(read.error()));
    }
    const json& record = read.value().value;
    const std::string attempt = string_member(record, "attempt");
    const std::string state = string_member(record, "state");
    if (attempt == own.attempt && state == "claimed")
    {
        return proceed(own, read.value().version);
    }
    if (state == "void" || (state == "claimed" && is_void(attempt)))
    {
        return replace_voided_record(own, read.value().version, retry);
    }
    if (string_member(record, "fingerprint") != own.fingerprint)
    {
        return result_of(claim_outcome::mismatch,
            "the idempotency key was used with another request");
    }
    if (state != "done")
    {
        return result_of(claim_outcome::duplicate_running,
            "an earlier attempt with this key may have run");
    }
    claim_result result = result_of(claim_outcome::duplicate_done, "");
    result.stored = record.value("outcome", json::object());
    return result;
}

/// Replaces the record of a voided attempt, which never ran.
claim_result
idempotency_store::replace_voided_record(
    const claim& own, std::uint64_t version, bool& retry)
{
    const auto written =
        platform_.put(own.key, record_of(own, "claimed", nullptr), version);
    if (written)
    {
        return proceed(own, written.value());
    }
    // On a retry the record is read first; a write that took effect is
    // recognised by its attempt id.
    retry = written.error() == platform_errc::conflict ||
            may_have_taken_effect(written.error());
    return result_of(
        claim_outcome::refused_not_run, reason_of(written.error()));
}

void
idempotency_store::complete(const claim& done, run_state run,
    const nlohmann::json& outcome, const call_time& time)
{
    if (run == run_state::unknown)
    {
        return;
    }
    pending_write write{done,
        run == run_state::not_run ? json(nullptr) : stored_outcome(outcome),
        time.now, {}};
    const json next = record_of(
        done, write.outcome.is_null() ? "void" : "done", write.outcome);
    if (!platform_.put(done.key, next, done.version))
    {
        enqueue(std::move(write), time.now);
    }
}

/// Writes a queued void or outcome if the record still allows it. Returns true
/// if nothing remains to be written.
bool
idempotency_store::write_pending(const pending_write& write)
{
    const claim& c = write.target;
    const json next =
        record_of(c, write.outcome.is_null() ? "void" : "done", write.outcome);
    const auto read = platform_.get(c.key);
    if (!read && read.error() != platform_errc::not_found)
    {
        return false;
    }
    // A void also creates a missing record and replaces the void of another
    // attempt. A claim that is still in transit to the platform then fails its
    // version check and cannot take effect.
    const std::string state =
        read ? string_member(read.value().value, "state") : "";
    const bool is_own =
        read && string_member(read.value().value, "attempt") == c.attempt;
    const bool may_write =
        !read || (is_own && state == "claimed") ||
        (!is_own && state == "void" && write.outcome.is_null());
    if (!may_write)
    {
        return true;
    }
    const auto written =
        platform_.put(c.key, next, read ? read.value().version : 0);
    return written.has_value();
}

void
idempotency_store::enqueue(pending_write write, monotonic_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    write.due = now + next_delay(write.delays, random_);
    if (pending_.size() == config::max_pending_records)
    {
        // The oldest write is dropped: its record stays claimed, and a repeat
        // receives run=unknown.
        pending_.pop_front();
    }
    pending_.push_back(std::move(write));
}

std::size_t
idempotency_store::retry_pending(const call_time& time)
{
    std::vector<pending_write> due;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const pending_write& w : pending_)
        {
            if (w.due <= time.now && due.size() < config::pending_batch_size)
            {
                due.push_back(w);
            }
        }
    }
    std::size_t resolved = 0;
    for (const pending_write& w : due)
    {
        const bool is_expired =
            time.unix_ms - w.target.at_ms >
            std::chrono::milliseconds(config::idempotency_expiry).count();
        const bool is_resolved = is_expired || write_pending(w);
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto at = std::find_if(pending_.begin(), pending_.end(),
            [&](const pending_write& p)
            { return p.target.attempt == w.target.attempt; });
        if (at == pending_.end())
        {
            continue;
        }
        if (is_resolved)
        {
            pending_.erase(at);
            ++resolved;
        }
        else
        {
            at->due = time.now + next_delay(at->delays, random_);
        }
    }
    return resolved;
}

std::vector<voided_claim>
idempotency_store::pending_voids() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<voided_claim> out;
    for (const pending_write& w : pending_)
    {
        if (w.outcome.is_null())
        {
            out.push_back({w.target.key, w.target.attempt, w.target.fingerprint,
                w.target.at_ms});
        }
    }
    return out;
}

void
idempotency_store::add_void(const voided_claim& voided, const call_time& time)
{
    if (!is_void(voided.attempt))
    {
        enqueue(
            {{voided.key, voided.attempt, voided.fingerprint, voided.at_ms, 0},
                nullptr, time.now, {}},
            time.now);
    }
}

std::size_t
idempotency_store::pending() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return pending_.size();
}

bool
idempotency_store::is_void(const std::string& attempt) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::any_of(pending_.begin(), pending_.end(),
        [&](const pending_write& w)
        { return w.outcome.is_null() && w.target.attempt == attempt; });
}

std::size_t
expire_records(platform_api& platform, const std::vector<std::string>& services,
    expiry_cursor& cursor, std::int64_t unix_ms)
{
    if (services.empty())
    {
        return 0;
    }
    cursor.service %= services.size();
    const std::string prefix = "idem/" + services[cursor.service] + "/" +
                               hex_digits[cursor.group >> 4U & 0x0fU] +
                               hex_digits[cursor.group & 0x0fU];
    const auto listed = platform.list(prefix);
    if (!listed)
    {
        return 0;
    }
    const std::int64_t oldest =
        unix_ms - std::chrono::milliseconds(config::idempotency_expiry).count();
    std::size_t deleted = 0;
    for (const object& o : listed.value())
    {
        const auto at = o.value.find("at_ms");
        if (at == o.value.end() || !at->is_number_integer() ||
            at->get<std::int64_t>() > oldest)
        {
            continue;
        }
        if (deleted == config::expiry_batch_size)
        {
            return deleted; // the next call continues with this group
        }
        deleted += platform.remove(o.key, o.version) ? 1 : 0;
    }
    cursor.group = (cursor.group + 1) % 256;
    cursor.service += cursor.group == 0 ? 1 : 0;
    return deleted;
}

} // namespace bramleymux
