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

/// What the executor asks of ownership. Both are called under a lock of the
/// executor, so they must not call it back.
struct ownership_gate
{
    /// End of the lease for a target; `monotonic_time::min()` when this VM may
    /// not send to it.
    std::function<monotonic_time(const std::string& target, monotonic_time now)>
        lease_end;
    std::function<std::uint32_t(const std::string& target, monotonic_time now)>
        foreign_running;
};

struct executor_options
{
    std::string vm_id;
    std::uint64_t incarnation = 0;
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
    std::uint64_t cold_falls = 0;
    bool unreachable = false;
};

struct executor_stats
{
    std::vector<target_stats> targets; ///< those with a catalog row
    std::size_t threads = 0;
};

class target_executor : public sub_request_sink
{
public:
    target_executor(
        target_api& api, ownership_gate gate, executor_options options);

    /// Refuses what is queued and waits for what is running.
    ~target_executor() override;

    void
    set_catalog(std::shared_ptr<const catalog> value);

    /// Handles of the targets that the VM list calls leaving.
    void
    set_leaving(const std::vector<target_handle>& leaving);

    /// Applies a poll by this VM and sets the report's `proven_limit`.
    void
    on_status(target_handle target, target_report& report);

    /// Applies the report that another owner published.
    void
    inherit(target_handle target, const target_report& report);

    /// Whether the owner should poll the target now.
    bool
    is_probe_due(target_handle target, monotonic_time now) const;

    void
    submit(std::vector<sub_request> batch,
        const sub_reply_handler& handler) override;

    void
    cancel(std::uint64_t id) override;

    /// Starts what can start and refuses what cannot: to be called after a
    /// change of ownership and every few tens of milliseconds.
    void
    tick(monotonic_time now);

    /// Refuses queued and new sub-requests from now on; running ones finish.
    void
    drain();

    /// False when work was still running at `until`.
    bool
    wait_idle(monotonic_time until);

    /// Running work by target, for acknowledgements and releases.
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
        std::string wire_id; ///< empty before the send
        bool cancelled = false;
    };

    struct state_shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::uint16_t, target_state> states;
        std::unordered_map<std::uint64_t, job> jobs; ///< queued and running
        std::mt19937_64 random;
        std::unordered_map<std::uint16_t, target_stats> counts;
    };

    /// Replies and starts collected under a lock and carried out after it.
    struct pending_work
    {
        std::vector<std::pair<sub_reply_handler, sub_reply>> replies;
        std::vector<std::uint64_t> starts;
    };

    state_shard&
    shard_of(target_handle target);
    const state_shard&
    shard_of(target_handle target) const;
    target_state&
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
    pump(state_shard& shard, const std::string& name, std::uint16_t target,
        monotonic_time now, pending_work& out);
    void
    carry_out(state_shard& shard, pending_work work);
    void
    run(state_shard& shard, std::uint64_t id);
    bool
    prepare(state_shard& shard, job& item, monotonic_time now, sub_reply& reply,
        monotonic_time& deadline);
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
    std::size_t unanswered_ = 0;

    std::array<state_shard, config::target_state_shards> shards_;
    worker_pool pool_; ///< last member: its threads use the others
};

} // namespace bramleymux
