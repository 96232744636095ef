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

/// Sends orders to delegates: VMs of other zones that query shards on behalf of
/// this one.
namespace bramleymux
{

enum class delegate_outcome
{
    parts,   ///< the state of each shard was received
    refused, ///< nothing was sent to a target
    silent,  ///< no valid reply; targets may have run the request
    count
};

struct delegate_reply
{
    delegate_outcome outcome = delegate_outcome::silent;
    gather_parts parts;
    std::string vm_id; ///< of the delegate
};

using order_id = std::uint64_t;

/// Selects delegates, sends them orders and excludes those that stop replying
/// until a probe succeeds. Runs on one event loop and is not thread-safe.
class gather_delegates
{
public:
    using reply_handler = std::function<void(delegate_reply&&)>;

    gather_delegates(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, std::string vm_id, std::string zone);
    ~gather_delegates();

    /// Sets the registered VMs. Rendezvous hashing gives each VM a few
    /// delegates in every other zone, which keeps their connections in steady
    /// use.
    void
    set_vms(const std::vector<registered_vm>& vms);

    /// Returns the zones that have a usable delegate.
    std::vector<delegate_zone>
    zones() const;

    /// Sends an order to a delegate of `zone`, which must be one of `zones()`.
    /// `handler` is called asynchronously, within `timeout`.
    order_id
    send(const std::string& zone, const gather_order& order, duration timeout,
        reply_handler handler);

    /// Requests the late replies of an answered order from its delegate.
    /// Returns 0 and does not call `handler` if that delegate is gone or
    /// blocked.
    order_id
    collect(const std::string& vm_id, std::uint64_t rest, std::size_t asked,
        duration timeout, reply_handler handler);

    /// Cancels an order: `handler` is not called and the delegate stops working
    /// on it.
    void
    abandon(order_id id);

    /// Probes the blocked delegates that are due. Call regularly.
    void
    tick();

private:
    struct connection;
    struct delegate;

    std::shared_ptr<delegate>
    pick(const std::string& zone);
    order_id
    call(const std::shared_ptr<delegate>& d, const call_request& request,
        std::size_t asked, duration timeout, reply_handler handler);
    void
    on_reply(const std::shared_ptr<delegate>& d, connection& c,
        std::size_t asked, call_reply&& reply);
    /// Updates the moving average of the time that orders take beyond the reply
    /// time of their slowest target. An order without a reply counts with its
    /// timeout.
    void
    record_overhead(delegate& d, duration overhead);
    /// Excludes a delegate from selection and schedules a probe with
    /// exponential backoff.
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
    std::map<std::string, double> handed_back_; ///< moving average, by zone
    order_id last_order_ = 0;
    std::mt19937_64 random_;
};

} // namespace bramleymux
