#pragma once

#include "bramleymux_bench/shape.hpp"
#include "common/bench_schedule.hpp"
#include "http_client.hpp"

#include <atomic>
#include <memory>
#include <thread>

/// Open-loop load on every VM. Latency counts from the scheduled arrival, so
/// that requests behind a slow one are not left out.
namespace bramleymux::tools
{

enum class call_outcome
{
    answered,
    refused,     ///< run=not_run
    failed,      ///< a problem with another run state, or no such form
    interrupted, ///< the connection broke after bytes were sent
    timed_out,   ///< no reply in time
    unreachable, ///< no VM could be connected to
    count
};

inline constexpr name_table<call_outcome> call_outcome_names{
    "answered", "refused", "failed", "interrupted", "timed_out", "unreachable"};

struct call_sample
{
    double at_s = 0;
    double latency_ms = 0;
    double late_ms = 0; ///< from the scheduled time to the send
    std::size_t service = 0;
    bool record = false; ///< non-idempotent
    double worth = 1;    ///< of the service and the route
    std::string key;     ///< idempotency key
    call_outcome outcome = call_outcome::unreachable;
    std::string code; ///< of the problem document
    answer_check answer;
};

struct load_options
{
    const bench_shape* shape = nullptr;
    std::vector<expected_rows> rows; ///< by service
    duration length{};
    std::uint64_t seed = 1;
    std::size_t workers = 160;
    std::size_t connections = 20; ///< to each VM
    std::chrono::milliseconds deadline{1000};
    double record_share = 0; ///< of the narrow services' queries
    std::string key_prefix;
};

class caller_load
{
public:
    explicit caller_load(load_options options);
    caller_load(const caller_load&) = delete;
    caller_load&
    operator=(const caller_load&) = delete;
    ~caller_load();

    void
    start();

    /// Sends nothing that is scheduled after now.
    void
    cut();

    /// Waits for the last answer.
    std::vector<call_sample>
    finish();

    double
    elapsed_s() const;

private:
    struct vm_state
    {
        std::unique_ptr<connection_pool> pool;
        std::atomic<bool> ready{true};
    };

    void
    run_worker();
    void
    run_balancer();
    call_sample
    send(std::size_t index);
    http_request
    make_request(const arrival& a, std::size_t index, call_sample& out) const;
    std::size_t
    pick_vm(std::size_t turn) const;
    /// Body of an answer, or null.
    static nlohmann::json
    read_reply(const http_response& reply, call_sample& out);

    load_options options_;
    std::vector<arrival> schedule_;
    std::vector<call_sample> samples_;
    std::vector<vm_state> vms_;
    std::vector<std::thread> workers_;
    std::thread balancer_;
    monotonic_time begin_;
    std::atomic<std::size_t> next_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> ended_{false};
};

} // namespace bramleymux::tools
