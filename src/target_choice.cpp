#include "target_choice.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bramleymux
{

namespace
{

/// Weight of the statistics that is left at `now`: halves every half-life.
double
decay_factor(const target_state& target, monotonic_time now)
{
    const std::chrono::duration<double> elapsed = now - target.measured_at;
    const std::chrono::duration<double> half_life =
        config::target_stats_half_life;
    return std::exp2(-std::max(elapsed / half_life, 0.0));
}

/// Returns the weight of a sample taken at `now`.
double
sample_weight(const target_state& target, monotonic_time now)
{
    const std::chrono::duration<double> elapsed = now - target.measured_at;
    const std::chrono::duration<double> half_life =
        config::target_sample_half_life;
    return std::clamp(1.0 - std::exp2(-elapsed / half_life),
        config::min_target_sample_weight, config::max_target_sample_weight);
}

/// Decays the moving averages to `now`.
void
apply_decay(target_state& target, monotonic_time now)
{
    const double kept = decay_factor(target, now);
    target.relative_latency = 1.0 + (target.relative_latency - 1.0) * kept;
    target.error_rate *= kept;
    target.shed_rate *= kept;
    target.measured_at = now;
}

double
relative_latency_of(duration took, duration expected)
{
    const double reference =
        std::max<double>(static_cast<double>(expected.count()), 1.0);
    return std::min(static_cast<double>(took.count()) / reference,
        config::max_relative_latency);
}

/// Blocks the target until a health probe succeeds; the delay before the probe
/// doubles with each failure.
void
block(target_state& target, monotonic_time now)
{
    target.blocked = true;
    const auto step = std::min<std::uint32_t>(target.failures, 8);
    const duration wait = std::min<duration>(config::target_block_max,
        duration(config::target_block_base) * (1U << step));
    ++target.failures;
    target.probe_at = now + wait;
}

void
record_outcome(target_state& target, send_outcome outcome, double weight,
    monotonic_time now)
{
    if (outcome == send_outcome::cancelled)
    {
        return;
    }
    const bool error = outcome == send_outcome::failed ||
                       outcome == send_outcome::broken ||
                       outcome == send_outcome::unreachable;
    target.error_rate += weight * ((error ? 1.0 : 0.0) - target.error_rate);
    const bool shed = outcome == send_outcome::shed;
    target.shed_rate += weight * ((shed ? 1.0 : 0.0) - target.shed_rate);
    switch (outcome)
    {
    case send_outcome::good:
    case send_outcome::failed:
        target.failures = 0;
        break;
    case send_outcome::unreachable:
        block(target, now);
        break;
    case send_outcome::misdirected:
        target.misdirected = true;
        break;
    default:
        break;
    }
}

/// Rate of this VM's requests to a cold target that keeps all VMs together
/// below the rate that the target can take.
double
cold_rate(const choice_context& context)
{
    return config::cold_rate_share * context.cold_rate /
           static_cast<double>(std::max<std::size_t>(context.vms, 1));
}

/// Whether requests to the target are limited in rate because it is cold.
bool
is_cold_limited(const target_state& target, const choice_context& context)
{
    return context.now < target.cold_until && context.cold_rate > 0.0;
}

/// Rate of this VM's requests to a target that names a rate limit.
double
limited_rate(const target_state& target)
{
    const double limit =
        std::max(target.rate_limit.value_or(0.0), config::min_rate_limit);
    return config::rate_limit_share * limit * target.rate_part;
}

/// Time between two requests of this VM to a target that names a rate limit.
duration
limited_interval(const target_state& target)
{
    return send_interval(limited_rate(target));
}

/// Cost without the surcharges of its place.
double
cost_of_state(const target_state& target, const choice_context& context)
{
    const double kept = decay_factor(target, context.now);
    const double slots = std::max(target.record.slots, 1U);
    const bool load_known =
        context.now - target.load_at < config::load_cost_max_age;
    const double waiting = load_known ? target.load.waiting : 0.0;
    const auto running = static_cast<double>(target.running.size());
    double cost = 1.0 + (target.relative_latency - 1.0) * kept;
    cost *= 1.0 + (running + waiting) / slots;
    cost *= 1.0 + config::error_cost_factor * target.error_rate * kept;
    cost *= 1.0 + config::shed_cost_factor * target.shed_rate * kept;
    if (is_stalled(target, context.now))
    {
        cost *= config::stalled_cost_factor;
    }
    if (context.now < target.cold_until)
    {
        cost *= config::cold_cost_factor;
    }
    return cost;
}

} // namespace

void
record_sent(target_state& target, std::uint64_t id, duration expected,
    monotonic_time now)
{
    target.running.push_back({id, now, expected});
}

duration
record_ended(target_state& target, std::uint64_t id, send_outcome outcome,
    monotonic_time now)
{
    const auto found =
        std::find_if(target.running.begin(), target.running.end(),
            [&](const running_send& s) { return s.id == id; });
    if (found == target.running.end())
    {
        return duration::zero();
    }
    const running_send send = *found;
    target.running.erase(found);
    const double weight = sample_weight(target, now);
    apply_decay(target, now);
    const double excess = relative_latency_of(now - send.since, send.expected) -
                          target.relative_latency;
    if (outcome == send_outcome::good ||
        (outcome == send_outcome::cancelled && excess > 0.0))
    {
        target.relative_latency += weight * excess;
    }
    record_outcome(target, outcome, weight, now);
    return now - send.since;
}

void
record_overdue(target_state& target, std::uint64_t id, monotonic_time now)
{
    const auto found =
        std::find_if(target.running.begin(), target.running.end(),
            [&](const running_send& s) { return s.id == id; });
    if (found != target.running.end())
    {
        const double weight = sample_weight(target, now);
        apply_decay(target, now);
        const double sample =
            relative_latency_of(now - found->since, found->expected);
        target.relative_latency +=
            weight * std::max(sample - target.relative_latency, 0.0);
    }
}

void
record_load(target_state& target, const target_load& load, monotonic_time now)
{
    target.load = load;
    target.load_at = now;
}

bool
record_rate_limit(target_state& target, const target_notice& notice,
    monotonic_time sent_at, monotonic_time now, std::mt19937_64& random)
{
    const bool outdated = !notice.rate_limit && sent_at <= target.rate_limit_at;
    if (outdated || (!notice.rate_limit && !target.rate_limit))
    {
        return false;
    }
    const std::optional<double> former_limit = target.rate_limit;
    const duration former_interval = limited_interval(target);
    target.rate_limit = notice.rate_limit;
    if (!notice.rate_limit)
    {
        target.rate_limit_end = now;
        return true;
    }
    target.rate_limit_at = now;
    const duration interval = limited_interval(target);
    if (former_limit)
    {
        rescale_schedule(target.limited_sends, former_interval, interval, now);
    }
    else
    {
        start_schedule(target.limited_sends, interval, now, random);
    }
    return former_limit != notice.rate_limit;
}

void
set_rate_part(target_state& target, double part, monotonic_time now)
{
    const duration former_interval = limited_interval(target);
    target.rate_part = part;
    rescale_schedule(
        target.limited_sends, former_interval, limited_interval(target), now);
}

void
record_pause(
    target_state& target, const target_notice& notice, monotonic_time now)
{
    if (notice.retry_after)
    {
        target.paused_until =
            std::max(target.paused_until, now + *notice.retry_after);
    }
}

void
record_recovered(target_state& target)
{
    target.blocked = false;
    target.probing = false;
    target.failures = 0;
}

void
record_probe_failed(target_state& target, monotonic_time now)
{
    target.probing = false;
    block(target, now);
}

void
record_unresponsive(target_state& target, monotonic_time now)
{
    if (!target.blocked)
    {
        block(target, now);
    }
}

bool
is_stalled(const target_state& target, monotonic_time now)
{
    return std::any_of(target.running.begin(), target.running.end(),
        [&](const running_send& s)
        {
            const std::chrono::duration<double> limit =
                std::chrono::duration<double>(config::min_stall_time) +
                config::stall_latency_multiple * s.expected;
            return now - s.since > limit;
        });
}

bool
is_saturated(const target_state& target, monotonic_time now)
{
    return !target.running.empty() &&
           now - target.load_at < config::load_report_max_age &&
           target.load.waiting >= std::max(target.record.slots, 1U);
}

bool
is_leaving(const target_state& target)
{
    return target.record.leaving || target.said_leaving;
}

bool
is_usable(
    const target_state& target, const choice_context& context, bool last_resort)
{
    if (is_leaving(target) || target.misdirected || target.blocked ||
        (target.lapsed_at && !last_resort))
    {
        return false;
    }
    if (context.scope == choice_scope::own_zone && context.zone != nullptr &&
        target.record.zone != *context.zone)
    {
        return false;
    }
    const bool other_version =
        context.version != nullptr &&
        (target.record.version == *context.version) == context.other_versions;
    if (other_version)
    {
        return false;
    }
    if (context.zones_out != nullptr &&
        std::find(context.zones_out->begin(), context.zones_out->end(),
            target.record.zone) != context.zones_out->end())
    {
        return false;
    }
    return true;
}

double
allowed_rate(const target_state& target, const choice_context& context)
{
    double rate = std::numeric_limits<double>::infinity();
    if (is_cold_limited(target, context))
    {
        rate = std::min(rate, cold_rate(context));
    }
    if (target.rate_limit)
    {
        rate = std::min(rate, limited_rate(target));
    }
    return rate;
}

monotonic_time
next_send_at(const target_state& target, const choice_context& context)
{
    monotonic_time at = std::max(context.now, target.paused_until);
    if (is_cold_limited(target, context))
    {
        at = std::max(at, next_send(target.cold_sends,
                              send_interval(cold_rate(context)), context.now));
    }
    if (target.rate_limit)
    {
        at = std::max(at, next_send(target.limited_sends,
                              limited_interval(target), context.now));
    }
    return at;
}

bool
is_healthy(const target_state& target, const choice_context& context)
{
    return cost_of_state(target, context) < 1.0 + config::other_zone_cost;
}

double
cost_of(const target_state& target, const choice_context& context)
{
    double cost = cost_of_state(target, context);
    if (context.zone != nullptr && target.record.zone != *context.zone)
    {
        cost += config::other_zone_cost;
    }
    if (target.unplanned)
    {
        cost += config::unplanned_cost;
    }
    return cost;
}

target_state*
choose_target(const std::vector<target_state*>& targets,
    const choice_context& context, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> jitter(
        1.0, 1.0 + config::choice_jitter);
    for (const bool last_resort : {false, true})
    {
        target_state* best = nullptr;
        double best_cost = 0.0;
        for (target_state* target : targets)
        {
            const bool tried =
                context.tried != nullptr &&
                std::find(context.tried->begin(), context.tried->end(),
                    target) != context.tried->end();
            if (tried || target->full || is_saturated(*target, context.now) ||
                !is_usable(*target, context, last_resort) ||
                next_send_at(*target, context) > context.now)
            {
                continue;
            }
            const double cost = cost_of(*target, context) * jitter(random);
            if (best == nullptr || cost < best_cost)
            {
                best = target;
                best_cost = cost;
            }
        }
        if (best != nullptr)
        {
            return best;
        }
    }
    return nullptr;
}

void
record_cold_start(target_state& target, duration left,
    const choice_context& context, std::mt19937_64& random)
{
    const bool was_cold = context.now < target.cold_until;
    target.cold_until = context.now + left;
    if (!was_cold && is_cold_limited(target, context))
    {
        start_schedule(target.cold_sends, send_interval(cold_rate(context)),
            context.now, random);
    }
}

void
spend_rates(target_state& target, const choice_context& context)
{
    if (is_cold_limited(target, context))
    {
        record_send(
            target.cold_sends, send_interval(cold_rate(context)), context.now);
    }
    if (target.rate_limit)
    {
        record_send(
            target.limited_sends, limited_interval(target), context.now);
    }
}

} // namespace bramleymux
