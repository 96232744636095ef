#pragma once

#include "metrics.hpp"
#include "owner_map.hpp"
#include "peer.hpp"
#include "published.hpp"
#include "sub_request.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

/// Routes sub-requests to the VMs that own their targets.
namespace bramleymux
{

/// Submits a sub-request to the local executor if this VM owns its target.
/// Otherwise forwards it to the owner over the peer links, in one message per
/// owner and batch. Thread-safe; handlers are called without a lock held.
class dispatcher : public sub_request_sink
{
public:
    /// Returns the handle of a target name, invalid if the name is unknown.
    using target_lookup = std::function<target_handle(const std::string&)>;

    /// If `direct` is set, every sub-request runs on the local executor,
    /// regardless of ownership (the baseline policy). All references must
    /// outlive the dispatcher.
    dispatcher(const published<owner_map>& owners, sub_request_sink& local,
        peer_transport& peers, metrics& counters, vm_identity self,
        target_lookup lookup, bool direct);

    /// Returns an identifier that is unique among the sub-requests of this
    /// process.
    std::uint64_t
    next_id();

    void
    submit(std::vector<sub_request> batch,
        const sub_reply_handler& handler) override;

    void
    cancel(std::uint64_t id) override;

    /// Handles sub_batch, sub_reply and cancel messages; ignores other types.
    /// Logs malformed messages and drops them.
    void
    on_message(const peer_message& message);

    /// Fails all sub-requests forwarded to VM `vm_id` as unreachable. Their
    /// outcome is unknown, since that VM may have executed them.
    void
    on_peer_lost(const std::string& vm_id);

    /// Drops forwarded sub-requests that are still without a reply
    /// `config::forwarded_sub_request_grace` after their deadline. Their
    /// handlers are not called, since their queries have ended.
    void
    expire(monotonic_time now);

private:
    /// A sub-request sent to its owner VM and not yet replied to.
    struct forwarded_request
    {
        vm_identity owner;
        monotonic_time deadline;
        sub_reply_handler handler;
    };

    /// VM id of the sender, and the sub-request's id in that VM's process.
    using remote_key = std::pair<std::string, std::uint64_t>;

    /// Ids of the latest sub-requests received from one VM, so that a repeated
    /// message does not execute a sub-request twice.
    struct sender_history
    {
        std::uint64_t incarnation = 0;
        std::deque<std::uint64_t> arrival_order; ///< oldest first
        std::unordered_set<std::uint64_t> ids;
    };

    /// Sends `batch` to its owner in one message. If the message cannot be
    /// sent, fails the sub-requests as not_run.
    void
    forward(const vm_identity& owner, const std::vector<sub_request>& batch,
        const sub_reply_handler& handler);
    /// Calls the handler with an error reply.
    void
    fail(std::uint64_t id, miss_reason reason, run_state run,
        const sub_reply_handler& handler) const;
    /// Returns false if the sub-request was received before from the same
    /// incarnation of the sender. Requires `received_mutex_`.
    bool
    record_if_new(const peer_message& message, std::uint64_t remote_id);
    void
    on_batch(const peer_message& message);
    void
    on_reply(const peer_message& message);
    void
    on_cancel(const peer_message& message);

    const published<owner_map>& owners_;
    sub_request_sink& local_;
    peer_transport& peers_;
    metrics& metrics_;
    vm_identity self_;
    target_lookup lookup_;
    bool direct_;
    std::atomic<std::uint64_t> next_id_{1};

    std::mutex forwarded_mutex_;
    std::unordered_map<std::uint64_t, forwarded_request> forwarded_; ///< by id

    std::mutex received_mutex_;
    std::map<remote_key, std::uint64_t> received_;    ///< remote to local ids
    std::map<std::string, sender_history> histories_; ///< by VM id
};

} // namespace bramleymux
