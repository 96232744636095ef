#include "world.hpp"

#include <algorithm>

namespace bramleymux::fuzz
{

namespace
{

constexpr std::size_t max_targets_tried = 3;

/// Returns whether the key is that of an idempotency record.
bool
is_record(const std::string& key)
{
    return key.compare(0, 5, "idem/") == 0;
}

} // namespace

platform_result<object>
vm_platform::get(const std::string& key)
{
    if (!reachable)
    {
        return platform_errc::unavailable;
    }
    return shared_.get(key);
}

platform_result<std::uint64_t>
vm_platform::put(
    const std::string& key, const nlohmann::json& value, std::uint64_t expected)
{
    if (!reachable)
    {
        return platform_errc::unavailable;
    }
    const auto stored = shared_.objects.find(key);
    if (fault_ == breakage::unconditional_claim && is_record(key) &&
        stored != shared_.objects.end())
    {
        expected = stored->second.version;
    }
    return shared_.put(key, value, expected);
}

platform_result<void>
vm_platform::remove(const std::string& key, std::uint64_t expected)
{
    if (!reachable)
    {
        return platform_errc::unavailable;
    }
    return shared_.remove(key, expected);
}

platform_result<std::vector<object>>
vm_platform::list(const std::string& prefix)
{
    if (!reachable)
    {
        return platform_errc::unavailable;
    }
    return shared_.list(prefix);
}

platform_result<std::optional<object>>
vm_platform::watch(
    const std::string& key, std::uint64_t after, duration timeout)
{
    if (!reachable)
    {
        return platform_errc::unavailable;
    }
    return shared_.watch(key, after, timeout);
}

platform_result<std::vector<vm_list_entry>>
vm_platform::vms()
{
    return shared_.vms();
}

call_time
world::call_now() const
{
    return {now_, now_.time_since_epoch() / 1ms};
}

void
world::start_write(fuzz_vm& vm, unsigned key)
{
    if (vm.stopping || vm.paused_until > now_ || !vm.topology)
    {
        return;
    }
    platform_.down = now_ < outage_until_;
    vm.platform.reachable = can_reach_platform(vm);
    open_write call;
    call.attempt = "a" + std::to_string(++next_id_);
    call.deadline = now_ + between(200ms, 800ms);
    const std::string name = "k" + std::to_string(key);
    const claim_result result = vm.records.claim_key(
        {"desk", name, call.attempt, "enter " + name}, call_now());
    if (result.outcome == claim_outcome::proceed)
    {
        call.claimed = result.claimed;
        send_write(vm, call);
    }
    else if (result.outcome == claim_outcome::refused_not_run)
    {
        checker.attempt_outcome_reported(
            call.attempt, run_state::not_run, now_);
    }
}

void
world::send_write(fuzz_vm& vm, open_write call)
{
    const catalog_service* service = find_service(*vm.topology, "desk");
    const version_choice versions = versions_of(vm, call.attempt);
    const target_views views = views_of(vm, versions);
    const snapshot_index* snapshot =
        choose_snapshot(*vm.routes, service->self, versions.preferred, views);
    query_plan plan;
    if (snapshot != nullptr && call.tried.size() < max_targets_tried)
    {
        plan_request wanted;
        wanted.version = versions.preferred;
        wanted.shards = {0};
        wanted.tried = call.tried;
        plan =
            plan_query(*vm.routes, *snapshot, wanted, views, now_, vm.random);
    }
    if (plan.batches.empty() || now_ >= call.deadline)
    {
        finish_write(vm, call, run_state::not_run);
        return;
    }
    const target_handle target = plan.batches.front().target;
    const catalog_target& row = vm.topology->targets[target.index];
    sub_request sub;
    sub.id = ++next_id_;
    sub.query_id = call.attempt;
    sub.target = target;
    sub.target_name = row.name;
    sub.service = "desk";
    sub.route = "enter";
    sub.version = vm.topology->versions[row.version.index].name;
    sub.snapshot = snapshot->sequence;
    sub.shards = {0};
    sub.deadline = call.deadline;
    sub.idempotent = false;
    sub.idempotency_key = call.claimed.key;
    call.tried.push_back(target);
    vm.writes[sub.id] = call;
    dispatch(vm, {sub, vm.self.id, vm.self.incarnation, "", {}});
}

/// Retries on another target after a not_run reply only; any other outcome is
/// final. Returns false if the reply belongs to no non-idempotent request.
bool
world::on_write_reply(fuzz_vm& vm, const sub_reply& reply)
{
    const auto at = vm.writes.find(reply.id);
    if (at == vm.writes.end())
    {
        return false;
    }
    const open_write call = at->second;
    vm.writes.erase(at);
    if (reply.run == run_state::not_run)
    {
        send_write(vm, call);
    }
    else
    {
        finish_write(vm, call, reply.run);
    }
    return true;
}

void
world::finish_write(fuzz_vm& vm, const open_write& call, run_state run)
{
    checker.attempt_outcome_reported(call.attempt, run, now_);
    vm.platform.reachable = can_reach_platform(vm);
    if (fault_ == breakage::lost_frees_key && run == run_state::unknown)
    {
        run = run_state::not_run;
    }
    vm.records.complete(
        call.claimed, run, {{"attempt", call.attempt}}, call_now());
}

void
world::expire_writes(fuzz_vm& vm)
{
    std::vector<open_write> expired;
    for (auto it = vm.writes.begin(); it != vm.writes.end();)
    {
        if (now_ >= it->second.deadline)
        {
            expired.push_back(it->second);
            it = vm.writes.erase(it);
        }
        else
        {
            ++it;
        }
    }
    for (const open_write& call : expired)
    {
        finish_write(vm, call, run_state::unknown);
    }
}

} // namespace bramleymux::fuzz
