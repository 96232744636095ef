#include "duties/duty_lease.hpp"

#include "config/duties.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr unsigned era_shift = 32;

bool
is_own(const duty_lease& lease, const duty_record& record)
{
    return record.claim == lease.claim && record.holder == lease.self &&
           !record.released;
}

bool
is_unchanged_for_a_lease(const duty_lease& lease)
{
    return lease.same_since &&
           lease.last_seen_at - *lease.same_since >= lease.limits.lease;
}

/// Returns whether a process of this VM may have acted in the last change of
/// holders. The object of a new era names no holders of the era before.
bool
may_be_former_holder(const duty_lease& lease)
{
    if (lease.era > 0)
    {
        return true;
    }
    return lease.known && (lease.known->holder == lease.self ||
                              std::find(lease.known->formers.begin(),
                                  lease.known->formers.end(),
                                  lease.self) != lease.known->formers.end());
}

/// Returns the time before which this VM must not acquire the lease: one lease
/// after it may last have acted, so that holders never act in the order A, B, A
/// within a lease. An earlier process of this VM ended before this one started.
duration
quiet_until(const duty_lease& lease)
{
    duration acted = lease.may_have_acted;
    if (may_be_former_holder(lease))
    {
        acted = std::max(acted, lease.started_at);
    }
    return acted == duration::zero() ? acted : acted + lease.limits.lease;
}

bool
may_claim(const duty_lease& lease, duration now)
{
    if (!lease.same_since || now < quiet_until(lease))
    {
        return false;
    }
    if (lease.known)
    {
        return lease.known->released || is_unchanged_for_a_lease(lease);
    }
    // A holder may act under an object that a restored store has lost or that
    // was removed.
    const bool first_ever = lease.era == 0 && !lease.was_seen;
    return first_ever || is_unchanged_for_a_lease(lease);
}

bool
is_read_due(const duty_lease& lease, duration now, std::size_t rank)
{
    if (!lease.read_sent_at || !lease.same_since)
    {
        return true;
    }
    const duration period = rank < config::duty_first_candidates
                                ? duration(config::duty_first_read_period)
                                : duration(config::duty_read_period);
    const duration lease_end = *lease.same_since + lease.limits.lease;
    const bool confirms_end =
        now >= lease_end && lease.last_seen_at < lease_end;
    return now >= *lease.read_sent_at + period || confirms_end;
}

duty_action
make_claim(const duty_lease& lease)
{
    duty_action out{duty_action_kind::write, lease.era, {}};
    duty_record& record = out.record;
    if (lease.known)
    {
        record.revision = lease.known->revision;
        record.pending = lease.known->pending;
        record.formers.push_back(lease.known->holder);
        for (const std::string& former : lease.known->formers)
        {
            if (former != lease.known->holder &&
                record.formers.size() < config::max_duty_formers)
            {
                record.formers.push_back(former);
            }
        }
    }
    record.holder = lease.self;
    record.claim = lease.claim;
    record.write = lease.writes_sent + 1;
    record.counter = lease.highest_counter + 1;
    return out;
}

duty_action
make_renewal(const duty_lease& lease)
{
    duty_action out{duty_action_kind::write, lease.era, *lease.known};
    out.record.write = lease.writes_sent + 1;
    out.record.released = lease.releasing;
    if (lease.wanted_pending)
    {
        out.record.pending = *lease.wanted_pending;
    }
    return out;
}

duty_action
next_of_holder(const duty_lease& lease, duration now)
{
    const bool due = lease.releasing || now >= lease.renew_at ||
                     (lease.wanted_pending && !is_pending_written(lease));
    return due ? make_renewal(lease) : duty_action{};
}

duty_action
next_of_candidate(const duty_lease& lease, duration now, std::size_t rank)
{
    if (may_claim(lease, now))
    {
        return make_claim(lease);
    }
    return is_read_due(lease, now, rank)
               ? duty_action{duty_action_kind::stale_read, lease.era, {}}
               : duty_action{};
}

void
stop_holding(duty_lease& lease)
{
    lease.holding = false;
    lease.valid_until = duration::zero();
    lease.wanted_pending.reset();
}

void
record_failure(duty_lease& lease, duration now)
{
    constexpr std::uint32_t max_doublings = 3;
    const duration wait = std::min<duration>(config::duty_retry_max,
        config::duty_retry_base *
            (1U << std::min(lease.failures, max_doublings)));
    ++lease.failures;
    lease.next_call_at = now + wait;
}

/// Takes the proof of the own write that `known` shows.
void
hold(duty_lease& lease, duration now)
{
    lease.holding = true;
    if (lease.known->write != lease.writes_sent)
    {
        // A write before the last one took effect. The time of its send is not
        // kept, so it proves nothing.
        lease.renew_at = now;
        return;
    }
    // The store executed the write after this time, so every other VM has seen
    // the new revision for less than a lease until `valid_until`.
    lease.valid_until =
        lease.write_sent_at + lease.limits.lease - lease.limits.margin;
    lease.may_have_acted = std::max(lease.may_have_acted, lease.valid_until);
    lease.renew_at = lease.write_sent_at + lease.limits.renew_after;
}

void
adopt(duty_lease& lease, duration now, const duty_record& record)
{
    if (!lease.known || lease.known->revision != record.revision)
    {
        lease.same_since = now;
    }
    lease.last_seen_at = now;
    lease.known = record;
    lease.was_seen = true;
    lease.highest_counter = std::max(lease.highest_counter, record.counter);
    is_own(lease, record) ? hold(lease, now) : stop_holding(lease);
}

void
adopt_missing(duty_lease& lease, duration now)
{
    if (lease.known || !lease.same_since)
    {
        lease.same_since = now;
    }
    lease.last_seen_at = now;
    lease.known.reset();
    stop_holding(lease);
}

/// Returns whether the reply tells something of the object of the known era.
bool
accept_reply(duty_lease& lease, duration now, const duty_reply& reply)
{
    if (reply.era && !record_era(lease, now, *reply.era))
    {
        record_failure(lease, now);
        return false;
    }
    // Otherwise the call was for the object of an earlier era.
    return lease.era == lease.sent_era;
}

} // namespace

duty_limits
make_duty_limits(duration lease)
{
    duty_limits out;
    out.lease =
        lease > duration::zero() ? lease : duration(config::default_duty_lease);
    out.margin = out.lease / config::duty_margin_divisor;
    out.renew_after = out.lease / config::duty_renewals_per_lease;
    return out;
}

duty_lease
make_duty_lease(
    std::string self, std::uint64_t claim, duration lease, duration now)
{
    duty_lease out;
    out.self = std::move(self);
    out.claim = claim;
    out.limits = make_duty_limits(lease);
    out.started_at = now;
    return out;
}

duty_action
next_action(
    const duty_lease& lease, duration now, std::optional<std::size_t> rank)
{
    if (lease.in_progress != duty_action_kind::none || now < lease.next_call_at)
    {
        return {};
    }
    if (lease.unresolved)
    {
        return {duty_action_kind::read, lease.era, {}};
    }
    if (lease.holding)
    {
        return next_of_holder(lease, now);
    }
    return rank && !lease.releasing ? next_of_candidate(lease, now, *rank)
                                    : duty_action{};
}

void
record_sent(duty_lease& lease, duration now, const duty_action& action)
{
    lease.in_progress = action.kind;
    lease.sent_era = action.era;
    if (action.kind == duty_action_kind::write)
    {
        lease.writes_sent = action.record.write;
        lease.write_sent_at = now;
        return;
    }
    lease.read_sent_at = now;
}

void
record_read(duty_lease& lease, duration now, const duty_reply& reply)
{
    const bool stale = lease.in_progress == duty_action_kind::stale_read;
    lease.in_progress = duty_action_kind::none;
    if (!accept_reply(lease, now, reply))
    {
        return;
    }
    const bool missing = reply.kind == duty_reply_kind::missing;
    if (!missing && !reply.record)
    {
        record_failure(lease, now);
        return;
    }
    const bool outdated =
        stale && lease.known &&
        (missing || reply.record->revision < lease.known->revision);
    if (outdated)
    {
        // The next read is not sooner than that of a first candidate, whatever
        // is due.
        lease.next_call_at = now + config::duty_first_read_period;
        return;
    }
    lease.failures = 0;
    lease.unresolved = false;
    missing ? adopt_missing(lease, now) : adopt(lease, now, *reply.record);
}

void
record_write_reply(duty_lease& lease, duration now, const duty_reply& reply)
{
    lease.in_progress = duty_action_kind::none;
    if (!accept_reply(lease, now, reply))
    {
        return;
    }
    if (reply.kind == duty_reply_kind::missing)
    {
        lease.failures = 0;
        adopt_missing(lease, now);
        return;
    }
    if (reply.record)
    {
        lease.failures = 0;
        adopt(lease, now, *reply.record);
        return;
    }
    // A write that was refused is sent again. Any other one is resolved by a
    // read, since its effect decides who holds the lease.
    lease.unresolved = reply.kind != duty_reply_kind::refused;
    record_failure(lease, now);
}

bool
record_era(duty_lease& lease, duration now, std::uint64_t era)
{
    if (era <= lease.era)
    {
        return era == lease.era;
    }
    stop_holding(lease);
    lease.era = era;
    lease.known.reset();
    lease.was_seen = false;
    lease.highest_counter = 0;
    lease.same_since.reset();
    lease.unresolved = false;
    lease.read_sent_at.reset();
    lease.next_call_at = now;
    return true;
}

void
record_pause(duty_lease& lease, duration now)
{
    lease.valid_until = duration::zero();
    lease.renew_at = now;
}

void
request_release(duty_lease& lease)
{
    lease.releasing = true;
    lease.valid_until = duration::zero();
}

void
set_pending(duty_lease& lease, std::vector<duty_message> pending)
{
    lease.wanted_pending = std::move(pending);
}

bool
is_pending_written(const duty_lease& lease)
{
    return lease.holding && lease.known && lease.wanted_pending &&
           lease.known->pending == *lease.wanted_pending;
}

std::optional<std::uint64_t>
token_for(const duty_lease& lease, duration now, duration call_time)
{
    const bool proved = lease.holding && !lease.releasing && lease.known &&
                        now + call_time <= lease.valid_until;
    return proved ? std::optional<std::uint64_t>(
                        fencing_token(lease.era, lease.known->counter))
                  : std::nullopt;
}

std::uint64_t
fencing_token(std::uint64_t era, std::uint64_t counter)
{
    return (era << era_shift) + counter;
}

} // namespace bramleymux
