#pragma once

#include "config/duties.hpp"
#include "duties/duty_lease.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Model of several VMs that share one duty, on a virtual clock, with a fake
/// store that can delay, lose and repeat, and can be restored.
namespace bramleymux::test
{

using namespace std::chrono_literals;

constexpr duration model_step = 20ms;
constexpr duration model_lease = 3s;

/// Content of the store at one time; objects are named by their era.
struct store_copy
{
    duration at{};
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    std::map<std::uint64_t, duty_record> objects;
};

inline duty_reply
read_copy(const store_copy& copy, std::uint64_t name)
{
    const auto found = copy.objects.find(name);
    return found == copy.objects.end()
               ? duty_reply{duty_reply_kind::missing, copy.era, {}}
               : duty_reply{duty_reply_kind::success, copy.era, found->second};
}

inline duty_reply
write_copy(store_copy& store, const duty_action& action)
{
    const duty_reply before = read_copy(store, action.era);
    const std::uint64_t current = before.record ? before.record->revision : 0;
    if (current != action.record.revision)
    {
        return {before.record ? duty_reply_kind::conflict
                              : duty_reply_kind::missing,
            store.era, before.record};
    }
    duty_record& object = store.objects[action.era];
    object = action.record;
    object.revision = ++store.revision;
    return {duty_reply_kind::success, store.era, object};
}

/// One call of a VM to the store.
struct model_call
{
    std::size_t vm = 0;
    std::uint64_t claim = 0;
    duty_action action;
    duration executed_at{};
    duration replied_at{};
    bool executed = false;
    duty_reply reply{};
};

struct model_vm
{
    std::string name;
    duty_lease lease;
    std::size_t rank = 0;
    double clock_rate = 1;
    duration clock_offset{};
    bool alive = true;
    bool cut = false;      ///< no call reaches the store
    bool stopping = false; ///< releases the lease once its last call has ended
    duration acted_at{};   ///< last call to the API
    duration frozen_until{};
    duration sent_at{}; ///< of the call in progress, on the VM's clock
};

/// A call to the platform's API, as the API sees it.
struct model_act
{
    duration at{};
    std::string vm;
    std::uint64_t token = 0;
};

/// How the store treats calls.
struct model_faults
{
    duration call_time = 10ms;
    double lost_requests = 0;
    double lost_replies = 0;
    double late_writes = 0;    ///< executed 1 to 4 s later, without a reply
    duration stale_reads_by{}; ///< age of what a stale read returns
};

struct duty_model
{
    explicit duty_model(std::size_t count, std::uint64_t seed = 1)
        : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            // Clocks differ by up to 1% in rate and by any offset.
            vms.push_back({"vm-" + std::to_string(i), {}, i,
                0.995 + 0.01 * chance(), 1h * (i + 1)});
            start(i);
        }
    }

    double
    chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    duration
    local(const model_vm& vm) const
    {
        return vm.clock_offset +
               std::chrono::duration_cast<duration>(now * vm.clock_rate);
    }

    /// Starts a new process of a VM.
    void
    start(std::size_t i)
    {
        vms[i].alive = true;
        vms[i].stopping = false;
        vms[i].frozen_until = now;
        vms[i].lease =
            make_duty_lease(vms[i].name, ++claims, model_lease, local(vms[i]));
    }

    void
    restore(duration age)
    {
        const auto copy = std::find_if(copies.rbegin(), copies.rend(),
            [&](const store_copy& c) { return c.at <= now - age; });
        const std::uint64_t next_era = store.era + 1;
        store = copy == copies.rend() ? store_copy{} : *copy;
        store.era = next_era;
    }

    void
    run(duration time)
    {
        for (const duration end = now + time; now < end; now += model_step)
        {
            copies.push_back(store);
            copies.back().at = now;
            if (copies.size() > 400)
            {
                copies.pop_front();
            }
            execute_calls();
            for (std::size_t i = 0; i < vms.size(); ++i)
            {
                if (vms[i].alive && now >= vms[i].frozen_until)
                {
                    run_vm(i);
                }
            }
        }
    }

    void
    execute_calls()
    {
        for (model_call& call : calls)
        {
            if (!call.executed && now >= call.executed_at)
            {
                call.executed = true;
                call.reply = execute(call.action);
            }
        }
    }

    duty_reply
    execute(const duty_action& action)
    {
        if (action.kind == duty_action_kind::write)
        {
            return write_copy(store, action);
        }
        if (action.kind == duty_action_kind::read)
        {
            return read_copy(store, action.era);
        }
        const auto seen_at = now - faults.stale_reads_by;
        const auto copy = std::find_if(copies.rbegin(), copies.rend(),
            [&](const store_copy& c) { return c.at <= seen_at; });
        return read_copy(
            copy == copies.rend() ? copies.front() : *copy, action.era);
    }

    void
    run_vm(std::size_t i)
    {
        model_vm& vm = vms[i];
        receive(i);
        const duration at = local(vm);
        if (vm.stopping && now >= vm.acted_at + config::duty_call_timeout)
        {
            request_release(vm.lease);
        }
        const duty_action action = next_action(vm.lease, at, vm.rank);
        if (action.kind != duty_action_kind::none)
        {
            record_sent(vm.lease, at, action);
            vm.sent_at = at;
            send(i, action);
        }
        const auto token = token_for(vm.lease, at, config::duty_call_timeout);
        if (token && !vm.stopping)
        {
            vm.acted_at = now;
            acts.push_back({now, vm.name, *token});
        }
    }

    void
    send(std::size_t i, const duty_action& action)
    {
        constexpr duration never = 10h;
        model_call call{i, vms[i].lease.claim, action};
        call.executed_at = now + faults.call_time / 2;
        call.replied_at = now + faults.call_time;
        if (vms[i].cut || chance() < faults.lost_requests)
        {
            call.executed_at = never;
        }
        else if (action.kind == duty_action_kind::write &&
                 chance() < faults.late_writes)
        {
            call.executed_at = now + 1s + 3000ms * int(chance() * 100) / 100;
        }
        else if (chance() < faults.lost_replies)
        {
            call.replied_at = never;
        }
        calls.push_back(call);
    }

    void
    receive(std::size_t i)
    {
        model_vm& vm = vms[i];
        if (vm.lease.in_progress == duty_action_kind::none)
        {
            return;
        }
        duty_reply reply{};
        bool done = local(vm) - vm.sent_at >= config::duty_store_timeout;
        const auto call = std::find_if(calls.rbegin(), calls.rend(),
            [&](const model_call& c) { return c.claim == vm.lease.claim; });
        if (call->executed && now >= call->replied_at && !vm.cut)
        {
            reply = call->reply;
            done = true;
        }
        if (done)
        {
            vm.lease.in_progress == duty_action_kind::write
                ? record_write_reply(vm.lease, local(vm), reply)
                : record_read(vm.lease, local(vm), reply);
        }
    }

    /// Returns the VM that acted last; empty if none did since `since`.
    std::string
    actor(duration since) const
    {
        return acts.empty() || acts.back().at < since ? std::string()
                                                      : acts.back().vm;
    }

    model_vm&
    vm_of(const std::string& name)
    {
        return *std::find_if(vms.begin(), vms.end(),
            [&](const model_vm& vm) { return vm.name == name; });
    }

    std::mt19937_64 random;
    duration now{};
    std::uint64_t claims = 0;
    model_faults faults;
    store_copy store;
    std::deque<store_copy> copies;
    std::vector<model_vm> vms;
    std::vector<model_call> calls;
    std::vector<model_act> acts;
};

/// Returns the first rule that the calls to the API break; empty if none.
inline std::string
broken_rule(const std::vector<model_act>& acts)
{
    std::map<std::string, duration> last_act;
    std::map<std::uint64_t, std::string> owners;
    std::uint64_t highest = 0;
    duration other_until{}; ///< end of the last call of another VM
    for (std::size_t i = 0; i < acts.size(); ++i)
    {
        const model_act& act = acts[i];
        const bool changed = i > 0 && acts[i - 1].vm != act.vm;
        if (changed)
        {
            other_until = acts[i - 1].at + config::duty_call_timeout;
            const auto before = last_act.find(act.vm);
            if (before != last_act.end() &&
                act.at - before->second < model_lease)
            {
                return "a former holder acts again within a lease";
            }
        }
        if (act.at < other_until)
        {
            return "two VMs act at the same time";
        }
        if (act.token < highest)
        {
            return "the token falls";
        }
        if (owners.emplace(act.token, act.vm).first->second != act.vm)
        {
            return "two VMs use one token";
        }
        highest = act.token;
        last_act[act.vm] = act.at;
    }
    return {};
}

} // namespace bramleymux::test
