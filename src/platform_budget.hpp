#pragma once

#include "platform.hpp"

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>

/// Rate limits for platform calls by kind, with backoff during an outage and a
/// ramp-up after it.
namespace bramleymux
{

enum class platform_call
{
    idempotency, ///< reserved rate: other kinds cannot use it
    table,
    status,
    lease,
    list,
    count
};

inline constexpr name_table<platform_call> platform_call_names{
    "idempotency", "table", "status", "lease", "list"};

struct token_bucket
{
    double tokens = 0.0;
    monotonic_time last_refill;
};

/// State of an exponential backoff with full jitter.
struct backoff
{
    unsigned failures = 0; ///< consecutive
};

/// Returns a random delay between 0 and min(platform_outage_backoff_cap,
/// platform_outage_backoff_base * 2^failures), and counts one more failure.
duration
next_delay(backoff& b, std::mt19937_64& random);

struct platform_budget
{
    std::array<token_bucket, static_cast<std::size_t>(platform_call::count)>
        buckets;
    std::size_t vm_count = 1; ///< live VMs that share the fleet's rates
    backoff failures;
    monotonic_time retry_at;   ///< earliest next call during an outage
    monotonic_time ramp_since; ///< end of the last outage
    bool in_outage = false;
};

/// Returns a budget with full buckets.
platform_budget
make_budget(std::size_t vm_count, monotonic_time now);

/// Takes one token. Returns false if the call must not be made now. During an
/// outage, allows one call of any kind at a time, each after a backoff delay.
bool
take_call(platform_budget& budget, platform_call kind, monotonic_time now,
    std::mt19937_64& random);

/// Records whether a call reached the platform. The first unreachable call
/// starts an outage, the first reachable one ends it.
void
record_call(platform_budget& budget, bool is_reachable, monotonic_time now,
    std::mt19937_64& random);

/// Returns the rate that one VM is allowed at `now`, in calls per second.
double
call_rate(
    const platform_budget& budget, platform_call kind, monotonic_time now);

/// Thread-safe budget of a process.
class shared_budget
{
public:
    shared_budget(platform_budget budget, std::uint64_t seed);

    bool
    take(platform_call kind, monotonic_time now);

    void
    record(bool is_reachable, monotonic_time now);

    void
    set_vm_count(std::size_t vm_count);

    /// Whether the last recorded call did not reach the platform.
    bool
    in_outage();

private:
    std::mutex mutex_;
    platform_budget budget_;
    std::mt19937_64 random_;
};

/// Decorator that applies the budget of one kind of call to a platform. A call
/// without a token is not sent and returns `rate_limited`, or `unavailable`
/// during an outage.
class budgeted_platform : public platform_api
{
public:
    budgeted_platform(platform_api& platform, shared_budget& budget,
        platform_call kind, std::function<monotonic_time()> clock);

    platform_result<object>
    get(const std::string& key) override;

    platform_result<std::uint64_t>
    put(const std::string& key, const nlohmann::json& value,
        std::uint64_t expected) override;

    platform_result<void>
    remove(const std::string& key, std::uint64_t expected) override;

    platform_result<std::vector<object>>
    list(const std::string& prefix) override;

    platform_result<std::optional<object>>
    watch(
        const std::string& key, std::uint64_t after, duration timeout) override;

    platform_result<std::vector<vm_list_entry>>
    vms() override;

private:
    template <class Result, class Call>
    Result
    call(Call&& send);

    platform_api& platform_;
    shared_budget& budget_;
    platform_call kind_;
    std::function<monotonic_time()> clock_;
};

} // namespace bramleymux
