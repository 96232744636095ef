#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Decides which VM of a zone may send to a target. Each VM adopts a view,
/// which is a list of member VMs, and sends view requests. A member that has
/// adopted the same view acknowledges with a promise: for `view_lease`, it
/// neither acts under another view nor grants one to a third VM. A VM that
/// holds promises of all other members holds a lease and may send to the
/// targets that it owns in the view.
/// Performs no I/O: time is passed in, messages are returned to the caller.
namespace bramleymux
{

/// Identifies one run of one VM.
struct vm_ref
{
    std::string id;
    std::uint64_t incarnation = 0;

    friend bool
    operator==(const vm_ref& a, const vm_ref& b)
    {
        return a.incarnation == b.incarnation && a.id == b.id;
    }

    friend bool
    operator<(const vm_ref& a, const vm_ref& b)
    {
        return a.id != b.id ? a.id < b.id : a.incarnation < b.incarnation;
    }
};

using view_id = std::uint64_t;

/// Hash of a sorted member list.
view_id
hash_view(const std::vector<vm_ref>& sorted_members);

/// Index of the member with the highest rendezvous hash of (target, VM id);
/// returns nullopt for an empty list. Every VM computes the same owner from the
/// same members, for any zone.
std::optional<std::size_t>
owner_of(std::string_view target, const std::vector<vm_ref>& members);

/// Number of requests that are running at one target.
struct running_count
{
    std::string target;
    std::uint32_t count = 0;
};

/// Asks a member to acknowledge a view. To a VM outside the view it is only a
/// liveness probe.
struct view_request
{
    vm_ref from;
    vm_ref to;
    std::uint64_t number = 0; ///< increases with each message of the sender
    view_id view = 0;
    std::vector<vm_ref> members;
    bool ready = false; ///< false: just started, holds and grants no lease
};

/// Answers a view request; a promise if `granted`.
struct view_ack
{
    vm_ref from;
    vm_ref to;
    std::uint64_t number = 0;  ///< increases with each message of the sender
    std::uint64_t request = 0; ///< number of the request
    view_id view = 0;          ///< of the sender
    std::vector<vm_ref> members;
    bool granted = false; ///< false: only shows that the sender is alive
    /// Whether the sender has listened for `config::ownership_settle_time`
    /// without a pause.
    bool settled = false;
    std::vector<running_count> running; ///< filled in by the caller
};

/// Ends every promise made to the sender for its requests up to `up_to` and
/// updates the sender's running work.
struct view_release
{
    vm_ref from;
    vm_ref to;
    std::uint64_t number = 0; ///< increases with each message of the sender
    std::uint64_t up_to = 0;  ///< 0: only an update of running work
    bool leaving = false;
    std::vector<vm_ref> members;        ///< of the sender's view from now on
    std::vector<running_count> running; ///< filled in by the caller
};

/// Messages to send after a call of `ownership_state`.
struct ownership_actions
{
    std::vector<view_request> requests;
    std::vector<view_ack> acks;
    std::vector<view_release> releases;
    bool view_changed = false;
};

/// Adds the work that this VM has running at targets to acks and releases.
/// Read the counts after the call that returned the actions, so that they
/// include every send under the previous view.
void
fill_running(
    ownership_actions& actions, const std::vector<running_count>& running);

/// Ownership protocol state of one VM. Not thread-safe.
class ownership_state
{
public:
    ownership_state(vm_ref self, monotonic_time started);

    /// Sets the live VMs of this VM's zone as membership sees them. `members`
    /// may contain this VM.
    ownership_actions
    set_live_members(const std::vector<vm_ref>& members, monotonic_time now);

    ownership_actions
    on_view_request(const view_request& request, monotonic_time now);

    ownership_actions
    on_view_ack(const view_ack& ack, monotonic_time now);

    ownership_actions
    on_view_release(const view_release& release, monotonic_time now);

    /// Renews leases. Must be called at least every `view_listen_period`.
    ownership_actions
    tick(monotonic_time now);

    /// Stops acting permanently and releases the promises of the other VMs.
    /// Later ticks repeat the release.
    ownership_actions
    leave(monotonic_time now);

    /// Reports to the zone that work of a previous view has ended.
    ownership_actions
    on_running_changed(monotonic_time now);

    /// Returns the end of the lease less `view_lease_margin`, or
    /// `monotonic_time::min()` if this VM may not act.
    monotonic_time
    lease_end(monotonic_time now) const;

    bool
    may_act(monotonic_time now) const;

    /// Returns `lease_end` for a target that this VM owns in its view, else
    /// `monotonic_time::min()`.
    monotonic_time
    lease_end_for(std::string_view target, monotonic_time now) const;

    /// Returns false during the first `view_lease` after the start and after
    /// `leave`: other VMs should not choose this VM as an owner.
    bool
    is_ready() const;

    const std::vector<vm_ref>&
    members() const;

    view_id
    current_view() const;

    /// Returns the number of requests of other VMs that may still be running at
    /// a target.
    std::uint32_t
    foreign_running(std::string_view target, monotonic_time now) const;

private:
    struct peer_state
    {
        bool listed = false; ///< live according to membership
        bool ready = false;
        bool left = false;
        std::uint64_t last_received_number = 0; ///< highest so far
        monotonic_time known_until = monotonic_time::min();
        /// End of the time in which the peer may hold a lease for a view
        /// without this VM.
        monotonic_time excluded_until = monotonic_time::min();
        // Promise of this VM to the peer.
        view_id promised_view = 0;
        std::uint64_t promise_number = 0;
        monotonic_time promise_until = monotonic_time::min();
        std::uint64_t released_up_to = 0;
        bool left_promised_view = false; ///< has adopted another view since
        std::optional<view_request> pending;
        // Promise of the peer to this VM, for the current view.
        monotonic_time lease_until = monotonic_time::min();
        bool settled = false;
        // Work of the peer.
        std::uint64_t running_number = 0;
        monotonic_time running_until = monotonic_time::min();
        std::vector<running_count> running;
    };

    void
    record_time(monotonic_time now);
    void
    record_received(peer_state& peer, std::uint64_t number,
        const std::vector<vm_ref>& members, monotonic_time now);
    static void
    record_running(peer_state& peer, std::uint64_t number,
        const std::vector<running_count>& running, monotonic_time now);
    void
    refresh(ownership_actions& out, monotonic_time now);
    void
    adopt(std::vector<vm_ref> members, ownership_actions& out,
        monotonic_time now);
    void
    send_requests(ownership_actions& out, monotonic_time now);
    void
    send_releases(ownership_actions& out, std::uint64_t up_to);
    void
    grant_pending(ownership_actions& out, monotonic_time now);
    view_ack
    make_ack(const view_request& request, bool granted, monotonic_time now);
    void
    erase_unused_peers(monotonic_time now);
    bool
    is_member(const vm_ref& vm) const;
    bool
    is_settled(monotonic_time now) const;
    bool
    has_settled_member(monotonic_time now) const;
    bool
    outsider_may_hold_lease(monotonic_time now) const;
    bool
    has_other_promise(const vm_ref* except, monotonic_time now) const;

    vm_ref self_;
    /// Since when this VM has listened for peers without a pause.
    monotonic_time listening_since_;
    monotonic_time last_call_;
    monotonic_time last_tick_;
    monotonic_time last_request_ = monotonic_time::min();
    std::vector<vm_ref> members_;
    view_id view_ = 0;
    std::uint64_t last_sent_number_ = 0;
    /// Send times of the current view's requests, by message number.
    std::map<std::uint64_t, monotonic_time> request_times_;
    std::map<vm_ref, peer_state> peers_;
    bool ready_ = false;
    bool left_ = false;
};

} // namespace bramleymux
