#include "config.hpp"
#include "entry_query.hpp"

#include <algorithm>
#include <cmath>

/// Lanes of a query that VMs of other zones ask.
namespace bramleymux
{

void
entry_query::send_first(const std::vector<std::size_t>& lanes)
{
    std::vector<gather_group> groups = groups_of(lanes);
    for (gather_group& group : groups)
    {
        delegate(std::move(group));
    }
    for (const std::size_t i : lanes)
    {
        if (!lanes_[i].delegated)
        {
            dispatch_or_wait(i, send_reason::first);
        }
    }
}

std::vector<gather_group>
entry_query::groups_of(const std::vector<std::size_t>& lanes)
{
    std::vector<delegate_zone> zones = context_.delegates.zones();
    zones.erase(std::remove_if(zones.begin(), zones.end(),
                    [this](const delegate_zone& z)
                    {
                        return std::find(zones_refused_.begin(),
                                   zones_refused_.end(),
                                   z.zone) != zones_refused_.end();
                    }),
        zones.end());
    if (!gathers() || zones.empty() ||
        message_.body.size() > config::max_delegated_body_bytes)
    {
        return {};
    }
    std::vector<shard_reach> reach;
    reach.reserve(lanes.size());
    for (const std::size_t i : lanes)
    {
        const std::string& service = lanes_[i].service;
        // A shard that is handed back needs a hedge. Without a budget for one
        // it is asked directly, and its reply awaited.
        reach.push_back(context_.pool.has_extra_budget(service, 1)
                            ? context_.pool.reach_of(service)
                            : shard_reach{});
    }
    std::vector<gather_group> groups =
        plan_groups(reach, zones, context_.random);
    for (gather_group& group : groups)
    {
        for (std::size_t& shard : group.shards)
        {
            shard = lanes[shard];
        }
    }
    return groups;
}

/// The delegate hands shards back when this VM would hedge them.
gather_order
entry_query::order_for(const gather_group& group) const
{
    gather_order order;
    order.message = message_;
    order.message.time_left = time_left(monotonic_clock::now());
    order.reply_within = hedge_time();
    order.rest_within = target_left_ - (monotonic_clock::now() - started_) -
                        config::answer_margin;
    order.expected = expected_latency();
    order.result_limit = route_.result_limit;
    std::size_t others = 0;
    for (const lane& l : lanes_)
    {
        others += l.failed ? 0 : 1;
    }
    others -= group.shards.size();
    const auto required = static_cast<std::size_t>(
        std::ceil(route_.min_coverage * static_cast<double>(lanes_.size())));
    order.min_shards = required > others ? required - others : 1;
    for (const std::size_t i : group.shards)
    {
        order.shards.push_back(lanes_[i].service);
    }
    return order;
}

void
entry_query::delegate(gather_group&& group)
{
    const auto id = std::make_shared<order_id>(0);
    const auto margin = std::chrono::duration_cast<duration>(
        target_left_ * config::order_margin_share);
    const gather_order order = order_for(group);
    *id = context_.delegates.send(group.zone, order,
        order.reply_within +
            std::max<duration>(margin, config::order_margin_min),
        [self = shared_from_this(), id](delegate_reply&& reply)
        { self->on_delegate(*id, std::move(reply)); });
    for (const std::size_t i : group.shards)
    {
        lanes_[i].delegated = true;
    }
    delegations_.push_back({*id, group.zone, std::move(group.shards)});
}

/// Empty when the reply is no longer wanted.
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
entry_query::on_delegate(order_id id, delegate_reply&& reply)
{
    const std::optional<delegation> taken = take_delegation(id);
    if (!taken)
    {
        return;
    }
    const delegation& from = *taken;
    for (const std::size_t i : from.lanes)
    {
        lanes_[i].delegated = false;
    }
    switch (reply.outcome)
    {
    case delegate_outcome::parts:
        take_parts(from, reply.vm_id, std::move(reply.parts));
        break;
    case delegate_outcome::refused:
        on_refusal(from);
        break;
    default:
        for (const std::size_t i : from.lanes)
        {
            take_back(i, part_state::unknown);
        }
    }
    advance();
}

/// Another zone may have room.
void
entry_query::on_refusal(const delegation& from)
{
    zones_refused_.push_back(from.zone);
    send_first(from.lanes);
}

void
entry_query::take_parts(
    const delegation& from, const std::string& vm_id, gather_parts&& parts)
{
    const monotonic_time now = monotonic_clock::now();
    std::vector<std::string> handed_back;
    for (std::size_t i = 0; i < from.lanes.size(); ++i)
    {
        lane& l = lanes_[from.lanes[i]];
        gather_part& part = parts.parts[i];
        if (part.state == part_state::answered)
        {
            l.answered = true;
            l.reply.proof = std::move(part.proof);
            record_latency(stats_, route_, part.took, now);
            context_.counters.add(counter::shards_answered);
        }
        else
        {
            handed_back.push_back(l.service);
        }
    }
    merged_records_.push_back(std::move(parts.records));
    context_.counters.add(counter::shards_handed_back, handed_back.size());
    log_handed_back(from.zone, from.lanes.size(), handed_back);
    collect(from, vm_id, parts.rest);
    for (std::size_t i = 0; i < from.lanes.size(); ++i)
    {
        if (!lanes_[from.lanes[i]].answered)
        {
            // The delegate has asked the targets of its zone.
            lane& l = lanes_[from.lanes[i]];
            const auto asked = context_.pool.targets_in(l.service, from.zone);
            l.tried.insert(l.tried.end(), asked.begin(), asked.end());
            take_back(from.lanes[i], parts.parts[i].state);
        }
    }
}

void
entry_query::take_back(std::size_t lane_index, part_state state)
{
    lane& l = lanes_[lane_index];
    switch (state)
    {
    case part_state::unsent:
        dispatch_or_wait(lane_index, send_reason::first);
        return;
    case part_state::rejected:
        ++l.rejections;
        l.reason = miss_reason::shed;
        break;
    default:
        ++l.runs;
        l.reason = miss_reason::deadline;
    }
    if (may_repeat(l))
    {
        dispatch_or_wait(lane_index, state == part_state::rejected
                                         ? send_reason::retry
                                         : send_reason::hedge);
        return;
    }
    l.failed = is_over(l);
}

void
entry_query::collect(
    const delegation& from, const std::string& vm_id, std::uint64_t rest)
{
    if (rest == 0)
    {
        return;
    }
    const duration left = started_ + target_left_ - monotonic_clock::now();
    const auto id = std::make_shared<order_id>(0);
    *id = context_.delegates.collect(vm_id, rest, from.lanes.size(),
        std::max<duration>(left, config::order_margin_min),
        [self = shared_from_this(), id](delegate_reply&& reply)
        { self->on_rest(*id, std::move(reply)); });
    if (*id == 0)
    {
        return;
    }
    for (const std::size_t i : from.lanes)
    {
        lanes_[i].delegated = !lanes_[i].answered;
    }
    delegations_.push_back({*id, from.zone, from.lanes});
}

void
entry_query::on_rest(order_id id, delegate_reply&& reply)
{
    const std::optional<delegation> taken = take_delegation(id);
    if (!taken)
    {
        return;
    }
    const delegation& from = *taken;
    for (std::size_t i = 0; i < from.lanes.size(); ++i)
    {
        lane& l = lanes_[from.lanes[i]];
        l.delegated = false;
        const bool late = reply.outcome == delegate_outcome::parts &&
                          !l.answered &&
                          reply.parts.parts[i].state == part_state::answered;
        if (late)
        {
            gather_part& part = reply.parts.parts[i];
            send_result result;
            result.reply.proof = std::move(part.proof);
            result.reply.body = std::move(part.records);
            record_latency(stats_, route_, part.took, monotonic_clock::now());
            on_good(l, std::move(result));
        }
    }
    collect(from, reply.vm_id, reply.parts.rest);
    for (const std::size_t i : from.lanes)
    {
        lane& l = lanes_[i];
        l.failed = !l.answered && is_over(l);
    }
    advance();
}

} // namespace bramleymux
