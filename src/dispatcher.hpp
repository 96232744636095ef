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

/// Sends each sub-request to the VM that owns its target: to the local
/// executor, or in one message for each owner over the peer links.
namespace bramleymux
{

class dispatcher : public sub_request_sink
{
public:
    /// Handle of a target's name, or an invalid one.
    using target_lookup = std::function<target_handle(const std::string&)>;

    /// With `direct`, every sub-request runs on the local executor whoever
    /// owns its target (the baseline policy).
    dispatcher(const published<owner_map>& owners, sub_request_sink& local,
        peer_transport& peers, metrics& counters, vm_identity self,
        target_lookup lookup, bool direct);

    /// Identifier that no other sub-request of this process has.
    std::uint64_t
    next_id();

    void
    submit(std::vector<sub_request> batch,
        const sub_reply_handler& handler) override;

    void
    cancel(std::uint64_t id) override;

    /// Handles sub_batch, sub_reply and cancel messages.
    void
    on_message(const peer_message& message);

    /// Fails all sub-requests that wait for a reply of this VM.
    void
    on_peer_lost(const std::string& vm_id);

    /// Drops sub-requests whose reply is overdue; their queries have ended.
    void
    expire(monotonic_time now);

private:
    struct forwarded
    {
        vm_identity owner;
        monotonic_time deadline;
        sub_reply_handler handler;
    };

    using remote_key = std::pair<std::string, std::uint64_t>;

    /// Sub-requests that a VM sent lately, so that a repeated message does not
    /// run one twice.
    struct sender_history
    {
        std::uint64_t incarnation = 0;
        std::deque<std::uint64_t> order;
        std::unordered_set<std::uint64_t> ids;
    };

    void
    forward(const vm_identity& owner, const std::vector<sub_request>& batch,
        const sub_reply_handler& handler);
    void
    refuse(std::uint64_t id, miss_reason reason, run_state run,
        const sub_reply_handler& handler) const;
    bool
    is_new(const peer_message& message, std::uint64_t remote_id);
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
    std::unordered_map<std::uint64_t, forwarded> forwarded_;

    std::mutex received_mutex_;
    std::map<remote_key, std::uint64_t> received_;    ///< remote to local ids
    std::map<std::string, sender_history> histories_; ///< by VM id
};

} // namespace bramleymux
