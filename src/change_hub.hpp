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

/// Distributes changes of the platform's store among the VMs: relays follow the
/// store and answer long polls of the other VMs. Each VM polls several relays
/// at once, so that a relay cut off from the store delays nothing. With too few
/// healthy relays, a VM follows the store itself.
namespace bramleymux
{

/// Path of the polls; the query is "?epoch=N&after=N", followed by "&era=N" if
/// the store was ever restored.
inline constexpr std::string_view changes_path = "/v1/changes";

struct hub_handlers
{
    /// Called once for each change that is new to this VM.
    std::function<void(const store_change&)> on_change;
    /// Starts (true) or stops (false) following the store itself.
    std::function<void(bool)> follow_store;
    /// Called when the store is found to be restored from an older copy, before
    /// any of its objects in the new era.
    std::function<void()> on_restore = {};
};

/// Era of a reply compared with the newest era that a VM knows of.
enum class era_order
{
    current, ///< also if the reply proves no era
    older,   ///< the reply tells nothing about the store now
    newer,   ///< the sources were asked anew; the reply is not needed
    count
};

/// Records the era of a reply of the store; see `change_hub`.
using era_recorder = std::function<era_order(const call_reply&)>;

class change_hub
{
public:
    using poll_reply = std::function<void(http_reply&&)>;

    change_hub(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, std::string vm_id, std::string zone,
        std::set<std::string> kinds, hub_handlers handlers);
    ~change_hub();

    // Input from the store, while this VM follows it.

    /// Replaces all objects of a kind as of `revision`.
    void
    apply_list(const std::string& kind,
        const std::vector<store_change>& objects,
        const store_revision& revision);
    /// Applies the changes of a watch, after which all objects of the kind are
    /// known as of `revision`.
    void
    apply_changes(const std::string& kind,
        const std::vector<store_change>& changes,
        const store_revision& revision);
    /// Applies an object that another VM passed on outside of the polls. Says
    /// nothing of the other objects of its kind.
    void
    apply_object(const store_change& object);
    /// Records whether a call of a feed succeeded.
    void
    record_store_result(bool succeeded);
    /// Records that the store replied, so that this VM still reaches it.
    void
    record_store_reply();
    /// Records the era of a reply of the store. If it is newer than the one
    /// known, asks the sources anew, which restarts the feeds.
    era_order
    record_store_era(const call_reply& reply);

    /// Sets the age of the last reply from the store beyond which this VM
    /// refuses polls.
    void
    set_data_max_age(duration age);

    /// Asks the sources anew. Until they have replied, what this VM knows is
    /// unconfirmed: it refuses polls.
    void
    refresh();

    /// Sets the registered VMs, from which the relays are chosen.
    void
    set_vms(const std::vector<registered_vm>& vms);

    /// Answers a poll of another VM as soon as there is a change, at the latest
    /// after `config::relay_poll_wait`; with status 503 if this VM is not
    /// current.
    void
    serve_poll(const std::string& path, poll_reply reply);

    bool
    follows_store() const
    {
        return follows_store_;
    }

    /// Returns whether other VMs poll this one.
    bool
    is_relay() const
    {
        return plan_.is_relay;
    }

    /// Returns whether the objects of every kind were received at least once,
    /// by a list of the store or from a relay.
    bool
    is_synced() const
    {
        return unlisted_kinds_.empty();
    }

    /// Returns whether the sources have replied for every kind since the last
    /// `refresh`.
    bool
    is_confirmed() const
    {
        return unconfirmed_kinds_.empty();
    }

    /// Returns the newest era of the store that this VM knows of.
    std::uint64_t
    store_era() const
    {
        return era_.value_or(0);
    }

    /// Returns when the store last replied to this VM itself.
    monotonic_time
    last_store_reply_at() const
    {
        return last_store_reply_at_;
    }

    /// Returns when the store or a relay last replied.
    monotonic_time
    last_update_at() const
    {
        return last_update_at_;
    }

    /// Refuses pending and new polls, so that followers use other relays.
    void
    stop();

    /// Runs periodic work: due polls, old deletions, the choice of the source.
    void
    tick();

private:
    struct relay;
    struct pending_poll
    {
        std::uint64_t epoch = 0;
        std::uint64_t after = 0;
        monotonic_time deadline{};
        poll_reply reply;
    };

    /// Records an era that the store or another VM states. Returns whether it
    /// is newer than one known before.
    bool
    take_era(std::uint64_t era);
    /// Starts the feeds anew if this VM follows the store.
    void
    restart_feeds();
    void
    publish(const std::vector<store_change>& changes);
    void
    set_following(bool follow);
    void
    poll(relay& r);
    void
    on_poll(relay& r, call_reply&& reply);
    void
    take_delta(relay& r, const change_delta& delta);
    void
    update_following();
    void
    answer_polls(monotonic_time now);
    bool
    is_current(monotonic_time now) const;
    bool
    reaches_store(monotonic_time now) const;
    bool
    is_relisting(monotonic_time now) const;

    boost::asio::io_context& loop_;
    metrics& metrics_;
    decision_log& log_;
    std::string vm_id_;
    std::string zone_;
    hub_handlers handlers_;
    change_view view_;
    relay_plan plan_;
    std::set<std::string> kinds_;
    std::set<std::string> unlisted_kinds_;    ///< not received yet
    std::set<std::string> unconfirmed_kinds_; ///< since the last `refresh`
    std::vector<std::unique_ptr<relay>> relays_;
    std::uint64_t last_relay_id_ = 0;
    std::list<pending_poll> pending_polls_;
    std::optional<std::uint64_t> era_; ///< newest known; see store_revision
    bool restored_ = false;            ///< since all kinds were last confirmed
    duration data_max_age_;
    monotonic_time last_store_reply_at_{};
    monotonic_time last_update_at_{};
    monotonic_time last_change_at_{};
    monotonic_time follow_store_until_{};
    bool store_failed_ = false;
    bool follows_store_ = false;
    bool stopping_ = false;
};

} // namespace bramleymux
