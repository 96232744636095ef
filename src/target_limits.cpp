#include "target_limits.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

bool
precedes(const queue_entry& a, const queue_entry& b)
{
    return a.worth != b.worth ? a.worth > b.worth : a.deadline < b.deadline;
}

void
reset_window(reply_history& history)
{
    history.window.fill(reply_kind::fast);
    history.replies = 0;
    history.next = 0;
}

std::size_t
count_of(const reply_history& history, reply_kind kind)
{
    return static_cast<std::size_t>(
        std::count(history.window.begin(), history.window.end(), kind));
}

void
add_reply(reply_history& history, reply_kind kind)
{
    history.window[history.next] = kind;
    history.next = (history.next + 1) % history.window.size();
    history.replies = std::min(history.replies + 1, history.window.size());
}

/// Updates the median. The first replies initialise it; each later one moves it
/// by a fixed relative step, so that a straggler has no more weight than any
/// other reply.
void
update_median(reply_history& history, duration time)
{
    if (history.learned_count < history.first_times.size())
    {
        history.first_times[history.learned_count++] = time;
        if (history.learned_count == history.first_times.size())
        {
            auto times = history.first_times;
            std::sort(times.begin(), times.end());
            history.median = std::max(times[times.size() / 2], duration(1));
        }
        return;
    }
    const double factor = time > history.median
                              ? 1.0 + config::median_latency_step
                              : 1.0 - config::median_latency_step;
    history.median =
        std::max(std::chrono::duration_cast<duration>(history.median * factor),
            duration(1));
}

bool
is_slow(const reply_history& history, duration time)
{
    return history.median > duration::zero() &&
           time > history.median * config::slow_reply_factor;
}

std::uint32_t
cold_start_limit(const owned_target_state& state)
{
    return std::max(state.cold_start_limit, state.cold_limit);
}

/// Resets the limit to the cold one. The learned latency is kept, since it
/// distinguishes warm replies from cold ones.
void
reset_to_cold(owned_target_state& state)
{
    const auto reached = cold_start_limit(state);
    // A reset before the target is warm means that it warms up more slowly than
    // assumed.
    if (reached > state.cold_limit && reached < state.slots)
    {
        state.successes_needed = std::min(
            state.successes_needed * 2, config::max_successes_per_slot);
    }
    state.cold_falls += reached > state.cold_limit ? 1 : 0;
    state.cold_start_limit = 0;
    state.successes = 0;
    reset_window(state.history);
}

void
record_instance(owned_target_state& state, const std::string& instance)
{
    if (instance.empty() || instance == state.instance)
    {
        return;
    }
    if (!state.instance.empty())
    {
        reset_to_cold(state);
        state.successes_needed = config::successes_per_slot;
    }
    state.instance = instance;
}

void
record_success(owned_target_state& state)
{
    if (cold_start_limit(state) >= state.slots ||
        ++state.successes < state.successes_needed)
    {
        return;
    }
    state.successes = 0;
    state.cold_start_limit = cold_start_limit(state) + 1;
    if (state.cold_start_limit >= state.slots)
    {
        state.successes_needed = config::successes_per_slot;
    }
}

void
record_reply_kind(owned_target_state& state, reply_kind kind)
{
    add_reply(state.history, kind);
    if (count_of(state.history, reply_kind::slow) >=
            config::slow_replies_for_cold ||
        count_of(state.history, reply_kind::shed) >= config::sheds_for_cold)
    {
        reset_to_cold(state);
    }
}

void
record_failure(
    owned_target_state& state, monotonic_time now, std::mt19937_64& random)
{
    ++state.failures;
    const auto doublings = std::min<std::uint32_t>(state.failures - 1, 16);
    const duration delay = std::min<duration>(
        duration(config::first_target_probe_delay) * (1U << doublings),
        config::max_target_probe_delay);
    const double jitter =
        std::uniform_real_distribution<double>(0.5, 1.0)(random);
    state.next_probe =
        now + std::chrono::duration_cast<duration>(delay * jitter);
}

/// Refuses all queued entries if the target accepts no work.
queue_refusals
refuse_if_closed(owned_target_state& state)
{
    const auto reason = refusal_reason(state);
    return reason == miss_reason::none ? queue_refusals{}
                                       : refuse_all(state, reason);
}

bool
can_meet_deadline(const owned_target_state& state, const queue_entry& entry,
    monotonic_time start)
{
    return start + state.history.median <= entry.deadline;
}

/// Returns the expected start of an entry with `ahead` entries before it,
/// assuming that each request takes the median time.
monotonic_time
expected_start(
    const owned_target_state& state, std::size_t ahead, monotonic_time now)
{
    const auto limit = std::max<std::uint32_t>(current_limit(state), 1);
    const auto busy = std::min(state.running, limit);
    const auto rounds = (ahead + busy) / limit;
    return now + state.history.median * static_cast<std::int64_t>(rounds);
}

} // namespace

queue_refusals
configure(owned_target_state& state, const catalog_target& row)
{
    const bool was_closed = state.zone_out || state.table_draining;
    state.slots = row.slots;
    state.cold_limit = std::min(std::max(row.cold_limit, 1U), row.slots);
    state.zone_out = row.zone_out;
    state.table_draining = row.draining;
    if (was_closed && !state.zone_out && !state.table_draining)
    {
        reset_to_cold(state);
    }
    return refuse_if_closed(state);
}

queue_refusals
set_leaving(owned_target_state& state, bool leaving)
{
    state.leaving = leaving;
    return refuse_if_closed(state);
}

queue_refusals
on_status(owned_target_state& state, const target_report& report,
    monotonic_time now, std::mt19937_64& random)
{
    state.is_polled = true;
    if (!report.reachable)
    {
        record_failure(state, now, random);
        return refuse_if_closed(state);
    }
    state.failures = 0;
    state.reported_limit = report.slots_limit;
    state.self_draining = report.draining;
    record_instance(state, report.instance);
    return refuse_if_closed(state);
}

void
apply_owner_report(owned_target_state& state, const target_report& report)
{
    state.is_polled = false;
    state.instance = report.instance;
    state.reported_limit = report.slots_limit;
    state.self_draining = report.draining;
    state.cold_start_limit = report.proven_limit;
    state.successes = 0;
    state.successes_needed = config::successes_per_slot;
    reset_window(state.history);
}

queue_refusals
offer(owned_target_state& state, const queue_entry& entry, monotonic_time now)
{
    const auto closed = refusal_reason(state);
    if (closed != miss_reason::none)
    {
        return {{entry.key, closed}};
    }
    auto& queue = state.queue;
    const auto place =
        std::upper_bound(queue.begin(), queue.end(), entry, precedes);
    const auto ahead = static_cast<std::size_t>(place - queue.begin());
    if (!can_meet_deadline(state, entry, expected_start(state, ahead, now)))
    {
        const bool feasible_now = can_meet_deadline(state, entry, now);
        return {{entry.key,
            feasible_now ? miss_reason::queue_full : miss_reason::deadline}};
    }
    queue.insert(place, entry);
    queue_refusals refused;
    if (queue.size() > config::max_queue_per_target)
    {
        refused.push_back({queue.back().key, miss_reason::queue_full});
        queue.pop_back();
    }
    return refused;
}

std::optional<queue_entry>
start_next(owned_target_state& state, std::uint32_t foreign, monotonic_time now,
    queue_refusals& refused)
{
    auto& queue = state.queue;
    const auto first_late = std::stable_partition(queue.begin(), queue.end(),
        [&](const queue_entry& e) { return can_meet_deadline(state, e, now); });
    for (auto it = first_late; it != queue.end(); ++it)
    {
        refused.push_back({it->key, miss_reason::deadline});
    }
    queue.erase(first_late, queue.end());
    const bool needs_poll =
        !state.is_polled && state.policy == limit_policy::adaptive;
    if (queue.empty() || needs_poll ||
        refusal_reason(state) != miss_reason::none ||
        state.running + foreign >= current_limit(state))
    {
        return std::nullopt;
    }
    // Periodically takes the earliest deadline, so that entries of low worth do
    // not starve.
    auto chosen = queue.begin();
    if (++state.starts % config::fair_start_period == 0)
    {
        chosen = std::min_element(queue.begin(), queue.end(),
            [](const queue_entry& a, const queue_entry& b)
            { return a.deadline < b.deadline; });
    }
    const queue_entry entry = *chosen;
    queue.erase(chosen);
    ++state.running;
    state.worst_running = std::max(state.worst_running, state.running);
    return entry;
}

bool
remove_entry(owned_target_state& state, std::uint64_t key)
{
    const auto it = std::find_if(state.queue.begin(), state.queue.end(),
        [&](const queue_entry& e) { return e.key == key; });
    if (it == state.queue.end())
    {
        return false;
    }
    state.queue.erase(it);
    return true;
}

queue_refusals
refuse_all(owned_target_state& state, miss_reason reason)
{
    queue_refusals refused;
    refused.reserve(state.queue.size());
    for (const queue_entry& entry : state.queue)
    {
        refused.push_back({entry.key, reason});
    }
    state.queue.clear();
    return refused;
}

queue_refusals
on_reply(owned_target_state& state, const reply_sample& sample,
    monotonic_time now, std::mt19937_64& random)
{
    --state.running;
    if (!sample.sent || state.policy == limit_policy::baseline)
    {
        return {};
    }
    record_instance(state, sample.instance);
    if (sample.error == miss_reason::unreachable)
    {
        record_failure(state, now, random);
        return refuse_if_closed(state);
    }
    const bool slow = is_slow(state.history, sample.time);
    if (sample.error == miss_reason::none)
    {
        state.failures = 0;
        update_median(state.history, sample.time);
        if (!slow)
        {
            record_success(state);
        }
        record_reply_kind(state, slow ? reply_kind::slow : reply_kind::fast);
    }
    else if (sample.error == miss_reason::shed)
    {
        record_reply_kind(state, reply_kind::shed);
    }
    else if (sample.error == miss_reason::draining)
    {
        state.self_draining = true;
    }
    else if (slow && sample.error == miss_reason::deadline)
    {
        record_reply_kind(state, reply_kind::slow);
    }
    return refuse_if_closed(state);
}

std::uint32_t
current_limit(const owned_target_state& state)
{
    if (state.policy == limit_policy::baseline)
    {
        return state.baseline_limit;
    }
    auto limit = std::min(state.slots, cold_start_limit(state));
    if (state.reported_limit > 0)
    {
        limit = std::min(limit, state.reported_limit);
    }
    return limit;
}

std::uint32_t
proven_limit(const owned_target_state& state)
{
    return state.cold_start_limit;
}

miss_reason
refusal_reason(const owned_target_state& state)
{
    if (state.zone_out)
    {
        return miss_reason::zone_out;
    }
    if (state.table_draining || state.leaving || state.self_draining)
    {
        return miss_reason::draining;
    }
    return is_unreachable(state) ? miss_reason::unreachable : miss_reason::none;
}

bool
is_unreachable(const owned_target_state& state)
{
    return state.policy == limit_policy::adaptive &&
           state.failures >= config::failures_for_unreachable;
}

bool
is_probe_due(const owned_target_state& state, monotonic_time now)
{
    return !is_unreachable(state) || now >= state.next_probe;
}

} // namespace bramleymux
