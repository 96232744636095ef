#pragma once

#include "call_channel.hpp"
#include "change_view.hpp"
#include "decision_log.hpp"
#include "metrics.hpp"
#include "relay_plan.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Spreads changes of the platform's store over the VMs of a zone: relays
/// follow the store and answer the polls of the other VMs. A VM follows several
/// relays at once, so that one that is cut off from the store delays nothing;
/// with too few sound relays it follows the store itself.
namespace bramleymux
{

/// Path of the polls, with "?epoch=N&after=N".
inline constexpr std::string_view changes_path = "/v1/changes";

struct hub_handlers
{
    std::function<void(const store_change&)> on_change;
    /// The VM shall, or need no longer, follow the store itself.
    std::function<void(bool)> follow_store;
};

class change_hub
{
public:
    using poll_reply = std::function<void(http_reply&&)>;

    change_hub(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, std::string vm_id, std::string zone,
        std::set<std::string> kinds, hub_handlers handlers);
    ~change_hub();

    // From the store.
    void
    take_list(const std::string& kind, const std::vector<store_change>& objects,
        std::uint64_t revision);
    void
    take_change(const store_change& change);
    /// The store answered, or a call to it failed.
    void
    note_store(bool answered);

    /// VMs that are registered; decides whether this VM is a relay.
    void
    set_vms(const std::vector<registered_vm>& vms);

    /// A poll of another VM, answered when there is a change or after
    /// `config::relay_poll_wait`.
    void
    serve_poll(const std::string& path, poll_reply reply);

    bool
    follows_store() const
    {
        return follows_store_;
    }

    /// Whether every kind was listed at least once.
    bool
    is_informed() const
    {
        return unknown_kinds_.empty();
    }

    /// When the store was last heard, here or by a relay.
    monotonic_time
    heard_at() const
    {
        return heard_at_;
    }

    /// Sends the followers elsewhere.
    void
    stop();

    void
    tick();

private:
    struct relay;
    struct waiting_poll
    {
        std::uint64_t epoch = 0;
        std::uint64_t after = 0;
        monotonic_time until{};
        poll_reply reply;
    };

    void
    publish(const std::vector<store_change>& changes);
    void
    poll(relay& r);
    void
    on_poll(relay& r, call_reply&& reply);
    void
    decide();
    void
    answer_polls(monotonic_time now);
    bool
    is_current(monotonic_time now) const;

    boost::asio::io_context& loop_;
    metrics& metrics_;
    decision_log& log_;
    std::string vm_id_;
    std::string zone_;
    hub_handlers handlers_;
    change_view view_;
    relay_plan plan_;
    std::set<std::string> unknown_kinds_;
    std::vector<std::unique_ptr<relay>> relays_;
    std::list<waiting_poll> polls_;
    monotonic_time store_heard_at_{};
    monotonic_time heard_at_{};
    monotonic_time changed_at_{};
    monotonic_time follow_until_{};
    bool store_failed_ = false;
    bool follows_store_ = false;
    bool stopping_ = false;
};

} // namespace bramleymux
