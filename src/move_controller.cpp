#include "move_controller.hpp"

#include "config.hpp"
#include "log_events.hpp"

#include <algorithm>

namespace bramleymux
{

using nlohmann::json;

namespace
{

move_clock
clock_at(monotonic_time now)
{
    return {now, std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()};
}

event
log_event_of(move_event_kind kind)
{
    switch (kind)
    {
    case move_event_kind::withdrawn:
        return event::move_withdrawn;
    case move_event_kind::at_risk:
        return event::move_at_risk;
    case move_event_kind::done:
        return event::move_done;
    default:
        return event::move_step;
    }
}

/// Returns the concurrency limit of the target now, from its owner's last
/// report; 0 if the target cannot be used.
std::uint32_t
current_limit_of(
    const catalog_target& row, const std::vector<target_report>& reports)
{
    const auto found = std::find_if(reports.begin(), reports.end(),
        [&](const target_report& r) { return r.target == row.name; });
    if (found == reports.end() || !found->reachable || found->draining ||
        row.draining || row.zone_out)
    {
        return 0;
    }
    const std::uint32_t proven =
        found->proven_limit == 0 ? row.cold_limit : found->proven_limit;
    return std::min(row.slots, proven);
}

} // namespace

move_controller::move_controller(blackboard& board, report_controller& reports,
    peer_transport& peers, vm_identity self)
    : board_(board), reports_(reports), peers_(peers), self_(std::move(self))
{
    moves_.vm = self_.id;
}

void
move_controller::record_reply(const version_reply& reply)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    observe_reply(moves_, reply);
}

/// Computes the capacity and the maximum share of each move's new version.
std::map<std::string, move_inputs>
move_controller::read_inputs(const catalog& topology) const
{
    std::map<std::string, move_inputs> out;
    if (topology.moves.empty())
    {
        return out;
    }
    const std::vector<target_report> reports = reports_.all();
    const auto rows = board_.rows.get();
    for (const move_row& move : topology.moves)
    {
        std::map<std::string, searcher_capacity> searchers;
        for (const target_row& row : rows->targets)
        {
            const auto target = std::find_if(topology.targets.begin(),
                topology.targets.end(),
                [&](const catalog_target& t) { return t.name == row.name; });
            if (row.service != move.service || target == topology.targets.end())
            {
                continue;
            }
            if (row.version == move.to)
            {
                searchers[row.searcher].new_limit +=
                    current_limit_of(*target, reports);
            }
            else if (row.version == move.from)
            {
                searchers[row.searcher].old_limit += target->slots;
            }
        }
        std::vector<searcher_capacity> capacities;
        capacities.reserve(searchers.size());
        for (const auto& [name, capacity] : searchers)
        {
            capacities.push_back(capacity);
        }
        move_inputs inputs;
        inputs.capacity_share = carried_share(capacities);
        const catalog_service* service = find_service(topology, move.service);
        const catalog_version* version =
            service != nullptr ? find_version(topology, service->self, move.to)
                               : nullptr;
        inputs.max_share = version != nullptr ? version->max_share : 0.0;
        out[move.name] = inputs;
    }
    return out;
}

void
move_controller::log_move_events(const std::vector<move_event>& events)
{
    for (const move_event& e : events)
    {
        const bool is_step = e.kind == move_event_kind::step;
        log_event(log_event_of(e.kind),
            "move=" + e.move +
                (is_step ? " " + e.detail : " detail=\"" + e.detail + "\""));
    }
}

void
move_controller::run_control_cycle(
    const std::vector<vm_identity>& peers, monotonic_time now)
{
    const auto topology = board_.topology.get();
    if (!topology)
    {
        return;
    }
    const auto inputs = read_inputs(*topology);
    std::vector<move_event> events;
    std::vector<std::uint8_t> evidence;
    bool withdrawals_changed = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (topology != applied_topology_)
        {
            update_moves(moves_, *topology, clock_at(now));
            applied_topology_ = topology;
        }
        events = evaluate_moves(moves_, inputs, clock_at(now));
        board_.versions.set(std::make_shared<const std::vector<version_share>>(
            version_shares(moves_, *topology)));
        if (now >= next_evidence_at_ && !moves_.monitors.empty())
        {
            next_evidence_at_ = now + config::evidence_period;
            evidence = encode_evidence(moves_);
        }
        withdrawals_changed = moves_.withdrawals.size() != withdrawals_sent_;
        withdrawals_sent_ = moves_.withdrawals.size();
    }
    log_move_events(events);
    if (withdrawals_changed)
    {
        send_withdrawals(peers);
    }
    if (!evidence.empty())
    {
        send_to_all(
            peers, {peer_message_type::evidence, self_.id, self_.incarnation,
                       json{{"e", json::binary(std::move(evidence))}}});
    }
}

void
move_controller::send_to_all(
    const std::vector<vm_identity>& peers, const peer_message& message)
{
    for (const vm_identity& peer : peers)
    {
        peers_.send(peer, message);
    }
}

void
move_controller::send_withdrawals(const std::vector<vm_identity>& peers)
{
    json items = json::array();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [move, w] : moves_.withdrawals)
        {
            items.push_back({{"move", w.move}, {"cause", w.cause}, {"by", w.by},
                {"at_ms", w.at_ms}});
        }
    }
    send_to_all(
        peers, {peer_message_type::withdrawal, self_.id, self_.incarnation,
                   json{{"items", std::move(items)}}});
}

void
move_controller::on_message(const peer_message& message)
{
    try
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (message.type == peer_message_type::evidence)
        {
            receive_evidence(moves_, message.from, message.from_incarnation,
                message.body.at("e").get_binary(),
                clock_at(monotonic_clock::now()));
            return;
        }
        if (message.type != peer_message_type::withdrawal)
        {
            return;
        }
        for (const json& item : message.body.at("items"))
        {
            const withdrawal w{item.at("move").get<std::string>(),
                item.at("cause").get<std::string>(),
                item.at("by").get<std::string>(),
                item.at("at_ms").get<std::int64_t>()};
            if (withdraw(moves_, w))
            {
                log_event(
                    event::move_withdrawn, "move=" + w.move + " by=" + w.by +
                                               " cause=\"" + w.cause + "\"");
            }
        }
    }
    catch (const json::exception&)
    {
        log_event(event::peer_message_invalid, "type=evidence");
    }
}

std::vector<withdrawal>
move_controller::withdrawals_to_save() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return unsaved_withdrawals(moves_);
}

std::vector<std::string>
move_controller::completions_to_save() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return unsaved_completions(moves_);
}

json
move_controller::status() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    json out = json::array();
    for (const move_status& s : status_of(moves_))
    {
        out.push_back(to_json(s));
    }
    return out;
}

} // namespace bramleymux
