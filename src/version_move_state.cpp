#include "version_move_state.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

/// Adds the growth since the last call to the route's counts. Old replies from
/// a period without new ones are left out.
void
update_route(
    const version_moves& moves, route_monitor& route, monotonic_time now)
{
    const evidence_cell new_total =
        observed_growth_of(moves.pool, route.new_key);
    const evidence_counts old_total =
        sum(observed_growth_of(moves.pool, route.old_key));
    const evidence_cell new_growth = new_total - route.counted_new;
    const evidence_counts old = old_total - route.counted_old;
    const std::uint64_t replies = sum(new_growth).replies;
    // Replies of the new version are held back for up to
    // `config::old_reply_wait` until there are old ones to compare them with.
    if (replies > 0 && old.replies == 0 &&
        now - route.counted_at < config::old_reply_wait)
    {
        return;
    }
    if (replies > 0)
    {
        add_period(route.counts, new_growth, old);
    }
    route.counted_new = new_total;
    route.counted_old = old_total;
    route.counted_at = now;
}

/// Updates the exponentially weighted mean of the replies per second.
void
update_rate(move_monitor& m, std::uint64_t replies, monotonic_time now)
{
    const double seconds =
        std::chrono::duration<double>(now - m.rate_updated_at).count();
    if (seconds > 0.0)
    {
        const double window =
            std::chrono::duration<double>(config::move_rate_window).count();
        const double rate =
            static_cast<double>(replies - m.rate_replies) / seconds;
        m.replies_per_second +=
            (rate - m.replies_per_second) * (1.0 - std::exp(-seconds / window));
    }
    m.rate_replies = replies;
    m.rate_updated_at = now;
}

/// Assigns the targets of each version to the groups in turn, in the order of
/// their names, so that all VMs assign the same groups.
void
assign_groups(move_monitor& m, const catalog& c)
{
    m.target_groups.clear();
    for (const version_handle version : {m.from, m.to})
    {
        std::vector<const catalog_target*> targets;
        for (const catalog_target& t : c.targets)
        {
            if (t.self.is_valid() && t.service == m.service &&
                t.version == version)
            {
                targets.push_back(&t);
            }
        }
        std::sort(targets.begin(), targets.end(),
            [](const catalog_target* a, const catalog_target* b)
            { return a->name < b->name; });
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            m.target_groups[targets[i]->self.index] = i % evidence_groups;
        }
    }
}

/// Adds monitors for the service's routes that have none yet.
void
assign_routes(version_moves& moves, move_monitor& m, const catalog& c,
    const move_clock& clock)
{
    for (const route_handle h : c.services[m.service.index].routes)
    {
        const bool known = std::any_of(m.routes.begin(), m.routes.end(),
            [&](const route_monitor& r) { return r.route == h; });
        if (known)
        {
            continue;
        }
        route_monitor route;
        route.route = h;
        route.name = c.routes[h.index].name;
        route.new_key = evidence_key_of(m.row.service, m.row.to, route.name);
        route.old_key = evidence_key_of(m.row.service, m.row.from, route.name);
        route.counted_new = observed_growth_of(moves.pool, route.new_key);
        route.counted_old = sum(observed_growth_of(moves.pool, route.old_key));
        route.counted_at = clock.now;
        route.old_before_move = route.counted_old.replies;
        start_windows(route.windows, route.counts, clock.now);
        m.routes.push_back(std::move(route));
    }
}

/// Sets the move's handles from the catalog. Returns false if the service is
/// unknown; the handle of an unknown version is invalid.
bool
resolve(version_moves& moves, move_monitor& m, const catalog& c,
    const move_clock& clock)
{
    const catalog_service* service = find_service(c, m.row.service);
    if (service == nullptr)
    {
        return false;
    }
    m.service = service->self;
    const catalog_version* from = find_version(c, m.service, m.row.from);
    const catalog_version* to = find_version(c, m.service, m.row.to);
    m.from = from == nullptr ? version_handle{} : from->self;
    m.to = to == nullptr ? version_handle{} : to->self;
    if (m.row.state == move_state::active)
    {
        assign_groups(m, c);
        assign_routes(moves, m, c, clock);
    }
    return true;
}

/// Ends the move if its table row or a known withdrawal says so.
void
apply_row_state(version_moves& moves, move_monitor& m, const move_clock& clock)
{
    if (m.row.state == move_state::withdrawn)
    {
        withdraw(moves, {m.row.name, m.row.cause, "table", clock.unix_ms});
    }
    if (moves.withdrawals.count(m.row.name) != 0)
    {
        end_move(m, move_phase::withdrawn);
    }
    else if (m.row.state == move_state::done)
    {
        end_move(m, move_phase::done);
    }
}

/// Removes the oldest withdrawals of moves that are no longer in the table
/// while there are more than `config::max_withdrawals`.
void
bound_withdrawals(version_moves& moves)
{
    while (moves.withdrawals.size() > config::max_withdrawals)
    {
        auto oldest = moves.withdrawals.end();
        for (auto at = moves.withdrawals.begin(); at != moves.withdrawals.end();
             ++at)
        {
            const bool in_table = std::any_of(moves.monitors.begin(),
                moves.monitors.end(),
                [&](const move_monitor& m) { return m.row.name == at->first; });
            if (!in_table && (oldest == moves.withdrawals.end() ||
                                 at->second.at_ms < oldest->second.at_ms))
            {
                oldest = at;
            }
        }
        if (oldest == moves.withdrawals.end())
        {
            return;
        }
        moves.withdrawals.erase(oldest);
    }
}

} // namespace

void
update_counts(const version_moves& moves, move_monitor& m, monotonic_time now)
{
    m.all.counts = {};
    std::uint64_t replies = 0;
    for (route_monitor& route : m.routes)
    {
        update_route(moves, route, now);
        m.all.counts += route.counts;
        replies += sum(observed_growth_of(moves.pool, route.new_key)).replies +
                   sum(observed_growth_of(moves.pool, route.old_key)).replies;
    }
    update_rate(m, replies, now);
}

bool
is_under_test(const move_monitor& m)
{
    return m.phase == move_phase::stepping || m.phase == move_phase::soaking;
}

void
start_all_windows(move_monitor& m, monotonic_time now)
{
    for (route_monitor& route : m.routes)
    {
        start_windows(route.windows, route.counts, now);
    }
    start_windows(m.all.windows, m.all.counts, now);
}

void
begin_step(move_monitor& m, std::size_t step, const move_clock& clock)
{
    m.step = step;
    m.step_since = clock.now;
    m.step_since_ms = clock.unix_ms;
    m.phase =
        step == last_move_step ? move_phase::soaking : move_phase::stepping;
    start_all_windows(m, clock.now);
    m.all.windows.step_start = m.all.counts;
}

void
start_move(version_moves& moves, move_monitor& m, const move_clock& clock)
{
    update_counts(moves, m, clock.now);
    for (route_monitor& route : m.routes)
    {
        route.old_before_move = route.counted_old.replies;
        route.counts = {};
    }
    m.all.counts = {};
    m.replies_per_second = 0.0;
    m.rate_since = clock.now;
    begin_step(m, 0, clock);
}

void
end_move(move_monitor& m, move_phase phase)
{
    m.phase = phase;
    m.share = phase == move_phase::done ? 1.0 : 0.0;
    m.at_risk = false;
    m.risk.clear();
    m.wait = move_wait::none;
    m.wait_detail.clear();
}

void
adopt_progress(version_moves& moves, move_monitor& m, move_phase phase,
    std::size_t step, const move_clock& clock)
{
    if (m.phase == move_phase::pending && phase != move_phase::pending)
    {
        start_move(moves, m, clock);
    }
    if (!is_under_test(m))
    {
        return;
    }
    if (phase == move_phase::done)
    {
        end_move(m, move_phase::done);
    }
    else if (step > m.step)
    {
        begin_step(m, step, clock);
    }
}

void
update_moves(version_moves& moves, const catalog& c, const move_clock& clock)
{
    std::vector<move_monitor> next;
    for (const move_row& row : c.moves)
    {
        const auto known =
            std::find_if(moves.monitors.begin(), moves.monitors.end(),
                [&](const move_monitor& m) { return m.row.name == row.name; });
        move_monitor m;
        if (known != moves.monitors.end())
        {
            m = std::move(*known);
        }
        m.row = row;
        if (resolve(moves, m, c, clock))
        {
            apply_row_state(moves, m, clock);
            next.push_back(std::move(m));
        }
    }
    moves.monitors = std::move(next);
    bound_withdrawals(moves);
}

bool
withdraw(version_moves& moves, const withdrawal& w)
{
    if (!moves.withdrawals.emplace(w.move, w).second)
    {
        return false;
    }
    for (move_monitor& m : moves.monitors)
    {
        if (m.row.name == w.move)
        {
            end_move(m, move_phase::withdrawn);
        }
    }
    return true;
}

} // namespace bramleymux
