#include "version_move.hpp"

#include "version_move_state.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

std::int64_t
to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Returns the share of a step. The last step leaves
/// `config::control_group_share` on the old version as a control group.
double
step_share(std::size_t step)
{
    return step == last_move_step ? 1.0 - config::control_group_share
                                  : config::move_steps[step];
}

void
set_wait(move_monitor& m, move_wait wait, std::string detail = {})
{
    m.wait = wait;
    m.wait_detail = std::move(detail);
}

/// Returns the cause of a withdrawal, for operators.
std::string
describe_fault(fault_kind kind, const std::string& route, const move_monitor& m)
{
    return std::string(fault_kind_names[static_cast<std::size_t>(kind)]) +
           " of version " + m.row.to + " above those of " + m.row.from +
           (route.empty() ? " over all routes" : " on route " + route);
}

/// Tests each route, then all routes together. Returns the cause if the new
/// version is faulty, else an empty string.
std::string
find_fault(const move_monitor& m)
{
    for (const route_monitor& route : m.routes)
    {
        const fault_kind kind = test_windows_at(route.windows, route.counts);
        if (kind != fault_kind::none)
        {
            return describe_fault(kind, route.name, m);
        }
    }
    const fault_kind kind = test_windows_at(m.all.windows, m.all.counts);
    return kind == fault_kind::none ? "" : describe_fault(kind, "", m);
}

void
rotate(move_monitor& m, monotonic_time now)
{
    for (route_monitor& route : m.routes)
    {
        rotate_windows(route.windows, route.counts, now);
    }
    rotate_windows(m.all.windows, m.all.counts, now);
}

/// Returns the name of a route without enough evidence that the new version is
/// free of serious faults, or an empty string. Skips routes with less than
/// `config::rare_route_share` of the old version's replies since the start.
std::string
unproven_route(const move_monitor& m)
{
    const auto old_replies = [](const route_monitor& route)
    {
        return static_cast<double>(
            route.counted_old.replies - route.old_before_move);
    };
    double total = 0.0;
    for (const route_monitor& route : m.routes)
    {
        total += old_replies(route);
    }
    for (const route_monitor& route : m.routes)
    {
        const double old = old_replies(route);
        if (old > 0.0 && old >= total * config::rare_route_share &&
            !is_clear(route.counts, config::route_clear_evidence_needed))
        {
            return route.name;
        }
    }
    return {};
}

/// Returns the replies per second, or nullopt until they have been measured for
/// `config::move_rate_window`.
std::optional<double>
reply_rate(const move_monitor& m, monotonic_time now)
{
    return now - m.rate_since < config::move_rate_window
               ? std::nullopt
               : std::make_optional(m.replies_per_second);
}

/// Returns the shortest time of a step: `config::min_step_time`, or the time to
/// get the replies that its evidence needs, if that is longer.
std::int64_t
shortest_step_ms(std::size_t step, std::optional<double> rate)
{
    const auto minimum = static_cast<double>(to_ms(config::min_step_time));
    const double seconds = rate ? config::step_replies_needed /
                                      std::max(*rate * step_share(step), 1e-9)
                                : 0.0;
    // The upper bound keeps the sum over all steps within 64 bits.
    return static_cast<std::int64_t>(
        std::min(std::max(minimum, seconds * 1000.0), 1e12));
}

/// Updates the estimated end of the move and the reason why it may miss its
/// deadline.
void
estimate(move_monitor& m, const move_inputs& inputs, const move_clock& clock)
{
    const std::optional<double> rate = reply_rate(m, clock.now);
    std::int64_t left = 0;
    for (std::size_t s = m.step; s < last_move_step; ++s)
    {
        left += shortest_step_ms(s, rate);
    }
    if (m.step < last_move_step)
    {
        left -= std::min(
            to_ms(clock.now - m.step_since), shortest_step_ms(m.step, rate));
    }
    left = std::max(left, to_ms(inputs.ramp_left));
    std::int64_t soak = m.row.soak_ms;
    if (m.phase == move_phase::soaking)
    {
        soak =
            std::max<std::int64_t>(soak - to_ms(clock.now - m.step_since), 0);
    }
    m.estimated_done_ms = clock.unix_ms + left + soak;
    m.risk.clear();
    if (inputs.max_share < step_share(last_move_step))
    {
        m.risk = "max_share of version " + m.row.to + " is below 1";
    }
    else if (m.estimated_done_ms > m.row.deadline_ms)
    {
        m.risk = clock.unix_ms > m.row.deadline_ms
                     ? "the deadline has passed"
                     : "the remaining steps do not fit before the deadline";
        m.risk += rate && *rate * step_share(m.step) < 1.0
                      ? ": too little traffic for evidence"
                      : "";
    }
}

/// Returns the time to spend at the present step: half of the time left until
/// the latest start of the soak, divided evenly over the remaining steps,
/// within `config::min_step_time` and `config::max_step_time`. With enough
/// time, late faults then appear while the share is small.
std::int64_t
planned_step_ms(const move_monitor& m, const move_clock& clock)
{
    const auto steps = static_cast<std::int64_t>(last_move_step - m.step);
    const std::int64_t left = m.row.deadline_ms - m.row.soak_ms - clock.unix_ms;
    return std::clamp(left / (2 * steps), to_ms(config::min_step_time),
        to_ms(config::max_step_time));
}

/// Returns whether the next step may begin, and sets the condition that the
/// move waits for.
bool
may_step(move_monitor& m, const move_inputs& inputs, const move_clock& clock)
{
    const double next = step_share(m.step + 1);
    if (to_ms(clock.now - m.step_since) < planned_step_ms(m, clock))
    {
        set_wait(m, move_wait::step_time);
        return false;
    }
    if (inputs.max_share < next)
    {
        set_wait(m, move_wait::max_share);
        return false;
    }
    if (inputs.capacity_share < next)
    {
        set_wait(m, move_wait::capacity);
        return false;
    }
    if (!is_clear(m.all.counts - m.all.windows.step_start,
            config::clear_evidence_needed))
    {
        set_wait(m, move_wait::evidence);
        return false;
    }
    std::string route = m.step == config::last_unproven_step ? unproven_route(m)
                                                             : std::string();
    if (!route.empty())
    {
        set_wait(m, move_wait::route_evidence, std::move(route));
        return false;
    }
    set_wait(m, move_wait::none);
    return true;
}

/// Begins the next step, or ends the soak, when its conditions are met.
void
advance(move_monitor& m, const move_inputs& inputs, const move_clock& clock,
    std::vector<move_event>& events)
{
    if (m.phase == move_phase::soaking)
    {
        set_wait(m, move_wait::soak);
        if (to_ms(clock.now - m.step_since) >= m.row.soak_ms)
        {
            end_move(m, move_phase::done);
            events.push_back({move_event_kind::done, m.row.name, ""});
        }
        return;
    }
    if (may_step(m, inputs, clock))
    {
        begin_step(m, m.step + 1, clock);
        events.push_back({move_event_kind::step, m.row.name,
            "share=" + std::to_string(step_share(m.step))});
    }
}

/// Limits the step's share to the capacity and maximum of the new version.
/// Restarts the test windows when the share differs from the tested one by more
/// than the fraction `config::retest_share_change`.
void
set_share(move_monitor& m, const move_inputs& inputs, monotonic_time now)
{
    m.share =
        std::min({step_share(m.step), inputs.capacity_share, inputs.max_share});
    if (std::abs(m.share - m.tested_share) >
        config::retest_share_change * m.tested_share)
    {
        start_all_windows(m, now);
        m.tested_share = m.share;
    }
}

void
evaluate(version_moves& moves, move_monitor& m, const move_inputs& inputs,
    const move_clock& clock, std::vector<move_event>& events)
{
    if (m.phase == move_phase::pending && clock.unix_ms >= m.row.start_ms)
    {
        start_move(moves, m, clock);
        events.push_back({move_event_kind::step, m.row.name,
            "share=" + std::to_string(step_share(0))});
    }
    if (!is_under_test(m))
    {
        return;
    }
    update_counts(moves, m, clock.now);
    const std::string cause = find_fault(m);
    rotate(m, clock.now);
    if (!cause.empty())
    {
        withdraw(moves, {m.row.name, cause, moves.vm, clock.unix_ms});
        events.push_back({move_event_kind::withdrawn, m.row.name, cause});
        return;
    }
    advance(m, inputs, clock, events);
    if (!is_under_test(m))
    {
        return;
    }
    set_share(m, inputs, clock.now);
    const bool was_at_risk = m.at_risk;
    estimate(m, inputs, clock);
    m.at_risk = !m.risk.empty();
    if (m.at_risk && !was_at_risk)
    {
        events.push_back({move_event_kind::at_risk, m.row.name, m.risk});
    }
}

/// Returns the counts to add for a reply; all 0 if the outcome is no evidence
/// about the version.
evidence_counts
classify(const version_reply& reply, const slow_threshold& threshold)
{
    const bool slow = is_slow(threshold, reply.elapsed);
    switch (reply.error)
    {
    case miss_reason::none:
        return {1, 0, slow ? 1U : 0U};
    case miss_reason::failed:
    case miss_reason::malformed:
    case miss_reason::mismatched:
        return {1, 1, 0};
    case miss_reason::unreachable:
        // A failed connection attempt is no evidence about the version.
        return reply.run == run_state::not_run ? evidence_counts{}
                                               : evidence_counts{1, 1, 0};
    case miss_reason::deadline:
    case miss_reason::cancelled:
        // The reply was not awaited to the end. It counts only if the time
        // waited already exceeds the slow threshold.
        return slow && reply.run != run_state::not_run
                   ? evidence_counts{1, 0, 1}
                   : evidence_counts{};
    default:
        return {};
    }
}

} // namespace

void
observe_reply(version_moves& moves, const version_reply& reply)
{
    for (move_monitor& m : moves.monitors)
    {
        if (m.service != reply.service || m.row.state != move_state::active ||
            m.phase == move_phase::done || m.phase == move_phase::withdrawn ||
            (reply.version != m.from && reply.version != m.to))
        {
            continue;
        }
        const bool is_new = reply.version == m.to;
        for (route_monitor& route : m.routes)
        {
            if (route.route != reply.route)
            {
                continue;
            }
            const evidence_counts counts = classify(reply, route.threshold);
            if (!is_new && reply.error == miss_reason::none)
            {
                learn(route.threshold, reply.elapsed);
            }
            const evidence_key key = is_new ? route.new_key : route.old_key;
            const bool has_room =
                moves.pool.own.size() < config::max_evidence_cells ||
                moves.pool.own.count(key) != 0;
            if (counts.replies > 0 && has_room)
            {
                const auto group = m.target_groups.find(reply.target.index);
                add_reply(moves.pool, key,
                    is_new && group != m.target_groups.end() ? group->second
                                                             : 0,
                    counts);
            }
        }
    }
}

std::vector<move_event>
evaluate_moves(version_moves& moves,
    const std::map<std::string, move_inputs>& inputs, const move_clock& clock)
{
    std::vector<move_event> events;
    expire_evidence(moves.pool, clock.now);
    for (move_monitor& m : moves.monitors)
    {
        const auto at = inputs.find(m.row.name);
        evaluate(moves, m, at == inputs.end() ? move_inputs{} : at->second,
            clock, events);
    }
    return events;
}

} // namespace bramleymux
