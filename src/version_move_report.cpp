#include "version_move_state.hpp"

#include <xxhash.h>

#include <algorithm>

/// Evidence messages between VMs, version choice and status of moves.
namespace bramleymux
{

namespace
{

using nlohmann::json;

// Layout of an evidence message: format (1 byte), number of moves (1 byte),
// then for each move the hash of its name (4 bytes, little-endian) and its
// phase and step (4 bits each), then the cells up to the end (see
// encode_cells).
constexpr std::uint8_t message_format = 1;
constexpr std::size_t move_bytes = 5;
constexpr unsigned step_bits = 4;

struct peer_progress
{
    std::uint32_t move_hash;
    move_phase phase;
    std::size_t step;
};

std::uint32_t
hash_of(const std::string& move)
{
    return static_cast<std::uint32_t>(XXH64(move.data(), move.size(), 0));
}

/// Returns whether evidence of the move is exchanged with peers.
bool
is_sent(const move_monitor& m)
{
    return m.row.state == move_state::active;
}

/// Returns false if the message is malformed.
bool
parse_message(const std::vector<std::uint8_t>& in,
    std::vector<peer_progress>& progress, evidence_cells& cells)
{
    if (in.size() < 2 || in[0] != message_format ||
        in.size() < 2 + in[1] * move_bytes)
    {
        return false;
    }
    std::size_t position = 2;
    for (std::size_t i = 0; i < in[1]; ++i)
    {
        peer_progress p{};
        for (unsigned shift = 0; shift < 32; shift += 8)
        {
            p.move_hash |= static_cast<std::uint32_t>(in[position++]) << shift;
        }
        p.phase = static_cast<move_phase>(in[position] >> step_bits);
        p.step = in[position++] & ((1U << step_bits) - 1);
        if (p.phase >= move_phase::count || p.step >= config::move_steps.size())
        {
            return false;
        }
        progress.push_back(p);
    }
    return decode_cells(in, position, cells);
}

/// Returns the cells that belong to active moves known to this VM.
evidence_cells
known_cells(const version_moves& moves, const evidence_cells& cells)
{
    evidence_cells out;
    for (const move_monitor& m : moves.monitors)
    {
        for (const route_monitor& route : m.routes)
        {
            for (const evidence_key key : {route.new_key, route.old_key})
            {
                const auto at = cells.find(key);
                if (is_sent(m) && at != cells.end())
                {
                    out.insert(*at);
                }
            }
        }
    }
    return out;
}

json
to_json(const evidence_counts& c)
{
    return {{"replies", c.replies}, {"errors", c.errors}, {"slow", c.slow}};
}

/// Returns the version that serves according to the table and to withdrawals
/// that are not in the table yet; an invalid handle if there is none.
version_handle
serving_version_of(const version_moves& moves, const catalog& c,
    const catalog_service& service)
{
    std::vector<std::string> names;
    for (const version_handle h : service.versions)
    {
        names.push_back(c.versions[h.index].name);
    }
    std::vector<move_row> rows;
    for (const move_monitor& m : moves.monitors)
    {
        rows.push_back(m.row);
        if (m.phase == move_phase::withdrawn)
        {
            rows.back().state = move_state::withdrawn;
        }
    }
    const catalog_version* version = find_version(
        c, service.self, serving_version(names, rows, service.name));
    return version == nullptr ? version_handle{} : version->self;
}

} // namespace

std::vector<withdrawal>
unsaved_withdrawals(const version_moves& moves)
{
    std::vector<withdrawal> out;
    for (const move_monitor& m : moves.monitors)
    {
        const auto at = moves.withdrawals.find(m.row.name);
        if (at != moves.withdrawals.end() &&
            m.row.state != move_state::withdrawn)
        {
            out.push_back(at->second);
        }
    }
    return out;
}

std::vector<std::string>
unsaved_completions(const version_moves& moves)
{
    std::vector<std::string> out;
    for (const move_monitor& m : moves.monitors)
    {
        if (m.phase == move_phase::done && m.row.state == move_state::active)
        {
            out.push_back(m.row.name);
        }
    }
    return out;
}

std::vector<std::uint8_t>
encode_evidence(const version_moves& moves)
{
    std::vector<std::uint8_t> out{message_format, 0};
    evidence_cells cells;
    for (const move_monitor& m : moves.monitors)
    {
        if (!is_sent(m))
        {
            continue;
        }
        ++out[1];
        const std::uint32_t hash = hash_of(m.row.name);
        for (unsigned shift = 0; shift < 32; shift += 8)
        {
            out.push_back(static_cast<std::uint8_t>(hash >> shift));
        }
        out.push_back(static_cast<std::uint8_t>(
            static_cast<unsigned>(m.phase) << step_bits | m.step));
    }
    for (const auto& [key, cell] : known_cells(moves, moves.pool.own))
    {
        cells.emplace(key, cell);
    }
    encode_cells(cells, out);
    return out;
}

bool
receive_evidence(version_moves& moves, const std::string& peer,
    std::uint64_t incarnation, const std::vector<std::uint8_t>& message,
    const move_clock& clock)
{
    std::vector<peer_progress> progress;
    evidence_cells cells;
    if (!parse_message(message, progress, cells))
    {
        return false;
    }
    merge_peer(
        moves.pool, peer, incarnation, known_cells(moves, cells), clock.now);
    for (const peer_progress& p : progress)
    {
        for (move_monitor& m : moves.monitors)
        {
            if (hash_of(m.row.name) != p.move_hash)
            {
                continue;
            }
            if (p.phase == move_phase::withdrawn)
            {
                withdraw(moves,
                    {m.row.name, "withdrawn by " + peer, peer, clock.unix_ms});
            }
            else
            {
                adopt_progress(moves, m, p.phase, p.step, clock);
            }
        }
    }
    return true;
}

std::vector<version_share>
version_shares(const version_moves& moves, const catalog& c)
{
    std::vector<version_share> out(c.services.size());
    for (const catalog_service& service : c.services)
    {
        if (service.self.is_valid())
        {
            out[service.self.index].base =
                serving_version_of(moves, c, service);
        }
    }
    for (const move_monitor& m : moves.monitors)
    {
        if (m.service.index >= out.size() || !m.from.is_valid() ||
            !m.to.is_valid())
        {
            continue;
        }
        version_share& share = out[m.service.index];
        const bool is_last_done = m.row.state == move_state::done &&
                                  m.phase == move_phase::done &&
                                  share.base == m.to;
        const bool is_active = m.row.state == move_state::active &&
                               m.phase != move_phase::withdrawn;
        if (is_active || (is_last_done && !share.candidate.is_valid()))
        {
            share = {m.from, m.to, m.share,
                m.phase == move_phase::done ||
                    m.step > config::last_unproven_step,
                hash_of(m.row.name)};
        }
    }
    return out;
}

version_choice
choose_version(const version_share& share, std::string_view query_id)
{
    const std::uint64_t hash =
        XXH64(query_id.data(), query_id.size(), share.seed);
    // Maps the upper 53 bits to a uniform double in [0, 1).
    const double position = static_cast<double>(hash >> 11U) * 0x1p-53;
    if (share.candidate.is_valid() && position < share.share)
    {
        return {share.candidate, share.base};
    }
    return {share.base,
        share.candidate_proven ? share.candidate : version_handle{}};
}

double
carried_share(const std::vector<searcher_capacity>& searchers)
{
    double share = searchers.empty() ? 0.0 : 1.0;
    for (const searcher_capacity& s : searchers)
    {
        share = std::min(share,
            static_cast<double>(s.new_limit) /
                static_cast<double>(std::max<std::uint32_t>(s.old_limit, 1)));
    }
    return share;
}

std::vector<move_status>
status_of(const version_moves& moves)
{
    std::vector<move_status> out;
    for (const move_monitor& m : moves.monitors)
    {
        move_status s;
        s.row = m.row;
        s.phase = m.phase;
        s.share = m.share;
        s.step_share = config::move_steps[m.step];
        s.wait = m.wait;
        s.wait_detail = m.wait_detail;
        s.at_risk = m.at_risk;
        s.risk = m.risk;
        s.step_since_ms = m.step_since_ms;
        s.estimated_done_ms = m.estimated_done_ms;
        const auto w = moves.withdrawals.find(m.row.name);
        if (w != moves.withdrawals.end())
        {
            s.cause = w->second.cause;
            s.withdrawn_by = w->second.by;
            s.withdrawn_at_ms = w->second.at_ms;
        }
        for (const route_monitor& route : m.routes)
        {
            s.routes.push_back({route.name, pooled(moves.pool, route.new_key),
                pooled(moves.pool, route.old_key)});
        }
        out.push_back(std::move(s));
    }
    return out;
}

nlohmann::json
to_json(const move_status& status)
{
    json routes = json::array();
    for (const route_status& r : status.routes)
    {
        routes.push_back({{"route", r.route}, {"new", to_json(r.new_version)},
            {"old", to_json(r.old)}});
    }
    const auto name = [](const auto& names, auto value)
    { return std::string(names[static_cast<std::size_t>(value)]); };
    return {{"name", status.row.name}, {"service", status.row.service},
        {"from", status.row.from}, {"to", status.row.to},
        {"state", name(move_phase_names, status.phase)},
        {"share", status.share}, {"step_share", status.step_share},
        {"waits_for", name(move_wait_names, status.wait)},
        {"waits_for_detail", status.wait_detail}, {"at_risk", status.at_risk},
        {"risk", status.risk}, {"cause", status.cause},
        {"withdrawn_by", status.withdrawn_by},
        {"withdrawn_at_ms", status.withdrawn_at_ms},
        {"start_ms", status.row.start_ms},
        {"deadline_ms", status.row.deadline_ms},
        {"step_since_ms", status.step_since_ms},
        {"estimated_done_ms", status.estimated_done_ms},
        {"routes", std::move(routes)}};
}

} // namespace bramleymux
