#include "config.hpp"
#include "target_pool_state.hpp"

/// What target_pool learns from the replies of its targets.
namespace bramleymux
{

void
target_pool::record_reply(
    entry& e, const target_reply& reply, monotonic_time sent_at)
{
    const monotonic_time now = monotonic_clock::now();
    if (e.state.record.zone != options_.zone)
    {
        last_other_zone_reply_at_ = now;
    }
    if (reply.wrong_target)
    {
        return;
    }
    if (reply.load)
    {
        record_load(e.state, *reply.load, now);
    }
    if (reply.cold_start_left)
    {
        record_cold_start(
            e.state, *reply.cold_start_left, context_of(e.service), random_);
    }
    record_notice(e, reply.notice, sent_at);
}

void
target_pool::record_faulty(const entry& e, const link_result& result)
{
    metrics_.add(counter::replies_faulty);
    const monotonic_time now = monotonic_clock::now();
    if (log_.try_admit(event::reply_faulty, now))
    {
        log_.write(event::reply_faulty,
            {{"target", e.state.record.id}, {"service", e.state.record.service},
                {"address", e.state.record.address},
                {"zone", e.state.record.zone},
                {"status", result.faulty_status}});
    }
}

void
target_pool::record_notice(
    entry& e, const target_notice& notice, monotonic_time sent_at)
{
    const monotonic_time now = monotonic_clock::now();
    const bool changed =
        record_rate_limit(e.state, notice, sent_at, now, random_);
    if (changed && log_.try_admit(event::target_rate_limit_changed, now))
    {
        log_.write(event::target_rate_limit_changed,
            {{"target", e.state.record.id}, {"service", e.state.record.service},
                {"limited", e.state.rate_limit.has_value()},
                {"rate_limit", e.state.rate_limit.value_or(0.0)},
                {"part", e.state.rate_part}});
    }
    record_pause(e.state, notice, now);
    e.paused = now < e.state.paused_until;
    if (notice.retry_after && log_.try_admit(event::target_paused, now))
    {
        log_.write(event::target_paused,
            {{"target", e.state.record.id}, {"service", e.state.record.service},
                {"retry_after_ms", to_milliseconds(*notice.retry_after)}});
    }
    if (notice.leaving)
    {
        record_departure(e);
    }
}

std::optional<shared_notice>
target_pool::notice_of(const std::string& target_id) const
{
    const auto found = entries_.find(target_id);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    const target_state& state = found->second->state;
    const bool limit_ended =
        state.rate_limit_end && monotonic_clock::now() - *state.rate_limit_end <
                                    config::rate_limit_end_notice;
    if (!state.rate_limit && !limit_ended && !state.said_leaving)
    {
        return std::nullopt;
    }
    return shared_notice{target_id, state.record.started_ms, state.rate_limit,
        state.said_leaving};
}

void
target_pool::put_notice(const shared_notice& notice, monotonic_time sent_at)
{
    const auto found = entries_.find(notice.target_id);
    const bool same_process =
        found != entries_.end() &&
        found->second->state.record.started_ms == notice.started_ms;
    if (same_process)
    {
        record_notice(*found->second,
            {notice.rate_limit, std::nullopt, notice.leaving}, sent_at);
    }
}

/// Excludes a target that says in a reply that it leaves. Its process does not
/// come back from that, whatever its registration says.
void
target_pool::record_departure(entry& e)
{
    if (!e.state.said_leaving && !e.state.record.leaving)
    {
        log_target(event::target_draining, e, "reply");
    }
    e.state.said_leaving = true;
    departures_[e.state.record.id] = {
        e.state.record.started_ms, monotonic_clock::now()};
}

bool
target_pool::has_departed(const target_record& record) const
{
    const auto found = departures_.find(record.id);
    return found != departures_.end() &&
           found->second.started_ms == record.started_ms;
}

void
target_pool::keep_leaving()
{
    const monotonic_time now = monotonic_clock::now();
    for (const auto& [id, announced] : announced_)
    {
        departures_[id] = {announced.started_ms, now};
        const auto found = entries_.find(id);
        if (found != entries_.end() &&
            has_departed(found->second->state.record))
        {
            found->second->state.said_leaving = true;
        }
    }
}

void
target_pool::forget_departures(monotonic_time now)
{
    for (auto it = announced_.begin(); it != announced_.end();)
    {
        const bool kept = entries_.count(it->first) != 0;
        const bool old = now - it->second.at > config::departure_retention;
        it = old && !kept ? announced_.erase(it) : std::next(it);
    }
    for (auto it = departures_.begin(); it != departures_.end();)
    {
        const bool old = now - it->second.at > config::departure_retention;
        it = old ? departures_.erase(it) : std::next(it);
    }
}

/// Logs how many requests this VM sends to a target with a rate limit.
void
target_pool::log_rate(entry& e, monotonic_time now)
{
    if (!e.state.rate_limit)
    {
        e.sent_since_rate_log = 0;
        e.rate_logged_at = now;
        return;
    }
    if (now - e.rate_logged_at < config::rate_log_period)
    {
        return;
    }
    if (log_.try_admit(event::target_rate, now))
    {
        log_.write(event::target_rate,
            {{"target", e.state.record.id}, {"service", e.state.record.service},
                {"rate_limit", *e.state.rate_limit},
                {"part", e.state.rate_part}, {"sent", e.sent_since_rate_log},
                {"period_ms", to_milliseconds(now - e.rate_logged_at)}});
    }
    e.sent_since_rate_log = 0;
    e.rate_logged_at = now;
}

} // namespace bramleymux
