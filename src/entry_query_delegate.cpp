#include "config.hpp"
#include "entry_query.hpp"

#include <algorithm>
#include <cmath>

/// Delegation of a query's shards to VMs in other zones.
namespace bramleymux
{

void
entry_query::send_first(const std::vector<std::size_t>& shard_indices)
{
    std::vector<gather_group> groups = plan_delegation(shard_indices);
    for (gather_group& group : groups)
    {
        delegate(std::move(group));
    }
    for (const std::size_t i : shard_indices)
    {
        if (!shards_[i].delegated)
        {
            dispatch_or_wait(i, send_reason::first);
        }
    }
}

std::vector<gather_group>
entry_query::plan_delegation(const std::vector<std::size_t>& shard_indices)
{
    std::vector<delegate_zone> zones = context_.delegates.zones();
    zones.erase(std::remove_if(zones.begin(), zones.end(),
                    [this](const delegate_zone& z)
                    {
                        return std::find(refusing_zones_.begin(),
                                   refusing_zones_.end(),
                                   z.zone) != refusing_zones_.end();
                    }),
        zones.end());
    if (!gathers() || zones.empty() ||
        message_.body.size() > config::max_delegated_body_bytes)
    {
        return {};
    }
    std::vector<shard_reach> reach;
    reach.reserve(shard_indices.size());
    for (const std::size_t i : shard_indices)
    {
        const std::string& service = shards_[i].service;
        // A shard that the delegate hands back needs a hedge. Without budget
        // for one, it is sent directly and its reply awaited.
        reach.push_back(context_.pool.has_extra_budget(service, 1)
                            ? context_.pool.reach_of(service)
                            : shard_reach{});
    }
    std::vector<gather_group> groups =
        plan_groups(reach, zones, context_.random);
    for (gather_group& group : groups)
    {
        for (std::size_t& index : group.shards)
        {
            index = shard_indices[index];
        }
    }
    return groups;
}

/// The order asks the delegate to reply within this VM's hedge delay, so that
/// the shards that it hands back are hedged at the usual time.
gather_order
entry_query::make_order(const gather_group& group) const
{
    gather_order order;
    order.message = message_;
    order.message.time_left = time_left(monotonic_clock::now());
    order.reply_within = hedge_delay();
    order.rest_within = target_latency_left_ -
                        (monotonic_clock::now() - started_) -
                        config::answer_margin;
    order.expected = expected_latency();
    order.result_limit = route_.result_limit;
    std::size_t others = 0;
    for (const shard_query& shard : shards_)
    {
        others += shard.failed ? 0 : 1;
    }
    others -= group.shards.size();
    const auto required = static_cast<std::size_t>(
        std::ceil(route_.min_coverage * static_cast<double>(shards_.size())));
    order.min_shards = required > others ? required - others : 1;
    for (const std::size_t i : group.shards)
    {
        order.shards.push_back(shards_[i].service);
    }
    return order;
}

void
entry_query::delegate(gather_group&& group)
{
    const auto id = std::make_shared<order_id>(0);
    const auto margin = std::chrono::duration_cast<duration>(
        target_latency_left_ * config::order_margin_share);
    const gather_order order = make_order(group);
    *id = context_.delegates.send(group.zone, order,
        order.reply_within +
            std::max<duration>(margin, config::order_margin_min),
        [self = shared_from_this(), id](delegate_reply&& reply)
        { self->on_delegate_reply(*id, std::move(reply)); });
    for (const std::size_t i : group.shards)
    {
        shards_[i].delegated = true;
    }
    const duration written_at = true_now();
    record_usage(send_stage::written, group.shards.size(), written_at);
    delegations_.push_back(
        {*id, group.zone, std::move(group.shards), written_at});
}

/// Takes the shards off the usage that the delegate sent to no target, or whose
/// target ran nothing.
void
entry_query::record_delegate_usage(
    const delegation& from, const delegate_reply& reply)
{
    std::size_t not_run = 0;
    if (reply.outcome == delegate_outcome::refused)
    {
        not_run = from.shard_indices.size();
    }
    else if (reply.outcome == delegate_outcome::parts)
    {
        not_run = static_cast<std::size_t>(
            std::count_if(reply.parts.parts.begin(), reply.parts.parts.end(),
                [](const gather_part& part)
                {
                    return part.state == part_state::unsent ||
                           part.state == part_state::rejected;
                }));
    }
    record_usage(send_stage::not_run, not_run, from.written_at);
}

/// Removes and returns a delegation. Returns nullopt if its reply is no longer
/// needed.
std::optional<entry_query::delegation>
entry_query::take_delegation(order_id id)
{
    const auto found = std::find_if(delegations_.begin(), delegations_.end(),
        [&](const delegation& d) { return d.id == id; });
    if (finished_ || found == delegations_.end())
    {
        return std::nullopt;
    }
    delegation out = std::move(*found);
    delegations_.erase(found);
    return out;
}

void
entry_query::on_delegate_reply(order_id id, delegate_reply&& reply)
{
    const std::optional<delegation> taken = take_delegation(id);
    if (!taken)
    {
        return;
    }
    const delegation& from = *taken;
    record_delegate_usage(from, reply);
    for (const std::size_t i : from.shard_indices)
    {
        shards_[i].delegated = false;
    }
    switch (reply.outcome)
    {
    case delegate_outcome::parts:
        accept_parts(from, reply.vm_id, std::move(reply.parts));
        break;
    case delegate_outcome::refused:
        on_order_refused(from);
        break;
    default:
        for (const std::size_t i : from.shard_indices)
        {
            redispatch(i, part_state::unknown);
        }
    }
    advance();
}

/// Sends the shards again without the refusing zone: another one may have room.
void
entry_query::on_order_refused(const delegation& from)
{
    refusing_zones_.push_back(from.zone);
    send_first(from.shard_indices);
}

/// A limit ends only by a reply to a later request, and the order went out
/// after the start of the query.
void
entry_query::accept_notices(const std::vector<gather_part>& parts)
{
    for (const gather_part& part : parts)
    {
        if (part.notice)
        {
            context_.pool.put_notice(*part.notice, started_);
        }
    }
}

void
entry_query::accept_parts(
    const delegation& from, const std::string& vm_id, gather_parts&& parts)
{
    accept_notices(parts.parts);
    const monotonic_time now = monotonic_clock::now();
    std::vector<std::string> handed_back;
    for (std::size_t i = 0; i < from.shard_indices.size(); ++i)
    {
        shard_query& shard = shards_[from.shard_indices[i]];
        gather_part& part = parts.parts[i];
        if (part.state == part_state::answered)
        {
            shard.answered = true;
            shard.reply.proof = std::move(part.proof);
            record_latency(stats_, route_, part.took, now);
            context_.counters.add(counter::shards_answered);
        }
        else
        {
            handed_back.push_back(shard.service);
        }
    }
    merged_records_.push_back(std::move(parts.records));
    context_.counters.add(counter::shards_handed_back, handed_back.size());
    log_handed_back(from.zone, from.shard_indices.size(), handed_back);
    collect_late_replies(from, vm_id, parts.rest);
    for (std::size_t i = 0; i < from.shard_indices.size(); ++i)
    {
        if (!shards_[from.shard_indices[i]].answered)
        {
            // The delegate tried the targets of its own zone.
            shard_query& shard = shards_[from.shard_indices[i]];
            const auto asked =
                context_.pool.targets_in(shard.service, from.zone);
            shard.tried.insert(shard.tried.end(), asked.begin(), asked.end());
            redispatch(from.shard_indices[i], parts.parts[i].state);
        }
    }
}

void
entry_query::redispatch(std::size_t shard_index, part_state state)
{
    shard_query& shard = shards_[shard_index];
    switch (state)
    {
    case part_state::unsent:
        dispatch_or_wait(shard_index, send_reason::first);
        return;
    case part_state::rejected:
        ++shard.rejections;
        shard.reason = miss_reason::shed;
        break;
    default:
        ++shard.possible_runs;
        shard.reason = miss_reason::deadline;
    }
    if (may_resend(shard))
    {
        dispatch_or_wait(shard_index, state == part_state::rejected
                                          ? send_reason::retry
                                          : send_reason::hedge);
        return;
    }
    shard.failed = is_exhausted(shard);
}

void
entry_query::collect_late_replies(
    const delegation& from, const std::string& vm_id, std::uint64_t rest)
{
    if (rest == 0)
    {
        return;
    }
    const duration left =
        started_ + target_latency_left_ - monotonic_clock::now();
    const auto id = std::make_shared<order_id>(0);
    *id = context_.delegates.collect(vm_id, rest, from.shard_indices.size(),
        std::max<duration>(left, config::order_margin_min),
        [self = shared_from_this(), id](delegate_reply&& reply)
        { self->on_late_replies(*id, std::move(reply)); });
    if (*id == 0)
    {
        return;
    }
    for (const std::size_t i : from.shard_indices)
    {
        shards_[i].delegated = !shards_[i].answered;
    }
    delegations_.push_back(
        {*id, from.zone, from.shard_indices, from.written_at});
}

void
entry_query::on_late_replies(order_id id, delegate_reply&& reply)
{
    const std::optional<delegation> taken = take_delegation(id);
    if (!taken)
    {
        return;
    }
    const delegation& from = *taken;
    accept_notices(reply.parts.parts);
    for (std::size_t i = 0; i < from.shard_indices.size(); ++i)
    {
        shard_query& shard = shards_[from.shard_indices[i]];
        shard.delegated = false;
        const bool late = reply.outcome == delegate_outcome::parts &&
                          !shard.answered &&
                          reply.parts.parts[i].state == part_state::answered;
        if (late)
        {
            gather_part& part = reply.parts.parts[i];
            send_result result;
            result.reply.proof = std::move(part.proof);
            result.reply.body = std::move(part.records);
            record_latency(stats_, route_, part.took, monotonic_clock::now());
            accept_reply(shard, std::move(result));
        }
    }
    collect_late_replies(from, reply.vm_id, reply.parts.rest);
    for (const std::size_t i : from.shard_indices)
    {
        shard_query& shard = shards_[i];
        shard.failed = !shard.answered && is_exhausted(shard);
    }
    advance();
}

} // namespace bramleymux
