#include "world.hpp"

#include <algorithm>

namespace bramleymux::fuzz
{

namespace
{

constexpr unsigned max_attempts = 3;

} // namespace

target_views
world::views_of(const fuzz_vm& vm, const version_choice& versions) const
{
    target_views views(vm.topology->targets.size());
    const auto known = known_vms(vm.members);
    for (const catalog_target& each : vm.topology->targets)
    {
        if (!each.self.is_valid())
        {
            continue;
        }
        const catalog_target row = effective_row(each);
        const target_report& report = vm.reports[row.self.index];
        const std::string& zone = vm.topology->zones[row.zone.index].name;
        target_facts facts;
        facts.reachable = report.reachable;
        facts.draining = row.draining || report.draining;
        facts.zone_out = row.zone_out;
        facts.owner_known = std::any_of(known.begin(), known.end(),
            [&](const known_vm& other) {
                return other.identity.zone == zone &&
                       other.presence == vm_presence::live;
            });
        target_view& view = views[row.self.index];
        view.unusable = unusable_reason(facts);
        if (versions.preferred.is_valid() &&
            row.version != versions.preferred &&
            row.version != versions.fallback)
        {
            view.unusable = miss_reason::no_replica;
        }
        view.weight = row.weight;
        const auto mean = vm.latency.find(row.self.index);
        view.latency_us =
            mean == vm.latency.end() ? 0.0 : expected_us(mean->second, now_);
        const auto load = vm.in_flight.find(row.self.index);
        view.in_flight = load == vm.in_flight.end() ? 0 : load->second;
    }
    return views;
}

version_choice
world::versions_of(const fuzz_vm& vm, const std::string& query) const
{
    const catalog_service* service = find_service(*vm.topology, "desk");
    const auto shares = version_shares(vm.moves, *vm.topology);
    if (fault_ == breakage::share_ignored ||
        service->self.index >= shares.size())
    {
        return {};
    }
    return choose_version(shares[service->self.index], query);
}

void
world::observe(
    fuzz_vm& vm, const in_flight_request& batch, const sub_reply& reply)
{
    const catalog_target& row = vm.topology->targets[batch.target.index];
    if (bad_version_ && reply.error == miss_reason::failed &&
        vm.topology->versions[row.version.index].name == "v2")
    {
        checker.bad_reply(vm.self.id, now_);
    }
    if (fault_ == breakage::no_evidence)
    {
        return;
    }
    version_reply observed;
    observed.service = row.service;
    observed.version = row.version;
    observed.route = find_route(*vm.topology, row.service, "find")->self;
    observed.target = batch.target;
    observed.error = reply.error;
    observed.run = reply.run;
    observed.elapsed =
        reply.target_time > 0us ? reply.target_time : now_ - batch.sent;
    observe_reply(vm.moves, observed);
}

/// Evaluates the version move; sends evidence and withdrawals to the live
/// peers.
void
world::run_moves(fuzz_vm& vm)
{
    const move_clock clock{now_, call_now().unix_ms};
    // Neither the capacity nor the table limits the share of the new version.
    (void)evaluate_moves(vm.moves, {{"m1", {1.0, 1.0, {}}}}, clock);
    const bool changed = vm.moves.withdrawals.size() != vm.withdrawals_sent;
    vm.withdrawals_sent = vm.moves.withdrawals.size();
    if (now_ < vm.next_evidence && !changed)
    {
        return;
    }
    vm.next_evidence = now_ + config::evidence_period;
    const auto evidence = encode_evidence(vm.moves);
    for (const known_vm& peer : known_vms(vm.members))
    {
        if (peer.identity.id == vm.self.id ||
            peer.presence != vm_presence::live)
        {
            continue;
        }
        transmit(vm, peer.identity.id,
            [this, evidence, from = vm.self](fuzz_vm& to)
            {
                (void)receive_evidence(to.moves, from.id, from.incarnation,
                    evidence, {now_, call_now().unix_ms});
            });
        if (changed)
        {
            transmit(vm, peer.identity.id,
                [all = vm.moves.withdrawals](fuzz_vm& to)
                {
                    for (const auto& [move, w] : all)
                    {
                        (void)withdraw(to.moves, w);
                    }
                });
        }
    }
}

void
world::start_query(fuzz_vm& vm)
{
    const catalog_service* service = find_service(*vm.topology, "desk");
    if (service == nullptr || !vm.routes)
    {
        return;
    }
    open_query query;
    query.id = "q" + std::to_string(++next_id_);
    query.versions = versions_of(vm, query.id);
    const target_views views = views_of(vm, query.versions);
    const snapshot_index* snapshot = choose_snapshot(
        *vm.routes, service->self, query.versions.preferred, views);
    if (snapshot == nullptr)
    {
        return;
    }
    if (query.versions.preferred.is_valid())
    {
        checker.version_chosen(vm.self.id,
            vm.topology->versions[query.versions.preferred.index].name, now_);
    }
    query.deadline =
        now_ + (chance(0.15) ? between(2s, 5s) : between(300ms, 900ms));
    query.builder = start_answer(snapshot->sequence, all_shards(*snapshot));
    earn(vm.extra, snapshot->shard_count, now_);
    earn(vm.retries, snapshot->shard_count);
    plan_request wanted;
    wanted.version = query.versions.preferred;
    wanted.shards = all_shards(*snapshot);
    const query_plan plan =
        plan_query(*vm.routes, *snapshot, wanted, views, now_, vm.random);
    for (const shard_miss& miss : plan.missing)
    {
        record_missing(query.builder, {miss.shard}, miss.reason);
    }
    const std::string id = query.id;
    vm.queries[id] = std::move(query);
    submit(vm, vm.queries[id], plan, {}, 1, false);
}

void
world::submit(fuzz_vm& vm, open_query& query, const query_plan& plan,
    const std::vector<target_handle>& tried, unsigned attempt, bool hedge)
{
    std::vector<owned_job> jobs;
    const auto topology = vm.topology;
    for (const shard_batch& batch : plan.batches)
    {
        const catalog_target& row = topology->targets[batch.target.index];
        sub_request sub;
        sub.id = ++next_id_;
        sub.query_id = query.id;
        sub.target = batch.target;
        sub.target_name = row.name;
        sub.service = "desk";
        sub.route = "find";
        sub.version = topology->versions[row.version.index].name;
        sub.snapshot = query.builder.snapshot;
        sub.shards = batch.shards;
        sub.deadline = query.deadline;
        sub.worth = 1.0 + static_cast<double>(next_id_ % 3);
        if (!register_sub_request(query.builder, sub))
        {
            continue;
        }
        in_flight_request open;
        open.target = batch.target;
        open.tried = tried;
        open.tried.push_back(batch.target);
        open.attempt = attempt;
        open.hedged = hedge;
        open.sent = now_;
        query.open[sub.id] = open;
        ++vm.in_flight[batch.target.index];
        jobs.push_back({sub, vm.self.id, vm.self.incarnation, "", {}});
    }
    for (const owned_job& job : jobs)
    {
        dispatch(vm, job);
    }
}

void
world::dispatch(fuzz_vm& vm, const owned_job& job)
{
    const catalog_target& row = vm.topology->targets[job.request.target.index];
    const std::string& zone = vm.topology->zones[row.zone.index].name;
    std::vector<vm_ref> members;
    if (zone == vm.self.zone)
    {
        members = vm.ownership.members();
    }
    else
    {
        for (const known_vm& other : known_vms(vm.members))
        {
            if (other.identity.zone == zone &&
                other.presence == vm_presence::live &&
                other.digest.state == serving_state::serving)
            {
                members.push_back(
                    {other.identity.id, other.identity.incarnation});
            }
        }
    }
    const auto owner = owner_of(row.name, members);
    if (!owner)
    {
        schedule_on_vm(vm.self.id, vm.self.incarnation, 0us,
            [this, id = job.request.id](fuzz_vm& entry)
            {
                sub_reply reply;
                reply.id = id;
                reply.error = miss_reason::owner_unknown;
                on_sub_reply(entry, std::move(reply));
            });
    }
    else if (members[*owner].id == vm.self.id)
    {
        schedule_on_vm(vm.self.id, vm.self.incarnation, 0us,
            [this, job](fuzz_vm& owner_vm) { accept(owner_vm, job); });
    }
    else
    {
        transmit(vm, members[*owner].id,
            [this, job](fuzz_vm& owner_vm) { accept(owner_vm, job); });
    }
}

void
world::on_sub_reply(fuzz_vm& vm, sub_reply reply)
{
    if (on_write_reply(vm, reply))
    {
        return;
    }
    const auto at = std::find_if(vm.queries.begin(), vm.queries.end(),
        [&](const auto& q) { return q.second.open.count(reply.id) > 0; });
    // Some replies are also merged into other queries, which must ignore them.
    for (auto& [id, other] : vm.queries)
    {
        if (other.open.count(reply.id) == 0 && chance(0.1))
        {
            (void)merge(other.builder, reply);
        }
    }
    if (at == vm.queries.end())
    {
        return;
    }
    open_query& query = at->second;
    const in_flight_request sent = query.open[reply.id];
    query.open.erase(reply.id);
    --vm.in_flight[sent.target.index];
    const duration elapsed = now_ - sent.sent;
    const run_state run = reply.run;
    observe(vm, sent, reply);
    const merge_result merged = merge(query.builder, std::move(reply));
    if (merged.error == miss_reason::none)
    {
        record(vm.latency[sent.target.index], elapsed, now_);
        record(vm.route_latency, elapsed, now_);
        return;
    }
    if (merged.error == miss_reason::shed)
    {
        record_shed(vm.extra, now_);
    }
    record_at_least(vm.latency[sent.target.index], elapsed, now_);
    retry(vm, query, sent, merged.failed, run);
}

void
world::retry(fuzz_vm& vm, open_query& query, const in_flight_request& failed,
    const std::vector<shard_id>& shards, run_state run)
{
    const catalog_service* service = find_service(*vm.topology, "desk");
    const snapshot_index* snapshot =
        find_snapshot(*vm.routes, service->self, query.builder.snapshot);
    if (snapshot == nullptr || shards.empty() || now_ >= query.deadline ||
        failed.attempt >= max_attempts ||
        !spend_retry(vm.extra, vm.retries, run, shards.size()))
    {
        return;
    }
    plan_request wanted;
    wanted.version = query.versions.preferred;
    wanted.shards = shards;
    wanted.tried = failed.tried;
    submit(vm, query,
        plan_query(*vm.routes, *snapshot, wanted, views_of(vm, query.versions),
            now_, vm.random),
        failed.tried, failed.attempt + 1, false);
}

void
world::send_hedges(fuzz_vm& vm, open_query& query)
{
    const catalog_service* service = find_service(*vm.topology, "desk");
    const snapshot_index* snapshot =
        find_snapshot(*vm.routes, service->self, query.builder.snapshot);
    const duration delay = hedge_delay(vm.route_latency);
    std::vector<std::pair<in_flight_request, std::vector<shard_id>>> due;
    for (auto& [id, batch] : query.open)
    {
        const auto open = query.builder.open.find(id);
        if (snapshot == nullptr || batch.hedged || now_ < batch.sent + delay ||
            open == query.builder.open.end())
        {
            continue;
        }
        const auto shards = unanswered(query.builder, open->second.shards);
        if (!shards.empty() && spend(vm.extra, shards.size()))
        {
            batch.hedged = true;
            due.emplace_back(batch, shards);
        }
    }
    for (const auto& [batch, shards] : due)
    {
        plan_request wanted;
        wanted.version = query.versions.preferred;
        wanted.shards = shards;
        wanted.tried = batch.tried;
        submit(vm, query,
            plan_query(*vm.routes, *snapshot, wanted,
                views_of(vm, query.versions), now_, vm.random),
            batch.tried, batch.attempt, true);
    }
}

void
world::finish_queries(fuzz_vm& vm)
{
    for (auto it = vm.queries.begin(); it != vm.queries.end();)
    {
        open_query& query = it->second;
        const bool expired = now_ >= query.deadline;
        if (!expired && !is_complete(query.builder) &&
            !is_settled(query.builder))
        {
            send_hedges(vm, query);
            ++it;
            continue;
        }
        if (expired)
        {
            close_answer(query.builder);
        }
        deliver_answer(query);
        for (const auto& [id, batch] : query.open)
        {
            --vm.in_flight[batch.target.index];
        }
        it = vm.queries.erase(it);
    }
}

void
world::deliver_answer(open_query& query)
{
    const coverage covered = coverage_of(query.builder);
    caller_answer answer;
    answer.query = query.id;
    answer.snapshot = query.builder.snapshot;
    answer.asked = covered.asked;
    answer.answered = covered.answered;
    for (const missing_shard& missing : covered.missing)
    {
        answer.missing.push_back(missing.shard);
        answer.missing_without_reason +=
            missing.reason == miss_reason::none ? 1 : 0;
    }
    if (fault_ == breakage::counts_every_reply)
    {
        answer.answered = answer.asked;
        answer.missing.clear();
    }
    for (const nlohmann::json& row : take_rows(query.builder))
    {
        answer.rows.push_back(row.get<std::string>());
    }
    checker.caller_answered(answer, now_);
}

} // namespace bramleymux::fuzz
