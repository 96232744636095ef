#pragma once

#include "bramleymux_bench/shape.hpp"
#include "common/bench_schedule.hpp"
#include "http_client.hpp"

#include <atomic>
#include <memory>
#include <thread>

/// Open-loop load on all VMs. Latency is measured from the scheduled arrival,
/// so that waiting behind a slow request counts (no coordinated omission).
namespace bramleymux::tools
{

enum class call_outcome
{
    answered,
    refused,     ///< run=not_run
    failed,      ///< a problem document with another run state, or a
                 ///< body that is not a JSON object
    interrupted, ///< the connection broke after bytes were sent
    timed_out,   ///< no reply within the deadline and a grace period
    unreachable, ///< the last VM tried did not receive the request
    count
};

inline constexpr name_table<call_outcome> call_outcome_names{
    "answered", "refused", "failed", "interrupted", "timed_out", "unreachable"};

struct call_sample
{
    double at_s = 0; ///< scheduled arrival, from the start of the load
    double latency_ms = 0;
    double late_ms = 0;      ///< delay of the send after the scheduled arrival
    std::size_t service = 0; ///< index into the shape's services
    bool record = false;     ///< of the non-idempotent route "record"
    double worth = 1;        ///< product of the service's and the route's worth
    std::string key;         ///< idempotency key; empty unless `record`
    call_outcome outcome = call_outcome::unreachable;
    /// Code of the last problem document, or the last connection error, also
    /// of an attempt that was retried. Empty if there was none.
    std::string code;
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
    double record_share = 0; ///< non-idempotent share of the queries to
                             ///< services other than the wide one
    std::string key_prefix;  ///< of idempotency keys; must be unique to the run
};

/// Sends the requests of a schedule from worker threads and records their
/// outcomes. Not thread-safe.
class caller_load
{
public:
    explicit caller_load(load_options options);
    caller_load(const caller_load&) = delete;
    caller_load&
    operator=(const caller_load&) = delete;
    ~caller_load();

    /// Opens half of the connections, then starts the schedule 50 ms later.
    void
    start();

    /// Stops the schedule: requests that no worker has started to send are
    /// dropped, also if they are due.
    void
    stop_sending();

    /// Waits until the schedule is done, or after stop_sending() until no
    /// request is in flight. Returns the samples of all requests that were
    /// sent.
    std::vector<call_sample>
    finish();

    /// Returns the seconds since the start of the schedule.
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
    /// Returns the first ready VM from index `first_choice` on, cyclically, or
    /// `first_choice` itself if none is ready.
    std::size_t
    pick_vm(std::size_t first_choice) const;
    /// Sets the outcome and code of `out`. Returns the body of an answer, or
    /// null for any other reply.
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
    std::atomic<bool> load_ended_{false};
};

} // namespace bramleymux::tools
