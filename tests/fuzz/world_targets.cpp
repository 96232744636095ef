#include "world.hpp"

#include "table_edit.hpp"

#include <algorithm>

namespace bramleymux::fuzz
{

namespace
{

using nlohmann::json;

constexpr std::size_t zones = 2;
constexpr std::size_t vms_per_zone = 3;
constexpr std::size_t targets_per_zone = 3;
constexpr std::uint32_t initial_shard_count = 4;
constexpr std::uint32_t table_slots = 3;
constexpr std::int64_t move_start_ms = 3'600'000; // initial time of the clock

std::string
numbered(const char* prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

/// Returns the shards that a target holds. Of the targets of a zone, the first
/// holds the lower half, the second the upper half and the third all shards.
/// Targets of the new version hold all shards.
shard_range
held_shards(std::size_t target, std::uint32_t shard_count)
{
    if (target >= zones * targets_per_zone)
    {
        return {0, shard_count - 1};
    }
    const std::uint32_t half = shard_count / 2;
    switch (target % targets_per_zone)
    {
    case 0:
        return {0, half - 1};
    case 1:
        return {half, shard_count - 1};
    default:
        return {0, shard_count - 1};
    }
}

json
initial_table(const std::vector<fake_target>& targets)
{
    json rows = json::array();
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        rows.push_back({{"name", targets[i].name}, {"service", "desk"},
            {"searcher", i % 2 == 0 ? "fast" : "slow"},
            {"zone", targets[i].zone}, {"version", targets[i].version},
            {"address", "127.0.0.1:" + std::to_string(9000 + i)}});
    }
    return {{"zones", {{{"name", "z0"}}, {{"name", "z1"}}}},
        {"services", {{{"name", "desk"}}}},
        {"routes", {{{"service", "desk"}, {"name", "find"}},
                       {{"service", "desk"}, {"name", "enter"},
                           {"idempotent", false}}}},
        {"searchers", {{{"service", "desk"}, {"name", "fast"},
                           {"slots", table_slots}, {"cold_limit", table_slots}},
                          {{"service", "desk"}, {"name", "slow"},
                              {"slots", table_slots}, {"cold_limit", 1}}}},
        {"versions", {{{"service", "desk"}, {"name", "v1"}},
                         {{"service", "desk"}, {"name", "v2"}}}},
        {"targets", rows},
        {"moves", {{{"name", "m1"}, {"service", "desk"}, {"from", "v1"},
                      {"to", "v2"}, {"start_ms", move_start_ms},
                      {"deadline_ms", move_start_ms + 600'000}}}}};
}

} // namespace

world::world(std::uint64_t seed, breakage fault) : fault_(fault), random_(seed)
{
    for (std::size_t i = 0; i < zones * targets_per_zone; ++i)
    {
        fake_target target;
        target.name = numbered("t", i);
        target.zone = numbered("z", i / targets_per_zone);
        target.version = "v1";
        targets_.push_back(target);
        checker.target_started(target.name, target.instance());
    }
    for (std::size_t i = 0; i < zones; ++i)
    {
        fake_target target;
        target.name = numbered("new", i);
        target.zone = numbered("z", i);
        target.version = "v2";
        targets_.push_back(target);
        checker.target_started(target.name, target.instance());
    }
    newest_snapshot_ = 1;
    checker.snapshot_made(newest_snapshot_, initial_shard_count);
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        targets_[i].snapshots = {{newest_snapshot_, initial_shard_count,
            {held_shards(i, initial_shard_count)}}};
    }
    (void)platform_.put(std::string(table_key), initial_table(targets_), 0);
    record_accepted_table();
    for (std::size_t i = 0; i < zones * vms_per_zone; ++i)
    {
        start_vm(numbered("vm", i), numbered("z", i / vms_per_zone));
    }
    advance(6s);
}

void
world::on_target_request(const wire_request& wire)
{
    fake_target& target = target_of(wire.request.target_name);
    const sub_request& request = wire.request;
    const auto held = std::find_if(target.snapshots.begin(),
        target.snapshots.end(),
        [&](const held_snapshot& s) { return s.sequence == request.snapshot; });
    const bool holds_all =
        held != target.snapshots.end() &&
        std::all_of(request.shards.begin(), request.shards.end(),
            [&](shard_id shard) { return holds(*held, shard); });
    const json id{{"request_id", wire.id}, {"run", "not_run"}};
    json refusal = id;
    int status = 503;
    if (target.draining)
    {
        refusal["reason"] = "draining";
    }
    else if (target.requests_to_shed > 0)
    {
        --target.requests_to_shed;
        refusal["reason"] = "shed";
    }
    else if (!holds_all)
    {
        status = 409;
        refusal["reason"] = "snapshot";
    }
    const bool executed = !refusal.contains("reason");
    checker.request_arrived(wire.id, executed, now_);
    if (!executed)
    {
        respond(wire, status, refusal.dump(), 0us);
        return;
    }
    const auto service_time = std::chrono::duration_cast<duration>(
        between(20ms, 140ms) * target.slowdown);
    schedule(std::min(service_time, wire.remaining),
        [this, wire, incarnation = target.incarnation,
            completed = service_time <= wire.remaining]
        {
            fake_target& target_at_end = target_of(wire.request.target_name);
            if (target_at_end.incarnation == incarnation)
            {
                const bool failed =
                    bad_version_ && target_at_end.version == "v2";
                checker.execution_ended(wire.id, completed && !failed);
                if (completed && failed)
                {
                    respond(wire, 500,
                        json{{"request_id", wire.id}, {"run", "run"}}.dump(),
                        0us);
                }
                else if (completed)
                {
                    respond_rows(wire, target_at_end);
                }
            }
        });
}

void
world::respond(
    const wire_request& wire, int status, std::string body, duration delay)
{
    schedule_on_vm(wire.vm, wire.incarnation, delay + between(200us, 2ms),
        [this, wire, status, body = std::move(body)](fuzz_vm& owner)
        { on_response(owner, wire, status, body); });
}

void
world::respond_rows(const wire_request& wire, fake_target& target)
{
    const auto consume = [](unsigned& left) { return left > 0 && left-- > 0; };
    snapshot_sequence snapshot = wire.request.snapshot;
    if (snapshot > 1 && consume(target.replies_to_make_stale))
    {
        --snapshot;
    }
    const bool truncated = consume(target.replies_to_truncate);
    json shards = json::array();
    for (const shard_id shard : wire.request.shards)
    {
        shards.push_back({{"shard", shard},
            {"rows", {row_of(snapshot, shard, wire.request.query_id)}}});
    }
    if (truncated && chance(0.5))
    {
        shards.erase(shards.begin());
    }
    std::string body = json{{"request_id", wire.id},
        {"instance", target.instance()}, {"version", wire.request.version},
        {"snapshot", snapshot},
        {"shards", shards}}.dump();
    if (truncated && chance(0.5))
    {
        body.resize(body.size() / 2);
    }
    const std::string previous_body = std::exchange(target.last_body, body);
    if (consume(target.replies_to_lose))
    {
        return;
    }
    if (!previous_body.empty() && consume(target.replies_to_cross))
    {
        body = previous_body;
    }
    respond(wire, 200, body,
        consume(target.replies_to_delay) ? between(100ms, 2s) : 0us);
}

/// Reports the platform's table to the oracle if its version is new.
void
world::record_accepted_table()
{
    const object& stored = platform_.objects[std::string(table_key)];
    if (stored.version == recorded_version_)
    {
        return;
    }
    recorded_version_ = stored.version;
    accepted_table table;
    table.at = now_;
    for (const json& zone : stored.value["zones"])
    {
        if (zone.value("out", false))
        {
            table.zones_out.insert(zone["name"]);
        }
    }
    for (const json& row : stored.value["targets"])
    {
        table_target entry;
        entry.zone = row["zone"];
        entry.slots = row.value("limit", table_slots);
        entry.cold_limit = row["searcher"] == "fast" ? table_slots : 1;
        entry.draining = row.value("draining", false);
        table.targets[row["name"]] = entry;
    }
    checker.table_accepted(stored.version, std::move(table));
}

void
world::edit(const std::string& row, const json& fields)
{
    platform_.down = now_ < outage_until_;
    const table_edit change{numbered("e", ++next_edit_), "operator", 1, 0,
        {{change_op::patch, row, fields}}};
    (void)submit_edit(platform_, change);
    platform_.lose_replies = 0;
    record_accepted_table();
}

void
world::apply(const command& c)
{
    apply_target_fault(c, targets_[c.subject % targets_.size()]);
    apply_edit(c, targets_[c.subject % targets_.size()]);
    apply_fleet_fault(c);
    advance(std::chrono::milliseconds(c.wait_ms));
}

void
world::restart(fake_target& target)
{
    ++target.incarnation;
    target.draining = false;
    target.slowdown = 1.0;
    checker.target_started(target.name, target.instance());
}

void
world::apply_target_fault(const command& c, fake_target& target)
{
    const unsigned count = 1 + c.amount % 8;
    switch (c.kind)
    {
    case command_kind::lose_replies:
        target.replies_to_lose = count;
        break;
    case command_kind::late_replies:
        target.replies_to_delay = count;
        break;
    case command_kind::cross_replies:
        target.replies_to_cross = count;
        break;
    case command_kind::truncate_replies:
        target.replies_to_truncate = count;
        break;
    case command_kind::stale_replies:
        target.replies_to_make_stale = count;
        break;
    case command_kind::shed:
        target.requests_to_shed = count;
        break;
    case command_kind::drain:
        target.draining = !target.draining;
        checker.target_leaving(target.name, target.draining, now_);
        break;
    case command_kind::turn_cold:
        target.slowdown =
            target.slowdown > 1.0 ? 1.0 : (c.amount % 2 == 0 ? 10.0 : 40.0);
        break;
    case command_kind::restart_target:
        restart(target);
        break;
    case command_kind::report_limit:
        target.reported_limit = 1 + c.amount % 4;
        break;
    case command_kind::repartition:
        repartition();
        break;
    case command_kind::bad_version:
        bad_version_ = c.amount % 4 != 0;
        checker.version_bad("v2", bad_version_);
        break;
    default:
        break;
    }
}

/// Publishes a new snapshot with a random number of shards. The targets load it
/// at different times within 2 s and keep the two that they loaded last.
void
world::repartition()
{
    const snapshot_sequence sequence = ++newest_snapshot_;
    const auto shard_count =
        static_cast<std::uint32_t>(2 + random_() % initial_shard_count);
    checker.snapshot_made(sequence, shard_count);
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        schedule(between(0us, 2s),
            [this, i, sequence, shard_count]
            {
                auto& held = targets_[i].snapshots;
                held.push_back(
                    {sequence, shard_count, {held_shards(i, shard_count)}});
                if (held.size() > 2)
                {
                    held.erase(held.begin());
                }
            });
    }
}

void
world::apply_edit(const command& c, const fake_target& target)
{
    const json limit{{"limit", 1 + c.amount % 4}};
    const json drain{{"draining", c.amount % 2 == 0}};
    const std::string row = "target/" + target.name;
    switch (c.kind)
    {
    case command_kind::edit_limit:
        edit(row, limit);
        break;
    case command_kind::edit_drain:
        edit(row, drain);
        break;
    case command_kind::edit_zone:
        edit(numbered("zone/z", c.subject % zones),
            {{"out", c.amount % 2 == 0}});
        break;
    case command_kind::racing_edits:
        platform_.before_write = [this, row, drain](const std::string&)
        { edit(row, drain); };
        edit("target/" + targets_[c.amount % targets_.size()].name, limit);
        platform_.before_write = nullptr;
        break;
    case command_kind::lose_platform_reply:
        platform_.lose_replies = 1;
        edit(row, limit);
        break;
    default:
        break;
    }
}

/// Returns whether more than one VM of the zone is not stopping, so that this
/// one may end.
bool
world::is_spare(const fuzz_vm& vm) const
{
    return std::count_if(vms_.begin(), vms_.end(),
               [&](const auto& other)
               {
                   return other.second->self.zone == vm.self.zone &&
                          !other.second->stopping;
               }) > 1;
}

void
world::start_missing_vm()
{
    for (const vm_list_entry& entry : vm_list_)
    {
        if (vms_.count(entry.id) == 0)
        {
            start_vm(entry.id, entry.zone);
            return;
        }
    }
}

void
world::apply_fleet_fault(const command& c)
{
    fuzz_vm& vm = select_vm(c.subject);
    const duration time = 100ms * (1 + c.amount % 40);
    switch (c.kind)
    {
    case command_kind::queries:
        query_probability_ = 0.2 + 0.2 * (c.amount % 5);
        break;
    case command_kind::once:
        start_write(vm, c.amount % 6);
        break;
    case command_kind::once_twice:
        start_write(vm, c.amount % 6);
        start_write(select_vm(c.subject + 1), c.amount % 6);
        break;
    case command_kind::lose_claim:
        platform_.lose_replies = 1;
        start_write(vm, c.amount % 6);
        platform_.lose_replies = 0;
        break;
    case command_kind::delay_claim:
        platform_.delay_writes = 1;
        start_write(vm, c.amount % 6);
        platform_.delay_writes = 0;
        schedule(time, [this] { platform_.deliver(); });
        break;
    case command_kind::outage:
        outage_until_ = now_ + time;
        checker.platform_outage(outage_until_);
        break;
    case command_kind::cut_watchers:
        vm.watcher_cut_until = now_ + time;
        break;
    case command_kind::pause_vm:
        vm.paused_until = now_ + 2 * time;
        vm.last_ack += 2 * time; // used by `lease_clock_stops` only
        checker.links_disturbed(vm.paused_until);
        checker.vm_disturbed(vm.self.id, vm.paused_until);
        break;
    case command_kind::kill_vm:
        if (is_spare(vm))
        {
            checker.links_disturbed(now_);
            kill_vm(vm);
        }
        break;
    case command_kind::stop_vm:
        if (is_spare(vm) && !vm.stopping)
        {
            vm.stopping = true;
            vm.stop_at = now_ + 500ms;
        }
        break;
    case command_kind::start_vm:
        start_missing_vm();
        break;
    case command_kind::cut_zone:
        cut_zone_ = numbered("z", c.subject % zones);
        cut_until_ = now_ + time;
        checker.links_disturbed(cut_until_);
        for (const auto& [id, other] : vms_)
        {
            if (other->self.zone == cut_zone_)
            {
                checker.vm_disturbed(id, cut_until_);
            }
        }
        break;
    case command_kind::bad_links:
        bad_links_until_ = now_ + time;
        checker.links_disturbed(bad_links_until_);
        break;
    default:
        break;
    }
}

void
world::settle()
{
    for (fake_target& target : targets_)
    {
        target.requests_to_shed = target.replies_to_lose =
            target.replies_to_delay = target.replies_to_cross = 0;
        target.replies_to_truncate = target.replies_to_make_stale = 0;
    }
    advance(12s);
}

} // namespace bramleymux::fuzz
