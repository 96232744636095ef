#include "target_executor.hpp"

#include "log_events.hpp"

#include <algorithm>
#include <utility>

namespace bramleymux
{

namespace
{

constexpr auto no_lease = monotonic_time::min();

sub_reply
make_refusal(std::uint64_t id, miss_reason reason)
{
    sub_reply reply;
    reply.id = id;
    reply.error = reason;
    reply.run = run_state::not_run;
    return reply;
}

/// Logs the transitions to cold and to unreachable since the given previous
/// values.
void
log_changes(const owned_target_state& state, const std::string& name,
    std::uint64_t previous_falls, bool was_unreachable)
{
    if (state.cold_falls != previous_falls)
    {
        log_event(event::target_cold, "target=" + name);
    }
    if (is_unreachable(state) && !was_unreachable)
    {
        log_event(event::target_unreachable, "target=" + name);
    }
}

} // namespace

target_executor::target_executor(
    target_api& api, ownership_gate gate, executor_options options)
    : api_(api), gate_(std::move(gate)), options_(std::move(options)),
      pool_(options_.max_threads)
{
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        shards_[i].random.seed(options_.seed + i);
    }
}

target_executor::~target_executor()
{
    drain();
    std::unique_lock<std::mutex> lock(idle_mutex_);
    idle_changed_.wait(lock, [&] { return unanswered_ == 0; });
}

void
target_executor::set_catalog(const std::shared_ptr<const catalog>& value)
{
    {
        const std::lock_guard<std::mutex> lock(catalog_mutex_);
        catalog_ = value;
    }
    for (const catalog_target& row : value->targets)
    {
        if (row.self.is_valid())
        {
            state_shard& shard = shard_of(row.self);
            pending_work out;
            {
                const std::lock_guard<std::mutex> lock(shard.mutex);
                refuse(shard, configure(state_of(shard, row), row), out);
            }
            dispatch(shard, std::move(out));
        }
    }
}

void
target_executor::set_leaving(const std::vector<target_handle>& leaving)
{
    for (state_shard& shard : shards_)
    {
        pending_work out;
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            for (auto& [index, state] : shard.states)
            {
                const bool found = std::find(leaving.begin(), leaving.end(),
                                       target_handle{index}) != leaving.end();
                refuse(shard, bramleymux::set_leaving(state, found), out);
            }
        }
        dispatch(shard, std::move(out));
    }
}

void
target_executor::on_status(target_handle target, target_report& report)
{
    state_shard& shard = shard_of(target);
    pending_work out;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const auto it = shard.states.find(target.index);
        if (it == shard.states.end())
        {
            return;
        }
        owned_target_state& state = it->second;
        const auto falls = state.cold_falls;
        const bool was_unreachable = is_unreachable(state);
        refuse(shard,
            bramleymux::on_status(
                state, report, monotonic_clock::now(), shard.random),
            out);
        report.proven_limit = proven_limit(state);
        log_changes(state, report.target, falls, was_unreachable);
    }
    dispatch(shard, std::move(out));
}

void
target_executor::apply_owner_report(
    target_handle target, const target_report& report)
{
    state_shard& shard = shard_of(target);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto it = shard.states.find(target.index);
    // While this VM is the owner, its own measurements are newer than any
    // report.
    if (it != shard.states.end() &&
        gate_.lease_end(report.target, monotonic_clock::now()) == no_lease)
    {
        bramleymux::apply_owner_report(it->second, report);
    }
}

bool
target_executor::is_probe_due(target_handle target, monotonic_time now) const
{
    const state_shard& shard = shard_of(target);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto it = shard.states.find(target.index);
    return it != shard.states.end() &&
           bramleymux::is_probe_due(it->second, now);
}

void
target_executor::submit(
    std::vector<sub_request> batch, const sub_reply_handler& handler)
{
    const auto now = monotonic_clock::now();
    for (sub_request& request : batch)
    {
        accept(std::move(request), handler, now);
    }
}

void
target_executor::accept(
    sub_request request, const sub_reply_handler& handler, monotonic_time now)
{
    const auto id = request.id;
    const auto c = current_catalog();
    const catalog_target* row = c ? find_target(*c, request.target) : nullptr;
    if (row == nullptr)
    {
        handler(make_refusal(id, miss_reason::no_replica));
        return;
    }
    state_shard& shard = shard_of(row->self);
    pending_work out;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const queue_entry entry{id, request.worth, request.deadline};
        const auto added = shard.jobs.try_emplace(
            id, job{std::move(request), handler, *row, now, {}, false});
        {
            const std::lock_guard<std::mutex> idle(idle_mutex_);
            ++unanswered_;
        }
        if (!added.second)
        {
            out.replies.emplace_back(
                handler, make_refusal(id, miss_reason::failed));
        }
        // Read under the lock: a concurrent `drain` either finds the entry in
        // the queue or has set `draining_` before this check.
        else if (draining_)
        {
            refuse(shard, id, miss_reason::draining, out);
        }
        else if (gate_.lease_end(row->name, now) == no_lease)
        {
            refuse(shard, id, miss_reason::owner_unknown, out);
        }
        else
        {
            refuse(shard, offer(state_of(shard, *row), entry, now), out);
            start_queued(shard, row->name, row->self.index, now, out);
        }
    }
    dispatch(shard, std::move(out));
}

void
target_executor::cancel(std::uint64_t id)
{
    for (state_shard& shard : shards_)
    {
        pending_work out;
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            const auto it = shard.jobs.find(id);
            if (it == shard.jobs.end())
            {
                continue;
            }
            job& item = it->second;
            if (remove_entry(state_of(shard, item.target), id))
            {
                refuse(shard, id, miss_reason::cancelled, out);
            }
            else if (!item.cancelled)
            {
                item.cancelled = true;
                if (!item.wire_id.empty())
                {
                    pool_.post(
                        [this, target = item.target, wire_id = item.wire_id]
                        { api_.cancel(target, wire_id); },
                        true);
                }
            }
        }
        dispatch(shard, std::move(out));
        return;
    }
}

void
target_executor::tick(monotonic_time now)
{
    const auto c = current_catalog();
    for (state_shard& shard : shards_)
    {
        pending_work out;
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            for (auto& [index, state] : shard.states)
            {
                const catalog_target* row =
                    c ? find_target(*c, target_handle{index}) : nullptr;
                if (row == nullptr)
                {
                    refuse(
                        shard, refuse_all(state, miss_reason::no_replica), out);
                }
                else if (!state.queue.empty())
                {
                    start_queued(shard, row->name, index, now, out);
                }
            }
        }
        dispatch(shard, std::move(out));
    }
}

void
target_executor::drain()
{
    draining_ = true;
    for (state_shard& shard : shards_)
    {
        pending_work out;
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            for (auto& [index, state] : shard.states)
            {
                refuse(shard, refuse_all(state, miss_reason::draining), out);
            }
        }
        dispatch(shard, std::move(out));
    }
}

bool
target_executor::wait_idle(monotonic_time until)
{
    std::unique_lock<std::mutex> lock(idle_mutex_);
    return idle_changed_.wait_until(
        lock, until, [&] { return unanswered_ == 0; });
}

std::vector<running_count>
target_executor::running() const
{
    std::vector<running_count> out;
    for (const state_shard& shard : shards_)
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        for (const auto& [index, state] : shard.states)
        {
            if (state.running > 0)
            {
                out.push_back({shard.counts.at(index).name, state.running});
            }
        }
    }
    return out;
}

executor_stats
target_executor::stats() const
{
    executor_stats out;
    for (const state_shard& shard : shards_)
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        for (const auto& [index, state] : shard.states)
        {
            target_stats entry = shard.counts.at(index);
            entry.limit = current_limit(state);
            entry.running = state.running;
            entry.worst_running = state.worst_running;
            entry.cold_start_limit = state.cold_start_limit;
            entry.queued = state.queue.size();
            entry.cold_falls = state.cold_falls;
            entry.unreachable = is_unreachable(state);
            out.targets.push_back(std::move(entry));
        }
    }
    out.threads = pool_.threads();
    return out;
}

target_executor::state_shard&
target_executor::shard_of(target_handle target)
{
    return shards_[target.index % shards_.size()];
}

const target_executor::state_shard&
target_executor::shard_of(target_handle target) const
{
    return shards_[target.index % shards_.size()];
}

owned_target_state&
target_executor::state_of(state_shard& shard, const catalog_target& row)
{
    const auto [it, added] = shard.states.try_emplace(row.self.index);
    if (added)
    {
        it->second.policy = options_.policy;
        it->second.baseline_limit = options_.baseline_limit;
        shard.counts[row.self.index].name = row.name;
        configure(it->second, row);
    }
    return it->second;
}

std::shared_ptr<const catalog>
target_executor::current_catalog() const
{
    const std::lock_guard<std::mutex> lock(catalog_mutex_);
    return catalog_;
}

void
target_executor::refuse(
    state_shard& shard, std::uint64_t id, miss_reason reason, pending_work& out)
{
    const auto it = shard.jobs.find(id);
    job& item = it->second;
    ++shard.counts[item.target.self.index].refused;
    sub_reply reply = make_refusal(id, reason);
    reply.queue_time = monotonic_clock::now() - item.submitted;
    out.replies.emplace_back(std::move(item.handler), std::move(reply));
    shard.jobs.erase(it);
}

void
target_executor::refuse(
    state_shard& shard, const queue_refusals& refused, pending_work& out)
{
    for (const queue_refusal& entry : refused)
    {
        refuse(shard, entry.key, entry.reason, out);
    }
}

void
target_executor::start_queued(state_shard& shard, const std::string& name,
    std::uint16_t target, monotonic_time now, pending_work& out)
{
    owned_target_state& state = shard.states.at(target);
    if (gate_.lease_end(name, now) == no_lease)
    {
        refuse(shard, refuse_all(state, miss_reason::lease_lapsed), out);
        return;
    }
    const auto foreign = gate_.foreign_running(name, now);
    queue_refusals refused;
    while (const auto entry = start_next(state, foreign, now, refused))
    {
        out.starts.push_back(entry->key);
    }
    refuse(shard, refused, out);
}

/// Delivers replies and posts started jobs to the worker pool. Must be called
/// without a lock held.
void
target_executor::dispatch(state_shard& shard, pending_work&& work)
{
    for (const std::uint64_t id : work.starts)
    {
        pool_.post([this, &shard, id] { run(shard, id); });
    }
    for (auto& [handler, reply] : work.replies)
    {
        handler(std::move(reply));
    }
    if (work.replies.empty())
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(idle_mutex_);
    unanswered_ -= work.replies.size();
    idle_changed_.notify_all();
}

/// Returns true if a started job may still be sent, and sets its wire id and
/// deadline. Otherwise sets the error in `reply`. Requires the shard's lock.
bool
target_executor::prepare_send(state_shard& shard, job& item, monotonic_time now,
    sub_reply& reply, monotonic_time& deadline)
{
    const auto lease = gate_.lease_end(item.target.name, now);
    deadline = std::min(item.request.deadline, lease);
    reply.id = item.request.id;
    reply.queue_time = now - item.submitted;
    if (item.cancelled)
    {
        reply.error = miss_reason::cancelled;
    }
    else if (lease == no_lease)
    {
        reply.error = miss_reason::lease_lapsed;
    }
    else if (deadline <= now)
    {
        reply.error = miss_reason::deadline;
    }
    else
    {
        item.wire_id = options_.vm_id + "-" +
                       std::to_string(options_.incarnation) + "-" +
                       std::to_string(next_wire_id_++);
        ++shard.counts[item.target.self.index].sends;
        return true;
    }
    return false;
}

void
target_executor::run(state_shard& shard, std::uint64_t id)
{
    const auto sent_at = monotonic_clock::now();
    sub_reply reply;
    monotonic_time deadline;
    job* item = nullptr;
    bool send = false;
    {
        // The job may be used without the lock until `finish`: no other code
        // erases a job that has left the queue or modifies its request.
        const std::lock_guard<std::mutex> lock(shard.mutex);
        item = &shard.jobs.at(id);
        send = prepare_send(shard, *item, sent_at, reply, deadline);
    }
    if (send)
    {
        const auto queue_time = reply.queue_time;
        reply =
            api_.execute(item->request, item->target, deadline, item->wire_id);
        reply.id = id;
        reply.queue_time = queue_time;
        reply.target_time = monotonic_clock::now() - sent_at;
    }
    finish(shard, std::move(reply), send);
}

void
target_executor::finish(state_shard& shard, sub_reply reply, bool sent)
{
    pending_work out;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        const auto it = shard.jobs.find(reply.id);
        job& item = it->second;
        const auto now = monotonic_clock::now();
        owned_target_state& state = state_of(shard, item.target);
        const auto falls = state.cold_falls;
        const bool was_unreachable = is_unreachable(state);
        refuse(shard,
            on_reply(state,
                {reply.error, reply.instance, reply.target_time, sent}, now,
                shard.random),
            out);
        log_changes(state, item.target.name, falls, was_unreachable);
        if (!draining_)
        {
            start_queued(
                shard, item.target.name, item.target.self.index, now, out);
        }
        out.replies.emplace_back(std::move(item.handler), std::move(reply));
        shard.jobs.erase(it);
    }
    dispatch(shard, std::move(out));
}

} // namespace bramleymux
