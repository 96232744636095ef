#include "dispatcher.hpp"

#include "config.hpp"
#include "log_events.hpp"

#include <utility>

namespace bramleymux
{

using nlohmann::json;

namespace
{

// More than the sub-requests that one VM sends within the longest delay of a
// message, so that a late duplicate is still recognized.
constexpr std::size_t max_sender_history = 4096;

} // namespace

dispatcher::dispatcher(const published<owner_map>& owners,
    sub_request_sink& local, peer_transport& peers, metrics& counters,
    vm_identity self, target_lookup lookup, bool direct)
    : owners_(owners), local_(local), peers_(peers), metrics_(counters),
      self_(std::move(self)), lookup_(std::move(lookup)), direct_(direct)
{
}

std::uint64_t
dispatcher::next_id()
{
    return next_id_.fetch_add(1, std::memory_order_relaxed);
}

void
dispatcher::fail(std::uint64_t id, miss_reason reason, run_state run,
    const sub_reply_handler& handler) const
{
    sub_reply reply;
    reply.id = id;
    reply.error = reason;
    reply.run = run;
    handler(std::move(reply));
}

void
dispatcher::submit(
    std::vector<sub_request> batch, const sub_reply_handler& handler)
{
    if (direct_)
    {
        metrics_.add(counter::sub_requests_local, batch.size());
        local_.submit(std::move(batch), handler);
        return;
    }
    const auto owners = owners_.get();
    std::vector<sub_request> local;
    std::map<vm_handle, std::vector<sub_request>> remote;
    for (sub_request& request : batch)
    {
        const vm_handle owner =
            owners ? owner_of(*owners, request.target) : vm_handle{};
        if (!owner.is_valid())
        {
            fail(request.id, miss_reason::owner_unknown, run_state::not_run,
                handler);
        }
        else if (owner == owners->self)
        {
            local.push_back(std::move(request));
        }
        else
        {
            remote[owner].push_back(std::move(request));
        }
    }
    // Remote batches go first because their round trip takes longer.
    for (auto& [owner, requests] : remote)
    {
        forward(owners->vms[owner.index], requests, handler);
    }
    if (!local.empty())
    {
        metrics_.add(counter::sub_requests_local, local.size());
        local_.submit(std::move(local), handler);
    }
}

void
dispatcher::forward(const vm_identity& owner,
    const std::vector<sub_request>& batch, const sub_reply_handler& handler)
{
    const monotonic_time now = monotonic_clock::now();
    json items = json::array();
    {
        const std::lock_guard<std::mutex> lock(forwarded_mutex_);
        for (const sub_request& request : batch)
        {
            forwarded_[request.id] = {owner, request.deadline, handler};
        }
    }
    for (const sub_request& request : batch)
    {
        items.push_back(to_json(request, now));
    }
    metrics_.add(counter::sub_requests_forwarded, batch.size());
    const peer_message message{peer_message_type::sub_batch, self_.id,
        self_.incarnation, json{{"items", std::move(items)}}};
    if (peers_.send(owner, message))
    {
        return;
    }
    // The message was not sent, so the owner cannot have executed anything.
    // Entries that `on_peer_lost` or `expire` removed meanwhile are skipped.
    for (const sub_request& request : batch)
    {
        bool pending = false;
        {
            const std::lock_guard<std::mutex> lock(forwarded_mutex_);
            pending = forwarded_.erase(request.id) > 0;
        }
        if (pending)
        {
            fail(request.id, miss_reason::owner_unknown, run_state::not_run,
                handler);
        }
    }
}

void
dispatcher::cancel(std::uint64_t id)
{
    vm_identity owner;
    {
        const std::lock_guard<std::mutex> lock(forwarded_mutex_);
        const auto found = forwarded_.find(id);
        if (found != forwarded_.end())
        {
            owner = found->second.owner;
        }
    }
    if (owner.id.empty())
    {
        local_.cancel(id);
        return;
    }
    peers_.send(owner, {peer_message_type::cancel, self_.id, self_.incarnation,
                           json{{"id", id}}});
}

void
dispatcher::on_message(const peer_message& message)
{
    switch (message.type)
    {
    case peer_message_type::sub_batch:
        on_batch(message);
        break;
    case peer_message_type::sub_reply:
        on_reply(message);
        break;
    case peer_message_type::cancel:
        on_cancel(message);
        break;
    default:
        break;
    }
}

bool
dispatcher::record_if_new(const peer_message& message, std::uint64_t remote_id)
{
    sender_history& history = histories_[message.from];
    if (history.incarnation != message.from_incarnation)
    {
        history = {message.from_incarnation, {}, {}};
    }
    if (!history.ids.insert(remote_id).second)
    {
        return false;
    }
    history.arrival_order.push_back(remote_id);
    if (history.arrival_order.size() > max_sender_history)
    {
        history.ids.erase(history.arrival_order.front());
        history.arrival_order.pop_front();
    }
    return true;
}

void
dispatcher::on_batch(const peer_message& message)
{
    const auto items = message.body.find("items");
    if (items == message.body.end() || !items->is_array())
    {
        log_event(event::peer_message_invalid, "type=sub_batch");
        return;
    }
    vm_identity origin;
    origin.id = message.from;
    origin.incarnation = message.from_incarnation;
    const monotonic_time now = monotonic_clock::now();
    std::vector<sub_request> batch;
    std::unordered_map<std::uint64_t, std::uint64_t> remote_ids;
    for (const json& item : *items)
    {
        sub_request request;
        if (!parse_sub_request(item, now, request))
        {
            log_event(event::peer_message_invalid, "type=sub_batch");
            continue;
        }
        request.target = lookup_(request.target_name);
        const std::uint64_t remote_id = request.id;
        const std::lock_guard<std::mutex> lock(received_mutex_);
        if (!record_if_new(message, remote_id))
        {
            continue;
        }
        request.id = next_id();
        remote_ids[request.id] = remote_id;
        received_[{message.from, remote_id}] = request.id;
        batch.push_back(std::move(request));
    }
    metrics_.add(counter::sub_requests_received, batch.size());
    local_.submit(std::move(batch),
        [this, origin, remote_ids = std::move(remote_ids)](sub_reply reply)
        {
            reply.id = remote_ids.at(reply.id);
            {
                const std::lock_guard<std::mutex> lock(received_mutex_);
                received_.erase({origin.id, reply.id});
            }
            peers_.send(origin, {peer_message_type::sub_reply, self_.id,
                                    self_.incarnation, to_json(reply)});
        });
}

void
dispatcher::on_reply(const peer_message& message)
{
    sub_reply reply;
    if (!parse_sub_reply(message.body, reply))
    {
        log_event(event::peer_message_invalid, "type=sub_reply");
        return;
    }
    sub_reply_handler handler;
    {
        const std::lock_guard<std::mutex> lock(forwarded_mutex_);
        const auto found = forwarded_.find(reply.id);
        if (found == forwarded_.end() || found->second.owner.id != message.from)
        {
            return;
        }
        handler = std::move(found->second.handler);
        forwarded_.erase(found);
    }
    handler(std::move(reply));
}

void
dispatcher::on_cancel(const peer_message& message)
{
    const auto id = message.body.find("id");
    if (id == message.body.end() || !id->is_number_unsigned())
    {
        log_event(event::peer_message_invalid, "type=cancel");
        return;
    }
    std::uint64_t local_id = 0;
    {
        const std::lock_guard<std::mutex> lock(received_mutex_);
        const auto found =
            received_.find({message.from, id->get<std::uint64_t>()});
        if (found == received_.end())
        {
            return;
        }
        local_id = found->second;
    }
    local_.cancel(local_id);
}

void
dispatcher::on_peer_lost(const std::string& vm_id)
{
    std::vector<std::pair<std::uint64_t, sub_reply_handler>> lost;
    {
        const std::lock_guard<std::mutex> lock(forwarded_mutex_);
        for (auto it = forwarded_.begin(); it != forwarded_.end();)
        {
            if (it->second.owner.id == vm_id)
            {
                lost.emplace_back(it->first, std::move(it->second.handler));
                it = forwarded_.erase(it);
            }
            else
            {
                ++it;
            }
        }
    }
    for (const auto& [id, handler] : lost)
    {
        fail(id, miss_reason::unreachable, run_state::unknown, handler);
    }
}

void
dispatcher::expire(monotonic_time now)
{
    const std::lock_guard<std::mutex> lock(forwarded_mutex_);
    for (auto it = forwarded_.begin(); it != forwarded_.end();)
    {
        const bool overdue =
            it->second.deadline + config::forwarded_sub_request_grace < now;
        it = overdue ? forwarded_.erase(it) : std::next(it);
    }
}

} // namespace bramleymux
