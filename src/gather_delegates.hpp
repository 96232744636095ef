#pragma once

#include "call_channel.hpp"
#include "decision_log.hpp"
#include "gather_order.hpp"
#include "gather_plan.hpp"
#include "metrics.hpp"
#include "relay_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// VMs of other zones that ask shards on behalf of this one.
namespace bramleymux
{

enum class delegate_outcome
{
    parts,
    refused, ///< nothing was sent to a target
    silent,  ///< no reply; targets may have run the request
    count
};

struct delegate_reply
{
    delegate_outcome outcome = delegate_outcome::silent;
    gather_parts parts;
    std::string vm_id; ///< of the delegate
};

using order_id = std::uint64_t;

class gather_delegates
{
public:
    using reply_handler = std::function<void(delegate_reply&&)>;

    gather_delegates(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, std::string vm_id, std::string zone);
    ~gather_delegates();

    /// VMs that are registered. Each VM has a few delegates a zone, spread by
    /// rendezvous hash, so that their connections are in steady use.
    void
    set_vms(const std::vector<registered_vm>& vms);

    /// Zones with a delegate that is sound.
    std::vector<delegate_zone>
    zones() const;

    /// `handler` is called later, within `timeout`. The zone must be one of
    /// `zones`.
    order_id
    send(const std::string& zone, const gather_order& order, duration timeout,
        reply_handler handler);

    /// Asks the delegate of an order that was answered for its late replies.
    /// Returns 0 when that delegate is gone.
    order_id
    collect(const std::string& vm_id, std::uint64_t rest, std::size_t asked,
        duration timeout, reply_handler handler);

    /// The reply is no longer wanted: `handler` is not called and the delegate
    /// ends the work.
    void
    abandon(order_id id);

    /// Asks delegates that were silent whether they are back.
    void
    tick();

private:
    struct lane;
    struct delegate;

    std::shared_ptr<delegate>
    pick(const std::string& zone);
    order_id
    call(const std::shared_ptr<delegate>& d, const call_request& request,
        std::size_t asked, duration timeout, reply_handler handler);
    void
    on_reply(const std::shared_ptr<delegate>& d, lane& l, std::size_t asked,
        call_reply&& reply);
    /// Time of an order beyond that of its slowest target.
    void
    note_overhead(delegate& d, duration overhead);
    void
    block(delegate& d, std::string_view reason);
    void
    probe(const std::shared_ptr<delegate>& d);
    void
    log_delegate(event what, const delegate& d, std::string_view reason);

    boost::asio::io_context& loop_;
    metrics& metrics_;
    decision_log& log_;
    std::string vm_id_;
    std::string zone_;
    std::vector<std::shared_ptr<delegate>> delegates_;
    std::map<std::string, double> handed_back_; ///< by zone
    order_id last_order_ = 0;
    std::mt19937_64 random_;
};

} // namespace bramleymux
