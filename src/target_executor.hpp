#pragma once

#include "ownership.hpp"
#include "sub_request.hpp"
#include "target_api.hpp"
#include "target_limits.hpp"
#include "worker_pool.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>

/// Runs the sub-requests of the targets that this VM owns.
namespace bramleymux
{

/// Ownership queries of the executor. Both functions are called with a lock of
/// the executor held and must not call back into it.
struct ownership_gate
{
    /// Returns the end of this VM's lease on a target, or
    /// `monotonic_time::min()` if this VM may not send to it.
    std::function<monotonic_time(const std::string& target, monotonic_time now)>
        lease_end;
    /// Returns the number of requests of other VMs that may still be running at
    /// a target.
    std::function<std::uint32_t(const std::string& target, monotonic_time now)>
        foreign_running;
};

struct executor_options
{
    std::string vm_id;
    std::uint64_t incarnation = 0; ///< part of wire request ids
    limit_policy policy = limit_policy::adaptive;
    std::uint32_t baseline_limit = 1;
    std::size_t max_threads = config::max_worker_threads;
    std::uint64_t seed = 1;
};

struct target_stats
{
    std::string name;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t worst_running = 0;
    std::uint32_t cold_start_limit = 0; ///< 0 = cold
    std::size_t queued = 0;
    std::uint64_t sends = 0;
    std::uint64_t refused = 0;
    std::uint64_t cold_falls = 0; ///< resets from a limit above the cold one
    bool unreachable = false;
};

struct executor_stats
{
    std::vector<target_stats> targets; ///< those with a catalog row
    std::size_t threads = 0;
};

/// Queues sub-requests per target and sends them within the target's limit and
/// this VM's lease. Every sub-request gets exactly one reply. Thread-safe;
/// handlers are called without a lock held.
class target_executor : public sub_request_sink
{
public:
    target_executor(
        target_api& api, ownership_gate gate, executor_options options);

    /// Refuses queued sub-requests and waits for running ones to finish.
    ~target_executor() override;

    /// Applies a new catalog, refusing queued sub-requests of targets that no
    /// longer accept work.
    void
    set_catalog(const std::shared_ptr<const catalog>& value);

    /// Sets the targets that the VM list marks as leaving.
    void
    set_leaving(const std::vector<target_handle>& leaving);

    /// Applies the result of a poll by this VM and sets the report's
    /// `proven_limit`.
    void
    on_status(target_handle target, target_report& report);

    /// Applies a report published by another owner. Ignored while this VM holds
    /// the lease.
    void
    apply_owner_report(target_handle target, const target_report& report);

    /// Returns true if the target should be polled now; see
    /// `is_probe_due(const owned_target_state&, monotonic_time)`.
    bool
    is_probe_due(target_handle target, monotonic_time now) const;

    void
    submit(std::vector<sub_request> batch,
        const sub_reply_handler& handler) override;

    /// Refuses a queued sub-request, or asks the target to stop a running one.
    void
    cancel(std::uint64_t id) override;

    /// Starts queued sub-requests that the limits allow and refuses those that
    /// can no longer run. Call after each change of ownership and every few
    /// tens of milliseconds.
    void
    tick(monotonic_time now);

    /// Refuses all queued and future sub-requests. Running ones finish.
    void
    drain();

    /// Blocks until every sub-request has its reply. Returns false if some are
    /// still without one at `until`.
    bool
    wait_idle(monotonic_time until);

    /// Returns the running sub-requests of each target that has any, for
    /// acknowledgements and releases.
    std::vector<running_count>
    running() const;

    executor_stats
    stats() const;

private:
    struct job
    {
        sub_request request;
        sub_reply_handler handler;
        catalog_target target;
        monotonic_time submitted;
        std::string wire_id; ///< empty until sent
        bool cancelled = false;
    };

    /// State of the targets of one lock, spread by target handle to reduce
    /// contention. `mutex` guards the other members.
    struct state_shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::uint16_t, owned_target_state>
            states;                                  ///< by handle
        std::unordered_map<std::uint64_t, job> jobs; ///< queued and running
        std::mt19937_64 random;
        std::unordered_map<std::uint16_t, target_stats> counts;
    };

    /// Replies to deliver and jobs to start once the shard's lock is released.
    struct pending_work
    {
        std::vector<std::pair<sub_reply_handler, sub_reply>> replies;
        std::vector<std::uint64_t> starts;
    };

    state_shard&
    shard_of(target_handle target);
    const state_shard&
    shard_of(target_handle target) const;
    owned_target_state&
    state_of(state_shard& shard, const catalog_target& row);
    std::shared_ptr<const catalog>
    current_catalog() const;
    void
    accept(sub_request request, const sub_reply_handler& handler,
        monotonic_time now);
    void
    refuse(state_shard& shard, std::uint64_t id, miss_reason reason,
        pending_work& out);
    void
    refuse(
        state_shard& shard, const queue_refusals& refused, pending_work& out);
    void
    start_queued(state_shard& shard, const std::string& name,
        std::uint16_t target, monotonic_time now, pending_work& out);
    void
    dispatch(state_shard& shard, pending_work&& work);
    void
    run(state_shard& shard, std::uint64_t id);
    bool
    prepare_send(state_shard& shard, job& item, monotonic_time now,
        sub_reply& reply, monotonic_time& deadline);
    void
    finish(state_shard& shard, sub_reply reply, bool sent);

    target_api& api_;
    ownership_gate gate_;
    executor_options options_;
    std::atomic<std::uint64_t> next_wire_id_{1};
    std::atomic<bool> draining_{false};

    mutable std::mutex catalog_mutex_;
    std::shared_ptr<const catalog> catalog_;

    std::mutex idle_mutex_;
    std::condition_variable idle_changed_;
    std::size_t unanswered_ = 0; ///< accepted jobs without a delivered reply

    std::array<state_shard, config::target_state_shards> shards_;
    worker_pool pool_; ///< declared last: its threads use the other members
};

} // namespace bramleymux
