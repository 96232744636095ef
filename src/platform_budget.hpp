#pragma once

#include "platform.hpp"

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>

/// Rates of platform calls by kind, and waiting during and after an outage.
namespace bramleymux
{

enum class platform_call
{
    idempotency, ///< reserved: other kinds cannot use its tokens
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
    monotonic_time filled;
};

/// Number of failures in a row, for a delay with full jitter.
struct backoff
{
    unsigned failures = 0;
};

/// Random delay between 0 and the smaller of the cap and base * 2^failures.
duration
next_delay(backoff& b, std::mt19937_64& random);

struct platform_budget
{
    std::array<token_bucket, static_cast<std::size_t>(platform_call::count)>
        buckets;
    std::size_t fleet = 1; ///< live VMs that share the rates
    backoff failures;
    monotonic_time retry_at; ///< no call before, during an outage
    monotonic_time ramp_since;
    bool is_out = false;
};

/// Budget with full buckets.
platform_budget
make_budget(std::size_t fleet, monotonic_time now);

/// Takes one token; false when the call must not be made now. During an
/// outage one call at a time is let through, after each delay.
bool
take_call(platform_budget& budget, platform_call kind, monotonic_time now,
    std::mt19937_64& random);

/// Records a call's result.
void
note_call(platform_budget& budget, bool is_reachable, monotonic_time now,
    std::mt19937_64& random);

/// Calls a second of one VM now.
double
call_rate(
    const platform_budget& budget, platform_call kind, monotonic_time now);

/// Budget shared by the threads of a process.
class shared_budget
{
public:
    shared_budget(platform_budget budget, std::uint64_t seed);

    bool
    take(platform_call kind, monotonic_time now);

    void
    note(bool is_reachable, monotonic_time now);

    void
    set_fleet(std::size_t fleet);

    /// Whether the last calls found the platform unreachable.
    bool
    is_out();

private:
    std::mutex mutex_;
    platform_budget budget_;
    std::mt19937_64 random_;
};

/// Platform whose calls of one kind keep to the budget. A call without a token
/// gives `rate_limited`, or `unavailable`
/// during an outage, and is never sent.
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
    call(Call&& make);

    platform_api& platform_;
    shared_budget& budget_;
    platform_call kind_;
    std::function<monotonic_time()> clock_;
};

} // namespace bramleymux
