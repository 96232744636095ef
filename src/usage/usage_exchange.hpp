#pragma once

#include "call_channel.hpp"
#include "decision_log.hpp"
#include "metrics.hpp"
#include "usage/collector_choice.hpp"
#include "usage/usage_messages.hpp"
#include "usage/usage_meter.hpp"

/// Sends the counts of this VM to the collectors of its zone, and collects
/// those of other VMs.
namespace bramleymux
{

class usage_exchange
{
public:
    using reply_handler = std::function<void(http_reply&&)>;

    usage_exchange(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, usage_meter& meter, std::string vm_id,
        std::string zone);
    ~usage_exchange();

    void
    set_vms(const std::vector<registered_vm>& vms);

    /// Answers a request of another VM with a path that begins with
    /// `usage_path`.
    void
    serve(const parsed_request& request, const reply_handler& reply);

    /// Returns the counts of all processes that this VM knows, itself included.
    std::vector<source_usage>
    known_usage(window_id window);

    /// Sends more often until the process exits.
    void
    stop();

    /// Sends what is due; called periodically.
    void
    tick();

private:
    struct link;

    usage_message
    make_message(link& to);
    void
    send(link& to);
    void
    on_ack(link& from, duration sent_at, std::uint64_t changes,
        const std::vector<window_id>& closed, const call_reply& reply);
    void
    correct_clock(const clock_median& median, duration sent, duration received);
    http_reply
    accept(const std::string& body);
    void
    choose_links(duration now);

    boost::asio::io_context& loop_;
    metrics& metrics_;
    decision_log& log_;
    usage_meter& meter_;
    std::string vm_id_;
    std::string zone_;
    std::uint64_t process_;
    std::uint64_t last_sequence_ = 0;
    std::vector<registered_vm> ranked_; ///< collectors of the zone
    /// VMs that compare the clocks, if the zone has too few for a median.
    std::vector<registered_vm> ranked_for_clock_;
    failed_collectors failed_;
    std::vector<std::unique_ptr<link>> links_;
    usage_collector collector_;
    clock_samples samples_;
    duration next_send_at_{}; ///< boot time
    bool stopping_ = false;
};

} // namespace bramleymux
