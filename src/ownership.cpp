#include "ownership.hpp"

#include "config.hpp"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace bramleymux
{

namespace
{

constexpr auto never = monotonic_time::min();

std::uint64_t
hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

view_id
hash_view(const std::vector<vm_ref>& sorted_members)
{
    std::uint64_t hash = 0;
    for (const vm_ref& vm : sorted_members)
    {
        hash = hash_text(vm.id, hash);
        hash = hash_text(std::to_string(vm.incarnation), hash);
    }
    return hash;
}

std::optional<std::size_t>
owner_of(std::string_view target, const std::vector<vm_ref>& members)
{
    std::optional<std::size_t> best;
    std::uint64_t best_hash = 0;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        const auto hash = hash_text(target, hash_text(members[i].id, 0));
        const bool wins =
            !best || hash > best_hash ||
            (hash == best_hash && members[i].id < members[*best].id);
        if (wins)
        {
            best = i;
            best_hash = hash;
        }
    }
    return best;
}

void
fill_running(
    ownership_actions& actions, const std::vector<running_count>& running)
{
    for (view_ack& ack : actions.acks)
    {
        ack.running.insert(ack.running.end(), running.begin(), running.end());
    }
    for (view_release& release : actions.releases)
    {
        release.running = running;
    }
}

ownership_state::ownership_state(vm_ref self, monotonic_time started)
    : self_(std::move(self)), listening_since_(started), last_call_(started),
      last_tick_(started), members_{self_}, view_(hash_view(members_))
{
}

ownership_actions
ownership_state::set_live_members(
    const std::vector<vm_ref>& members, monotonic_time now)
{
    record_time(now);
    for (auto& [vm, peer] : peers_)
    {
        peer.listed = false;
    }
    for (const vm_ref& vm : members)
    {
        if (!(vm == self_))
        {
            peer_state& peer = peers_[vm];
            peer.listed = true;
            peer.known_until = now + config::ownership_settle_time;
        }
    }
    ownership_actions out;
    refresh(out, now);
    return out;
}

ownership_actions
ownership_state::on_view_request(
    const view_request& request, monotonic_time now)
{
    ownership_actions out;
    if (!(request.to == self_) || request.from == self_)
    {
        return out;
    }
    record_time(now);
    peer_state& peer = peers_[request.from];
    if (request.ready && request.number > peer.released_up_to)
    {
        record_received(peer, request.number, request.members, now);
        if (!peer.pending || peer.pending->number < request.number)
        {
            peer.pending = request;
        }
    }
    refresh(out, now);
    // Shows a VM in another view that this one is alive.
    const bool differs = !request.ready || request.view != view_;
    if (differs && is_ready())
    {
        out.acks.push_back(make_ack(request, false, now));
    }
    return out;
}

ownership_actions
ownership_state::on_view_ack(const view_ack& ack, monotonic_time now)
{
    ownership_actions out;
    if (!(ack.to == self_) || ack.from == self_)
    {
        return out;
    }
    record_time(now);
    peer_state& peer = peers_[ack.from];
    record_received(peer, ack.number, ack.members, now);
    const auto sent = request_times_.find(ack.request);
    if (ack.granted && ack.view == view_ && sent != request_times_.end())
    {
        peer.lease_until =
            std::max(peer.lease_until, sent->second + config::view_lease);
        peer.settled = ack.settled;
        record_running(peer, ack.number, ack.running, now);
    }
    refresh(out, now);
    return out;
}

ownership_actions
ownership_state::on_view_release(
    const view_release& release, monotonic_time now)
{
    ownership_actions out;
    if (!(release.to == self_) || release.from == self_)
    {
        return out;
    }
    record_time(now);
    peer_state& peer = peers_[release.from];
    peer.released_up_to = std::max(peer.released_up_to, release.up_to);
    if (peer.promise_number <= release.up_to)
    {
        peer.promise_until = never;
    }
    if (peer.pending && peer.pending->number <= release.up_to)
    {
        peer.pending.reset();
    }
    record_running(peer, release.number, release.running, now);
    if (!release.leaving)
    {
        // If two VMs drop each other at once, each sees that the other's view
        // excludes it, and they do not both act alone.
        record_received(peer, release.number, release.members, now);
    }
    else
    {
        peer.left = true;
        peer.known_until = now + config::ownership_settle_time;
        peer.excluded_until = never;
        peer.pending.reset();
    }
    refresh(out, now);
    return out;
}

ownership_actions
ownership_state::tick(monotonic_time now)
{
    record_time(now);
    last_tick_ = now;
    ownership_actions out;
    refresh(out, now);
    const bool listening = !is_settled(now) || outsider_may_hold_lease(now);
    const duration period = listening ? duration(config::view_listen_period)
                                      : duration(config::view_renewal_period);
    if (last_request_ == never || now - last_request_ >= period)
    {
        if (left_)
        {
            last_request_ = now;
            send_releases(out, last_sent_number_);
        }
        else
        {
            send_requests(out, now);
        }
    }
    erase_unused_peers(now);
    return out;
}

ownership_actions
ownership_state::leave(monotonic_time now)
{
    record_time(now);
    ownership_actions out;
    left_ = true;
    members_.clear();
    view_ = 0;
    request_times_.clear();
    out.view_changed = true;
    last_request_ = now;
    send_releases(out, last_sent_number_);
    return out;
}

ownership_actions
ownership_state::on_running_changed(monotonic_time now)
{
    record_time(now);
    ownership_actions out;
    if (ready_)
    {
        send_releases(out, left_ ? last_sent_number_ : 0);
    }
    return out;
}

monotonic_time
ownership_state::lease_end(monotonic_time now) const
{
    if (!is_ready() || !has_settled_member(now) ||
        outsider_may_hold_lease(now) || has_other_promise(nullptr, now))
    {
        return never;
    }
    // The lease of a VM without peers is renewed by `tick`, so that a VM that
    // was paused does not act before it has listened for others.
    monotonic_time end = last_tick_ + config::view_lease;
    for (const vm_ref& vm : members_)
    {
        if (!(vm == self_))
        {
            end = std::min(end, peers_.at(vm).lease_until);
        }
    }
    if (end == never || now >= end - config::view_lease_margin)
    {
        return never;
    }
    return end - config::view_lease_margin;
}

bool
ownership_state::may_act(monotonic_time now) const
{
    return lease_end(now) != never;
}

monotonic_time
ownership_state::lease_end_for(
    std::string_view target, monotonic_time now) const
{
    const auto owner = owner_of(target, members_);
    return owner && members_[*owner] == self_ ? lease_end(now) : never;
}

bool
ownership_state::is_ready() const
{
    return ready_ && !left_;
}

const std::vector<vm_ref>&
ownership_state::members() const
{
    return members_;
}

view_id
ownership_state::current_view() const
{
    return view_;
}

std::uint32_t
ownership_state::foreign_running(
    std::string_view target, monotonic_time now) const
{
    std::uint32_t sum = 0;
    for (const auto& [vm, peer] : peers_)
    {
        if (peer.running_until <= now)
        {
            continue;
        }
        for (const running_count& entry : peer.running)
        {
            sum += entry.target == target ? entry.count : 0;
        }
    }
    return sum;
}

/// Records the time of a call. Restarts listening after a pause of the process.
void
ownership_state::record_time(monotonic_time now)
{
    const auto gap = now - last_call_;
    if (gap > config::process_pause_threshold)
    {
        listening_since_ = now;
    }
    else if (gap > config::listening_pause_threshold && !is_settled(last_call_))
    {
        // Replies to the last requests may have been missed.
        listening_since_ = std::max(
            listening_since_, monotonic_time(now - config::view_lease));
    }
    last_call_ = std::max(last_call_, now);
    ready_ = ready_ || now - listening_since_ >= config::view_lease;
}

/// Records a message of a ready peer and the view that it reports. A peer whose
/// view lacks this VM may hold a lease without a promise of this VM. A peer
/// that has adopted another view than the promised one no longer acts under the
/// promised one, even if its release was lost, but its work may still run.
void
ownership_state::record_received(peer_state& peer, std::uint64_t number,
    const std::vector<vm_ref>& members, monotonic_time now)
{
    peer.ready = true;
    peer.known_until = now + config::ownership_settle_time;
    if (number <= peer.last_received_number || peer.left)
    {
        return;
    }
    peer.last_received_number = number;
    if (number > peer.promise_number &&
        hash_view(members) != peer.promised_view)
    {
        peer.left_promised_view = true;
    }
    if (std::find(members.begin(), members.end(), self_) == members.end())
    {
        peer.excluded_until = now + config::ownership_settle_time;
    }
}

void
ownership_state::record_running(peer_state& peer, std::uint64_t number,
    const std::vector<running_count>& running, monotonic_time now)
{
    if (number > peer.running_number)
    {
        peer.running_number = number;
        peer.running = running;
        peer.running_until = now + config::view_lease;
    }
}

/// Adopts the view that follows from the peers' states, then grants the
/// pending requests that this view permits.
void
ownership_state::refresh(ownership_actions& out, monotonic_time now)
{
    if (!is_ready())
    {
        return;
    }
    std::vector<vm_ref> next{self_};
    for (const auto& [vm, peer] : peers_)
    {
        if (peer.listed && peer.ready && !peer.left)
        {
            next.push_back(vm);
        }
    }
    std::sort(next.begin(), next.end());
    if (next != members_)
    {
        adopt(std::move(next), out, now);
    }
    grant_pending(out, now);
}

void
ownership_state::adopt(
    std::vector<vm_ref> members, ownership_actions& out, monotonic_time now)
{
    members_ = std::move(members);
    view_ = hash_view(members_);
    send_releases(out, last_sent_number_);
    request_times_.clear();
    for (auto& [vm, peer] : peers_)
    {
        peer.lease_until = never;
        peer.settled = false;
    }
    out.view_changed = true;
    send_requests(out, now);
}

void
ownership_state::send_requests(ownership_actions& out, monotonic_time now)
{
    last_request_ = now;
    while (!request_times_.empty() &&
           request_times_.begin()->second + config::view_lease <= now)
    {
        request_times_.erase(request_times_.begin());
    }
    ++last_sent_number_;
    request_times_[last_sent_number_] = now;
    for (const auto& [vm, peer] : peers_)
    {
        if (!peer.left)
        {
            out.requests.push_back(
                {self_, vm, last_sent_number_, view_, members_, is_ready()});
        }
    }
}

void
ownership_state::send_releases(ownership_actions& out, std::uint64_t up_to)
{
    ++last_sent_number_;
    for (const auto& [vm, peer] : peers_)
    {
        out.releases.push_back(
            {self_, vm, last_sent_number_, up_to, left_, members_, {}});
    }
}

void
ownership_state::grant_pending(ownership_actions& out, monotonic_time now)
{
    if (outsider_may_hold_lease(now))
    {
        return;
    }
    for (auto& [vm, peer] : peers_)
    {
        if (!peer.pending || peer.pending->view != view_ ||
            has_other_promise(&vm, now))
        {
            continue;
        }
        if (peer.pending->number > peer.promise_number)
        {
            peer.promised_view = view_;
            peer.promise_number = peer.pending->number;
            peer.promise_until = now + config::view_lease;
            peer.left_promised_view = false;
            out.acks.push_back(make_ack(*peer.pending, true, now));
        }
        peer.pending.reset();
    }
}

/// The acknowledgement includes the running work of VMs outside the view, whose
/// messages the requester may not have received.
view_ack
ownership_state::make_ack(
    const view_request& request, bool granted, monotonic_time now)
{
    view_ack ack{self_, request.from, ++last_sent_number_, request.number,
        view_, members_, granted, is_settled(now), {}};
    for (const auto& [vm, peer] : peers_)
    {
        if (now < peer.running_until && !is_member(vm))
        {
            ack.running.insert(
                ack.running.end(), peer.running.begin(), peer.running.end());
        }
    }
    return ack;
}

/// Erases VMs that hold no lease and from which no message is expected soon.
void
ownership_state::erase_unused_peers(monotonic_time now)
{
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        const peer_state& peer = it->second;
        const auto until = std::max({peer.known_until, peer.promise_until,
            peer.excluded_until, peer.running_until,
            listening_since_ + config::ownership_settle_time});
        const bool keep = peer.listed || is_member(it->first) || now < until;
        it = keep ? std::next(it) : peers_.erase(it);
    }
}

bool
ownership_state::is_member(const vm_ref& vm) const
{
    return std::binary_search(members_.begin(), members_.end(), vm);
}

bool
ownership_state::is_settled(monotonic_time now) const
{
    return now - listening_since_ >= config::ownership_settle_time;
}

/// Returns whether this VM or another member has listened for other VMs without
/// a pause. If all members were paused together, a VM unknown to all of them
/// may have taken over.
bool
ownership_state::has_settled_member(monotonic_time now) const
{
    return is_settled(now) ||
           std::any_of(members_.begin(), members_.end(),
               [&](const vm_ref& vm)
               { return !(vm == self_) && peers_.at(vm).settled; });
}

/// Returns whether a VM outside the view may hold a lease for a view without
/// this VM.
bool
ownership_state::outsider_may_hold_lease(monotonic_time now) const
{
    return std::any_of(peers_.begin(), peers_.end(),
        [&](const auto& entry)
        {
            const peer_state& peer = entry.second;
            return !peer.left && !is_member(entry.first) &&
                   (now < peer.excluded_until ||
                       (peer.ready && !is_settled(now)));
        });
}

/// Returns whether a promise of this VM for another view is still valid.
/// Ignores promises to `except`, which may be null.
bool
ownership_state::has_other_promise(
    const vm_ref* except, monotonic_time now) const
{
    return std::any_of(peers_.begin(), peers_.end(),
        [&](const auto& entry)
        {
            const peer_state& peer = entry.second;
            return !(except != nullptr && entry.first == *except) &&
                   now < peer.promise_until && peer.promised_view != view_;
        });
}

} // namespace bramleymux
