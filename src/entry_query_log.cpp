#include "entry_query.hpp"

/// Decision log lines of a query.
namespace bramleymux
{

using nlohmann::ordered_json;

/// Skips whole answers in time without a hedge or retry, which are only
/// counted.
void
entry_query::log_outcome(event what, int status, std::string_view reason)
{
    const monotonic_time now = monotonic_clock::now();
    const bool routine = what == event::request_answered && hedges_ == 0 &&
                         retries_ == 0 &&
                         now - started_ <= route_.target_latency;
    if (routine || !context_.log.try_admit(what, now))
    {
        return;
    }
    ordered_json missing = ordered_json::object();
    std::size_t answered = 0;
    for (const shard_query& shard : shards_)
    {
        answered += shard.answered ? 1 : 0;
        const bool unsent =
            shard.sends.empty() && shard.reason == miss_reason::none;
        if (!shard.answered && !unsent)
        {
            missing[shard.service] = shard.sends.empty()
                                         ? to_string(shard.reason)
                                         : to_string(miss_reason::deadline);
        }
    }
    context_.log.write(what,
        {{"request", message_.id}, {"route", route_.name},
            {"config_version", state_->version}, {"status", status},
            {"reason", reason}, {"took_ms", to_milliseconds(now - started_)},
            {"target_ms", to_milliseconds(route_.target_latency)},
            {"spent_before_ms", to_milliseconds(spent_before_)},
            {"give_up_ms", to_milliseconds(give_up_after_)},
            {"asked", shards_.size()}, {"answered", answered},
            {"hedges", hedges_}, {"retries", retries_}, {"missing", missing}});
}

void
entry_query::log_handed_back(const std::string& zone, std::size_t asked,
    const std::vector<std::string>& shards)
{
    const monotonic_time now = monotonic_clock::now();
    if (!shards.empty() &&
        context_.log.try_admit(event::shards_handed_back, now))
    {
        context_.log.write(event::shards_handed_back,
            {{"request", message_.id}, {"zone", zone}, {"asked", asked},
                {"services", shards},
                {"elapsed_ms", to_milliseconds(now - started_)},
                {"hedge_after_ms", to_milliseconds(hedge_delay())}});
    }
}

void
entry_query::log_send(
    const shard_query& shard, const target_state& target, send_reason reason)
{
    const monotonic_time now = monotonic_clock::now();
    if (reason == send_reason::first ||
        !context_.log.try_admit(event::sub_request_repeated, now))
    {
        return;
    }
    // For a hedge, the previous send still runs, so its target exists. After a
    // failed send, the pool may have deleted the target.
    const bool hedge = reason == send_reason::hedge && !shard.sends.empty();
    const std::string previous_target =
        hedge ? shard.tried[shard.tried.size() - 2]->record.id : std::string();
    context_.log.write(event::sub_request_repeated,
        {{"request", message_.id}, {"service", shard.service},
            {"target", target.record.id}, {"zone", target.record.zone},
            {"instead_of", previous_target},
            {"why", reason == send_reason::hedge
                        ? "slow"
                        : std::string(to_string(shard.reason))},
            {"elapsed_ms", to_milliseconds(now - started_)},
            {"hedge_after_ms", to_milliseconds(hedge_delay())},
            {"pace", target.relative_latency},
            {"pace_age_ms", to_milliseconds(now - target.measured_at)}});
}

} // namespace bramleymux
