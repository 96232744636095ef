#pragma once

#include "entry_context.hpp"
#include "gather_order.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

/// Executes one order of a VM in another zone: sends each shard one
/// sub-request, to a target in this VM's own zone. Hedging and retries are left
/// to the ordering VM, which holds the retry budget and the caller's
/// connection.
namespace bramleymux
{

/// Answers in two stages: a first reply by `reply_within`, then late replies as
/// the ordering VM collects them. Its pending sub-requests and its timer keep
/// it alive.
class gather_job : public std::enable_shared_from_this<gather_job>
{
public:
    using reply_handler = std::function<void(http_reply&&)>;

    /// `id` is the key by which the ordering VM collects late replies.
    gather_job(entry_context& context, std::uint64_t id, gather_order&& order,
        reply_handler reply);

    /// Sends the sub-requests, or refuses the order if too few shards have
    /// room.
    void
    start();

    /// Requests the replies that missed the first answer. `reply` is called
    /// when there is a new one or no more can follow.
    void
    collect(reply_handler reply);

    /// Ends the job because the ordering VM no longer waits.
    void
    cancel();

    bool
    is_finished() const
    {
        return finished_;
    }

private:
    struct shard_send
    {
        send_id id = 0;
        std::string target_id;
        bool open = false;
        bool reported = false; ///< the reply was passed to the ordering VM
        gather_part part;
    };

    void
    send(std::size_t shard);
    void
    on_result(std::size_t shard, send_result&& result);
    void
    answer_next();
    void
    answer_first();
    void
    answer_late_replies();
    void
    answer(const gather_parts& parts);
    void
    arm_timer(monotonic_time at);
    void
    end();
    void
    abandon_sends();
    std::size_t
    open_count() const;
    void
    refuse(std::size_t with_room);

    entry_context& context_;
    gather_order order_;
    reply_handler reply_;
    boost::asio::steady_timer timer_;
    monotonic_time started_;
    std::vector<shard_send> sends_;
    bool first_answered_ = false;
    bool finished_ = false;
    std::uint64_t id_;
};

} // namespace bramleymux
