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

/// One caller's request at its entry VM: sends, hedges, retries and the answer.
namespace bramleymux
{

class entry_query : public std::enable_shared_from_this<entry_query>
{
public:
    using answer_handler = std::function<void(http_reply&&)>;

    entry_query(entry_context& context,
        std::shared_ptr<const desired_state> state, const route_rule& route,
        caller_message&& message, answer_handler answer);

    void
    start();

    /// The caller left: the answer is no longer wanted.
    void
    cancel();

private:
    struct active_send
    {
        send_id id = 0;
        monotonic_time since{};
        bool overdue = false;
    };

    enum class send_reason
    {
        first,
        hedge,
        retry,
        count
    };

    /// One shard, or the one service of a route without shards.
    struct lane
    {
        std::string service;
        std::vector<const target_state*> tried;
        std::vector<active_send> sends;
        std::uint32_t runs = 0;       ///< sends that may have run
        std::uint32_t rejections = 0; ///< sends that ran nothing
        bool answered = false;
        bool failed = false;
        bool waiting = false;   ///< for a target with room
        bool delegated = false; ///< asked through a VM of another zone
        target_reply reply;
        miss_reason reason = miss_reason::none;
    };

    /// Lanes that a VM of another zone asks.
    struct delegation
    {
        order_id id = 0;
        std::string zone;
        std::vector<std::size_t> lanes;
    };

    void
    open_lanes();
    /// Sends the lanes for the first time, grouped where that saves bytes
    /// between zones.
    void
    send_first(const std::vector<std::size_t>& lanes);
    std::vector<gather_group>
    groups_of(const std::vector<std::size_t>& lanes);
    void
    delegate(gather_group&& group);
    gather_order
    order_for(const gather_group& group) const;
    std::optional<delegation>
    take_delegation(order_id id);
    void
    on_delegate(order_id id, delegate_reply&& reply);
    void
    take_parts(
        const delegation& from, const std::string& vm_id, gather_parts&& parts);
    /// The delegate did not answer for the lane.
    void
    take_back(std::size_t lane_index, part_state state);
    /// Waits for the late replies of an order.
    void
    collect(
        const delegation& from, const std::string& vm_id, std::uint64_t rest);
    void
    on_rest(order_id id, delegate_reply&& reply);
    /// Nothing more can answer the lane.
    static bool
    is_over(const lane& l);
    void
    on_refusal(const delegation& from);
    bool
    may_repeat(const lane& l) const;
    bool
    is_crowded() const;
    void
    refuse_unsent();
    bool
    dispatch(std::size_t lane_index, send_reason reason);
    /// Dispatches now or when a target has room; else the lane has failed.
    void
    dispatch_or_wait(std::size_t lane_index, send_reason reason);
    /// False when the lane no longer waits.
    bool
    on_room(std::size_t lane_index, send_reason reason);
    void
    on_result(std::size_t lane_index, send_id id, send_result&& result);
    void
    on_good(lane& l, send_result&& result);
    void
    on_failure(std::size_t lane_index, send_result&& result);
    void
    hedge_due(monotonic_time now);
    void
    advance();
    gather_progress
    progress(monotonic_time now) const;
    void
    arm(monotonic_time now, const gather_progress& p);
    void
    answer_records(const gather_progress& p);
    void
    answer_failure(bool in_time);
    void
    finish(http_reply&& reply, event what, std::string_view reason);
    void
    log_outcome(event what, int status, std::string_view reason);
    void
    log_handed_back(const std::string& zone, std::size_t asked,
        const std::vector<std::string>& shards);
    void
    count_send(send_reason reason);
    void
    log_send(const lane& l, const target_state& target, send_reason reason);
    void
    abandon_sends();
    duration
    time_left(monotonic_time now) const;
    duration
    hedge_time() const;
    /// Usual latency of the route, or an assumption before it is known.
    duration
    expected_latency() const;
    bool
    gathers() const;
    bool
    may_have_run() const;

    entry_context& context_;
    std::shared_ptr<const desired_state> state_;
    const route_rule& route_;
    route_stats& stats_;
    caller_message message_;
    answer_handler answer_;
    boost::asio::steady_timer timer_;
    monotonic_time started_;
    duration spent_;       ///< by the caller's earlier attempts
    duration target_left_; ///< of the target latency
    duration give_up_;
    std::vector<lane> lanes_;
    std::vector<delegation> delegations_;     ///< without a reply so far
    std::vector<std::string> zones_refused_;  ///< by their delegates
    std::vector<std::string> merged_records_; ///< of the delegates' replies
    std::uint32_t hedges_ = 0;
    std::uint32_t retries_ = 0;
    bool finished_ = false;
};

} // namespace bramleymux
