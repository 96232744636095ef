#include "world.hpp"

#include "http_client.hpp"
#include "target_client.hpp"

#include <algorithm>

namespace bramleymux::fuzz
{

namespace
{

constexpr auto no_lease = monotonic_time::min();

bool
is_sent(const owned_job& job)
{
    return !job.wire_id.empty();
}

} // namespace

monotonic_time
world::lease_end(const fuzz_vm& vm, const std::string& target) const
{
    const auto& rows = targets_;
    const auto row = std::find_if(rows.begin(), rows.end(),
        [&](const fake_target& t) { return t.name == target; });
    if (row->zone != vm.self.zone)
    {
        return no_lease;
    }
    if (fault_ == breakage::lease_clock_stops ||
        fault_ == breakage::no_lease_check)
    {
        const auto& members = vm.ownership.members();
        const auto owner = owner_of(target, members);
        const bool owns = owner && members[*owner].id == vm.self.id;
        const monotonic_time end = fault_ == breakage::no_lease_check
                                       ? now_ + config::view_lease
                                       : vm.last_ack + config::view_lease;
        return owns && end > now_ ? end : no_lease;
    }
    return vm.ownership.lease_end_for(target, now_);
}

catalog_target
world::effective_row(const catalog_target& row) const
{
    catalog_target effective = row;
    effective.zone_out = row.zone_out && fault_ != breakage::zone_out_ignored;
    effective.draining = row.draining && fault_ != breakage::drain_ignored;
    return effective;
}

owned_target_state&
world::limits_of(fuzz_vm& vm, const catalog_target& row)
{
    const auto [it, added] = vm.limits.try_emplace(row.self.index);
    if (added)
    {
        (void)configure(it->second, effective_row(row));
    }
    return it->second;
}

void
world::accept(fuzz_vm& vm, owned_job job)
{
    const std::uint16_t index = vm.names.targets.find(job.request.target_name);
    // Peer links deliver each message once; drops the copies of transmit().
    if (!vm.seen_requests.insert({job.entry, job.request.id}).second)
    {
        return;
    }
    if (!vm.topology || index >= vm.topology->targets.size())
    {
        return;
    }
    const catalog_target& row = vm.topology->targets[index];
    const std::uint64_t key = ++next_id_;
    const queue_entry entry{key, job.request.worth, job.request.deadline};
    job.request.target = row.self;
    vm.jobs[key] = std::move(job);
    if (vm.stopping && now_ >= vm.stop_at)
    {
        refuse(vm, key, miss_reason::draining);
        return;
    }
    if (lease_end(vm, row.name) == no_lease)
    {
        refuse(vm, key, miss_reason::owner_unknown);
        return;
    }
    refuse(vm, offer(limits_of(vm, row), entry, now_));
    process_queue(vm, row);
}

void
world::refuse(fuzz_vm& vm, std::uint64_t key, miss_reason reason)
{
    const auto at = vm.jobs.find(key);
    const owned_job job = at->second;
    vm.jobs.erase(at);
    sub_reply reply;
    reply.error = reason;
    reply.run = run_state::not_run;
    reply_to_entry(vm, job, std::move(reply));
}

void
world::refuse(fuzz_vm& vm, const queue_refusals& refused)
{
    for (const queue_refusal& entry : refused)
    {
        refuse(vm, entry.key, entry.reason);
    }
}

void
world::process_queue(fuzz_vm& vm, const catalog_target& row)
{
    owned_target_state& state = limits_of(vm, row);
    if (lease_end(vm, row.name) == no_lease)
    {
        vm.leased_targets.erase(row.name);
        refuse(vm, refuse_all(state, miss_reason::lease_lapsed));
        return;
    }
    vm.leased_targets.insert(row.name);
    const std::uint32_t foreign =
        fault_ == breakage::no_foreign_count
            ? 0
            : vm.ownership.foreign_running(row.name, now_);
    queue_refusals refused;
    while (const auto entry = start_next(state, foreign, now_, refused))
    {
        send_job(vm, entry->key, row);
    }
    refuse(vm, refused);
}

void
world::send_job(fuzz_vm& vm, std::uint64_t key, const catalog_target& row)
{
    owned_job& job = vm.jobs.at(key);
    monotonic_time deadline =
        std::min(job.request.deadline, lease_end(vm, row.name));
    if (fault_ == breakage::deadline_past_lease)
    {
        deadline = job.request.deadline;
    }
    job.wire_id = "w" + std::to_string(key);
    job.sent = now_;
    checker.request_sent(
        {job.wire_id, vm.self.id, row.name, job.request.query_id,
            job.request.snapshot,
            {job.request.shards.begin(), job.request.shards.end()},
            job.request.idempotency_key, job.request.version, deadline},
        now_);
    const wire_request wire{job.wire_id, vm.self.id, vm.self.incarnation, key,
        job.request, deadline - now_};
    schedule(between(200us, 2ms), [this, wire] { on_target_request(wire); });
    schedule_on_vm(vm.self.id, vm.self.incarnation, deadline - now_,
        [this, key](fuzz_vm& owner)
        {
            if (owner.jobs.count(key) == 0)
            {
                return;
            }
            sub_reply reply;
            set_transport_failure(http_errc::timeout, true, reply);
            if (fault_ == breakage::lost_is_not_run)
            {
                reply.run = run_state::not_run;
            }
            finish_job(owner, key, std::move(reply), true);
        });
}

void
world::on_response(
    fuzz_vm& vm, const wire_request& wire, int status, const std::string& body)
{
    if (vm.jobs.count(wire.key) == 0)
    {
        return;
    }
    http_response response;
    response.status = status;
    response.body = body;
    nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && fault_ == breakage::unchecked_id)
    {
        parsed["request_id"] = wire.id;
        response.body = parsed.dump();
    }
    if (parsed.is_object() && fault_ == breakage::unchecked_snapshot)
    {
        parsed["snapshot"] = wire.request.snapshot;
        response.body = parsed.dump();
    }
    sub_reply reply;
    (void)parse_target_response(response, wire.request, wire.id, reply);
    finish_job(vm, wire.key, std::move(reply), true);
}

void
world::finish_job(fuzz_vm& vm, std::uint64_t key, sub_reply reply, bool sent)
{
    const owned_job job = vm.jobs.at(key);
    vm.jobs.erase(key);
    const catalog_target row = vm.topology->targets[job.request.target.index];
    owned_target_state& state = limits_of(vm, row);
    reply_sample sample{reply.error, reply.instance, now_ - job.sent, sent};
    if (!reply.instance.empty())
    {
        checker.target_reported(vm.self.id, row.name, reply.instance, 0);
    }
    if (fault_ == breakage::restart_unnoticed)
    {
        sample.instance.clear();
    }
    if (fault_ == breakage::report_ignored &&
        sample.error == miss_reason::draining)
    {
        sample.error = miss_reason::failed;
    }
    refuse(vm, on_reply(state, sample, now_, vm.random));
    checker.outcome_reported(job.wire_id, reply.run, now_);
    reply_to_entry(vm, job, std::move(reply));
    process_queue(vm, row);
}

void
world::reply_to_entry(fuzz_vm& vm, const owned_job& job, sub_reply reply)
{
    reply.id = job.request.id;
    reply.target_time = is_sent(job) ? now_ - job.sent : duration{};
    const auto deliver = [this, reply](fuzz_vm& entry)
    { on_sub_reply(entry, reply); };
    if (job.entry == vm.self.id)
    {
        schedule_on_vm(job.entry, job.entry_incarnation, 0us, deliver);
        return;
    }
    transmit(vm, job.entry, deliver);
}

} // namespace bramleymux::fuzz
