#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Which VM of a zone may send to a target: views, promises and leases (D1).
/// Pure: time is passed in, messages are returned to the caller.
namespace bramleymux
{

/// One run of one VM.
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
/// no value for an empty list. Every VM computes the same owner from the same
/// members, for any zone.
std::optional<std::size_t>
owner_of(std::string_view target, const std::vector<vm_ref>& members);

struct running_count
{
    std::string target;
    std::uint32_t count = 0;
};

/// Asks a member to acknowledge a view. To a VM outside the view it only asks
/// for a sign of life.
struct view_request
{
    vm_ref from;
    vm_ref to;
    std::uint64_t number = 0; ///< rises with each message of the sender
    view_id view = 0;
    std::vector<vm_ref> members;
    bool ready = false; ///< false: just started, holds and grants nothing
};

struct view_ack
{
    vm_ref from;
    vm_ref to;
    std::uint64_t number = 0; ///< of the sender
    std::uint64_t request = 0;
    view_id view = 0; ///< of the sender
    std::vector<vm_ref> members;
    bool granted = false; ///< false: only a sign of life
    bool settled = false;
    std::vector<running_count> running; ///< filled in by the caller
};

/// Ends every promise for requests up to `up_to` and updates the sender's
/// running work.
struct view_release
{
    vm_ref from;
    vm_ref to;
    std::uint64_t number = 0; ///< of the sender
    std::uint64_t up_to = 0;  ///< 0: only an update of running work
    bool leaving = false;
    std::vector<running_count> running; ///< filled in by the caller
};

struct ownership_actions
{
    std::vector<view_request> requests;
    std::vector<view_ack> acks;
    std::vector<view_release> releases;
    bool view_changed = false;
};

/// Puts the work that this VM has running at targets into acks and releases.
/// The counts must be read after the call that returned the actions, so that
/// no send under the former view is missed.
void
fill_running(
    ownership_actions& actions, const std::vector<running_count>& running);

/// State of one VM. Not thread-safe.
class ownership_state
{
public:
    ownership_state(vm_ref self, monotonic_time started);

    /// Live VMs of the own zone by membership, with or without this VM.
    ownership_actions
    set_view(const std::vector<vm_ref>& members, monotonic_time now);

    ownership_actions
    on_view_request(const view_request& request, monotonic_time now);

    ownership_actions
    on_view_ack(const view_ack& ack, monotonic_time now);

    ownership_actions
    on_view_release(const view_release& release, monotonic_time now);

    /// Renews leases; to be called at least every `view_listen_period`.
    ownership_actions
    tick(monotonic_time now);

    /// Stops acting for good and releases everything. Later ticks repeat the
    /// release.
    ownership_actions
    leave(monotonic_time now);

    /// Tells the zone that work left from a former view has ended.
    ownership_actions
    running_changed(monotonic_time now);

    /// End of the lease, less `lease_margin`; `monotonic_time::min()` when the
    /// VM may not act.
    monotonic_time
    lease_end(monotonic_time now) const;

    bool
    may_act(monotonic_time now) const;

    /// `lease_end` for a target that this VM owns in its view, else
    /// `monotonic_time::min()`.
    monotonic_time
    lease_end_for(std::string_view target, monotonic_time now) const;

    /// False during the first `view_lease` after the start and after `leave`:
    /// other VMs should not choose this VM as an owner.
    bool
    is_ready() const;

    const std::vector<vm_ref>&
    members() const;

    view_id
    current_view() const;

    /// Work of other VMs still running at a target.
    std::uint32_t
    foreign_running(std::string_view target, monotonic_time now) const;

private:
    struct peer_state
    {
        bool listed = false;
        bool ready = false;
        bool left = false;
        std::uint64_t heard = 0; ///< highest message number
        monotonic_time known_until = monotonic_time::min();
        monotonic_time excluded_until = monotonic_time::min();
        // Promise of this VM to the peer.
        view_id promised_view = 0;
        std::uint64_t promise_number = 0;
        monotonic_time promise_until = monotonic_time::min();
        std::uint64_t released_up_to = 0;
        bool moved_on = false; ///< in another view than the one promised
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
    note_time(monotonic_time now);
    void
    note_heard(peer_state& peer, std::uint64_t number,
        const std::vector<vm_ref>& members, monotonic_time now);
    static void
    note_running(peer_state& peer, std::uint64_t number,
        const std::vector<running_count>& running, monotonic_time now);
    void
    refresh(ownership_actions& out, monotonic_time now);
    void
    adopt(std::vector<vm_ref> members, ownership_actions& out,
        monotonic_time now);
    void
    send_requests(ownership_actions& out, monotonic_time now);
    void
    send_releases(
        ownership_actions& out, std::uint64_t up_to, bool members_only);
    void
    grant_pending(ownership_actions& out, monotonic_time now);
    view_ack
    make_ack(const view_request& request, bool granted, monotonic_time now);
    void
    forget_peers(monotonic_time now);
    bool
    is_member(const vm_ref& vm) const;
    bool
    is_settled(monotonic_time now) const;
    bool
    is_supported(monotonic_time now) const;
    bool
    is_held_back(monotonic_time now) const;
    bool
    has_other_promise(const vm_ref* except, monotonic_time now) const;

    vm_ref self_;
    monotonic_time listening_since_;
    monotonic_time last_event_;
    monotonic_time last_tick_;
    monotonic_time last_request_ = monotonic_time::min();
    std::vector<vm_ref> members_;
    view_id view_ = 0;
    std::uint64_t number_ = 0;
    std::map<std::uint64_t, monotonic_time> sent_; ///< of the current view
    std::map<vm_ref, peer_state> peers_;
    bool ready_ = false;
    bool left_ = false;
};

} // namespace bramleymux
