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

    gather_job(
        entry_context& context, gather_order&& order, reply_handler reply);

    void
    start();

    /// The ordering VM no longer waits.
    void
    cancel();

private:
    struct shard_send
    {
        send_id id = 0;
        bool open = false;
        gather_part part;
        std::string records;
    };

    void
    send(std::size_t shard);
    void
    on_result(std::size_t shard, send_result&& result);
    void
    finish();
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
    bool finished_ = false;
};

} // namespace bramleymux
