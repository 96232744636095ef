#pragma once

#include "entry_context.hpp"
#include "gather_order.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

/// Serves one order of a VM in another zone: asks each shard once, at a target
/// of this VM's own zone. Hedges and retries are left to the VM that ordered,
/// which has the budget and the caller.
namespace bramleymux
{

class gather_job : public std::enable_shared_from_this<gather_job>
{
public:
    using reply_handler = std::function<void(http_reply&&)>;

    /// `id` names the job for a later call of `collect`.
    gather_job(entry_context& context, std::uint64_t id, gather_order&& order,
        reply_handler reply);

    void
    start();

    /// Asks for the replies that were late for the first answer.
    void
    collect(reply_handler reply);

    /// The ordering VM no longer waits.
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
        bool open = false;
        bool reported = false; ///< the ordering VM has the reply
        gather_part part;
    };

    void
    send(std::size_t shard);
    void
    on_result(std::size_t shard, send_result&& result);
    void
    on_time();
    void
    answer_first();
    void
    answer_rest();
    void
    answer(const gather_parts& parts);
    void
    arm(monotonic_time at);
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
