#include "entry_query.hpp"

/// Log lines of a query.
namespace bramleymux
{

using nlohmann::ordered_json;

namespace
{

double
milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

/// Whole answers in time without a hedge or retry are counted, not logged.
void
entry_query::log_outcome(event what, int status, std::string_view reason)
{
    const monotonic_time now = monotonic_clock::now();
    const bool plain = what == event::request_answered && hedges_ == 0 &&
                       retries_ == 0 && now - started_ <= route_.target_latency;
    if (plain || !context_.log.admits(what, now))
    {
        return;
    }
    ordered_json missing = ordered_json::object();
    std::size_t answered = 0;
    for (const lane& l : lanes_)
    {
        answered += l.answered ? 1 : 0;
        const bool unsent = l.sends.empty() && l.reason == miss_reason::none;
        if (!l.answered && !unsent)
        {
            missing[l.service] = l.sends.empty()
                                     ? to_string(l.reason)
                                     : to_string(miss_reason::deadline);
        }
    }
    context_.log.write(what,
        {{"request", message_.id}, {"route", route_.name},
            {"config_version", state_->version}, {"status", status},
            {"reason", reason}, {"took_ms", milliseconds(now - started_)},
            {"target_ms", milliseconds(route_.target_latency)},
            {"spent_before_ms", milliseconds(spent_)},
            {"give_up_ms", milliseconds(give_up_)}, {"asked", lanes_.size()},
            {"answered", answered}, {"hedges", hedges_}, {"retries", retries_},
            {"missing", missing}});
}

void
entry_query::log_handed_back(const std::string& zone, std::size_t asked,
    const std::vector<std::string>& shards)
{
    const monotonic_time now = monotonic_clock::now();
    if (!shards.empty() && context_.log.admits(event::shards_handed_back, now))
    {
        context_.log.write(event::shards_handed_back,
            {{"request", message_.id}, {"zone", zone}, {"asked", asked},
                {"services", shards},
                {"elapsed_ms", milliseconds(now - started_)},
                {"hedge_after_ms", milliseconds(hedge_time())}});
    }
}

void
entry_query::log_send(
    const lane& l, const target_state& target, send_reason reason)
{
    const monotonic_time now = monotonic_clock::now();
    if (reason == send_reason::first ||
        !context_.log.admits(event::sub_request_repeated, now))
    {
        return;
    }
    // The target of a send that still runs exists; that of a failed one may
    // have been forgotten.
    const bool hedge = reason == send_reason::hedge && !l.sends.empty();
    const std::string former =
        hedge ? l.tried[l.tried.size() - 2]->record.id : std::string();
    context_.log.write(event::sub_request_repeated,
        {{"request", message_.id}, {"service", l.service},
            {"target", target.record.id}, {"zone", target.record.zone},
            {"instead_of", former},
            {"why", reason == send_reason::hedge
                        ? "slow"
                        : std::string(to_string(l.reason))},
            {"elapsed_ms", milliseconds(now - started_)},
            {"hedge_after_ms", milliseconds(hedge_time())},
            {"pace", target.relative_latency},
            {"pace_age_ms", milliseconds(now - target.measured_at)}});
}

} // namespace bramleymux
