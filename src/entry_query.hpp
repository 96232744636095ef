#pragma once

#include "entry_context.hpp"
#include "entry_problem.hpp"
#include "gather.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// One caller's request at its entry VM, from the first send to the answer.
namespace bramleymux
{

/// Sends a request to the service or to all shards of its route, hedges and
/// retries, and answers once: with the target's reply, with records merged from
/// enough shards, or with a problem. Runs on the context's event loop; pending
/// sends and timers keep the object alive.
class entry_query : public std::enable_shared_from_this<entry_query>
{
public:
    using answer_handler = std::function<void(http_reply&&)>;

    /// `priority` orders the requests that wait for room; 0 = most urgent.
    entry_query(entry_context& context,
        std::shared_ptr<const desired_state> state, const route_rule& route,
        caller_message&& message, std::uint32_t priority,
        answer_handler answer);

    /// May call the answer handler before it returns.
    void
    start();

    /// Makes no more sends that may not be answered before `exit_at`, when the
    /// process exits.
    void
    end_by(monotonic_time exit_at);

    /// Answers with the replies that are in, or with a failure. For a process
    /// that is about to exit.
    void
    answer_now();

    /// Ends the request without an answer, because the caller disconnected.
    void
    cancel();

private:
    /// A send without a result so far.
    struct active_send
    {
        send_id id = 0;
        monotonic_time sent_at{};
        bool overdue = false; ///< took longer than the hedge delay
    };

    enum class send_reason
    {
        first,
        hedge,
        retry,
        count
    };

    /// State of one shard, or of the one service of a route without shards.
    struct shard_query
    {
        std::string service;
        std::vector<const target_state*> tried; ///< excluded from new sends
        std::vector<active_send> sends;
        std::uint32_t possible_runs = 0; ///< sends that may have run
        std::uint32_t rejections = 0;    ///< sends that ran nothing
        bool answered = false;
        bool failed = false;
        bool waiting_for_room = false; ///< queued in the pool
        bool delegated = false;        ///< sent through a VM in another zone
        target_reply reply;
        miss_reason reason = miss_reason::none; ///< of the last failure
    };

    /// Shards that were sent through a VM in another zone.
    struct delegation
    {
        order_id id = 0;
        std::string zone;
        std::vector<std::size_t> shard_indices;
        duration written_at{}; ///< true time
    };

    void
    init_shards();
    /// Makes the first sends to the shards. Shards that a delegate can reach
    /// are grouped into orders, which saves bytes between zones.
    void
    send_first(const std::vector<std::size_t>& shard_indices);
    std::vector<gather_group>
    plan_delegation(const std::vector<std::size_t>& shard_indices);
    void
    delegate(gather_group&& group);
    gather_order
    make_order(const gather_group& group) const;
    std::optional<delegation>
    take_delegation(order_id id);
    void
    on_delegate_reply(order_id id, delegate_reply&& reply);
    void
    accept_notices(const std::vector<gather_part>& parts);
    void
    accept_parts(
        const delegation& from, const std::string& vm_id, gather_parts&& parts);
    /// Sends to a shard for which the delegate returned no reply, or marks it
    /// as failed.
    void
    redispatch(std::size_t shard_index, part_state state);
    /// Asks the delegate for the replies that come after its first answer.
    void
    collect_late_replies(
        const delegation& from, const std::string& vm_id, std::uint64_t rest);
    void
    on_late_replies(order_id id, delegate_reply&& reply);
    /// Whether no send, queue entry or delegate can still answer the shard.
    static bool
    is_exhausted(const shard_query& shard);
    void
    on_order_refused(const delegation& from);
    bool
    may_resend(const shard_query& shard) const;
    duration
    longest_wait() const;
    bool
    is_worth_waiting(const std::optional<duration>& wait) const;
    bool
    has_room_in_time(const shard_query& shard) const;
    bool
    lacks_room() const;
    void
    refuse_without_sending();
    std::optional<duration>
    time_until_answerable() const;
    bool
    dispatch(std::size_t shard_index, send_reason reason);
    /// Dispatches now, or queues until a target has room and the budget allows
    /// the send. The shard has failed if neither is possible and no other send
    /// is active. Returns whether it dispatched.
    bool
    dispatch_or_wait(std::size_t shard_index, send_reason reason);
    /// Uses room at a target. Returns false when the shard does not need it or
    /// queues again.
    bool
    on_room_available(std::size_t shard_index, send_reason reason);
    void
    on_result(std::size_t shard_index, send_id id, send_result&& result);
    void
    accept_reply(shard_query& shard, send_result&& result);
    void
    on_failure(std::size_t shard_index, send_result&& result);
    void
    hedge_overdue_sends(monotonic_time now);
    void
    advance();
    gather_progress
    progress(monotonic_time now) const;
    void
    arm_timer(monotonic_time now, const gather_progress& p);
    void
    answer_success(const gather_progress& p);
    void
    answer_gathered(const gather_progress& p);
    bool
    has_target_failure() const;
    void
    answer_failure(problem_code code);
    void
    finish(http_reply&& reply, event what, std::string_view reason);
    void
    log_outcome(event what, int status, std::string_view reason);
    void
    log_handed_back(const std::string& zone, std::size_t asked,
        const std::vector<std::string>& shards);
    void
    count_send(send_reason reason);
    /// Counts the usage of the request's workspace.
    void
    record_usage(send_stage stage, std::size_t sends, duration written_at);
    duration
    true_now() const;
    void
    record_delegate_usage(const delegation& from, const delegate_reply& reply);
    void
    log_send(const shard_query& shard, const target_state& target,
        send_reason reason);
    void
    abandon_sends();
    void
    release_bodies();
    /// Returns the time until the caller's deadline.
    duration
    time_left(monotonic_time now) const;
    /// Returns the time after which a send is hedged.
    duration
    hedge_delay() const;
    duration
    expected_latency() const;
    /// Whether the route has shards.
    bool
    gathers() const;
    /// Returns the least share of the shards that an answer needs.
    double
    least_coverage() const;
    bool
    may_have_run() const;

    entry_context& context_;
    std::shared_ptr<const desired_state> state_; ///< keeps `route_` alive
    const route_rule& route_;
    route_stats& stats_;
    caller_message message_;
    std::uint32_t priority_;
    answer_handler answer_;
    boost::asio::steady_timer timer_;
    monotonic_time started_;
    duration spent_before_;        ///< on the caller's earlier attempts
    duration target_latency_left_; ///< at the start
    duration give_up_after_;       ///< since the start
    monotonic_time last_send_at_ = monotonic_time::max(); ///< during a stop
    std::vector<shard_query> shards_;
    std::vector<delegation> delegations_;     ///< awaiting a reply
    std::vector<std::string> refusing_zones_; ///< that refused an order
    std::vector<std::string> merged_records_; ///< of each delegate's reply
    std::uint32_t hedges_ = 0;
    std::uint32_t retries_ = 0;
    request_usage usage_;
    bool finished_ = false;
};

} // namespace bramleymux
