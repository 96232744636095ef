#include "config.hpp"
#include "entry_query.hpp"

#include <algorithm>
#include <cmath>

/// Room for a query's sends: waiting for it, and the refusal of a query that
/// could not be answered in time.
namespace bramleymux
{

/// Returns the time since the start up to which a send may wait. A late answer
/// is worth more to the caller than a failure, but the wait ends while the
/// caller has time for another attempt.
duration
entry_query::longest_wait() const
{
    return std::max<duration>(
        route_.target_latency, std::chrono::duration_cast<duration>(
                                   give_up_after_ * config::room_wait_share));
}

/// `wait` is the result of `target_pool::rate_wait`.
bool
entry_query::is_worth_waiting(const std::optional<duration>& wait) const
{
    const monotonic_time now = monotonic_clock::now();
    const bool in_time = wait && (*wait == duration::zero() ||
                                     now - started_ + *wait <= longest_wait());
    return in_time && now + *wait <= last_send_at_;
}

/// Whether the shard can be sent now, or so soon that its reply is in time.
bool
entry_query::has_room_in_time(const shard_query& shard) const
{
    if (context_.pool.has_room(shard.service))
    {
        return true;
    }
    const auto wait = context_.pool.rate_wait(shard.service, shard.tried);
    return wait && *wait > duration::zero() &&
           *wait + stats_.median_latency < target_latency_left_;
}

/// Whether so many shards lack a target with room that an answer could only be
/// late. A caller that is refused at once may be served in time on its next
/// attempt.
bool
entry_query::lacks_room() const
{
    if (!gathers())
    {
        return false;
    }
    gather_progress p = progress(started_);
    p.open = static_cast<std::size_t>(std::count_if(shards_.begin(),
        shards_.end(),
        [this](const shard_query& shard) { return has_room_in_time(shard); }));
    return next_step(p) == gather_step::fail;
}

void
entry_query::refuse_without_sending()
{
    const auto wait = time_until_answerable();
    const auto code = wait ? problem_code::overloaded : problem_code::no_target;
    for (shard_query& shard : shards_)
    {
        const bool without_room =
            !shard.failed && !context_.pool.has_room(shard.service);
        shard.reason = shard.failed   ? shard.reason
                       : without_room ? miss_reason::queue_full
                                      : miss_reason::none;
    }
    context_.counters.add(counter::refused_not_run);
    finish(make_entry_problem(code, run_state::not_run,
               "too few shards can take the request", context_.random,
               wait.value_or(duration::zero())),
        event::query_refused,
        problem_code_names[static_cast<std::size_t>(code)]);
}

/// Returns the time until the rates of the targets allow a send to as many
/// shards as an answer needs; nullopt if too few have a usable target.
std::optional<duration>
entry_query::time_until_answerable() const
{
    std::vector<duration> waits;
    for (const shard_query& shard : shards_)
    {
        if (const auto wait = context_.pool.rate_wait(shard.service, {}))
        {
            waits.push_back(*wait);
        }
    }
    std::sort(waits.begin(), waits.end());
    for (std::size_t sent = 1; sent <= waits.size(); ++sent)
    {
        if (reaches_coverage(sent, shards_.size(), least_coverage()))
        {
            return waits[sent - 1];
        }
    }
    return std::nullopt;
}

bool
entry_query::dispatch_or_wait(std::size_t shard_index, send_reason reason)
{
    shard_query& shard = shards_[shard_index];
    if (dispatch(shard_index, reason))
    {
        return true;
    }
    shard.waiting_for_room =
        is_worth_waiting(context_.pool.rate_wait(shard.service, shard.tried)) &&
        context_.pool.wait_for_room(shard.service,
            started_ + target_latency_left_ - stats_.median_latency, priority_,
            [self = shared_from_this(), shard_index, reason]
            { return self->on_room_available(shard_index, reason); });
    shard.failed = is_exhausted(shard);
    return false;
}

bool
entry_query::on_room_available(std::size_t shard_index, send_reason reason)
{
    shard_query& shard = shards_[shard_index];
    shard.waiting_for_room = false;
    if (finished_ || shard.answered)
    {
        return false;
    }
    bool sent = false;
    if (gathers() && monotonic_clock::now() - started_ > longest_wait())
    {
        shard.reason = miss_reason::queue_full;
        shard.failed = is_exhausted(shard);
    }
    else
    {
        sent = dispatch_or_wait(shard_index, reason);
    }
    advance();
    return sent;
}

} // namespace bramleymux
