#include "config/memory.hpp"
#include "entry_server_state.hpp"

#include <boost/asio/post.hpp>

/// Limits of an entry_server on the memory and connections of its callers, and
/// the ends of connections.
namespace bramleymux
{

void
entry_server::set_memory_limits(const memory_limits& limits)
{
    memory_->limit = limits.caller_bytes;
    max_connections_ = limits.max_connections;
    read_rate_ = limits.read_rate;
}

connection_resources
entry_server::make_resources()
{
    // Posted: the connection that exceeds the limit is in the middle of a
    // change when it reports it.
    return {memory_, read_rate_,
        [this]
        {
            if (!relief_posted_ && monotonic_clock::now() >= next_relief_at_)
            {
                relief_posted_ = true;
                boost::asio::post(context_.loop,
                    [this]
                    {
                        relief_posted_ = false;
                        relieve_memory();
                    });
            }
        }};
}

std::vector<std::shared_ptr<caller_connection>>
entry_server::open_callers() const
{
    std::vector<std::shared_ptr<caller_connection>> out;
    for (const open_connection& open : connections_)
    {
        if (open.of_caller && open.connection->is_open())
        {
            out.push_back(open.connection);
        }
    }
    return out;
}

void
entry_server::relieve_memory()
{
    const std::size_t excess = excess_bytes(*memory_);
    if (excess == 0)
    {
        return;
    }
    const monotonic_time now = monotonic_clock::now();
    const auto callers = open_callers();
    std::vector<memory_holder> holders;
    holders.reserve(callers.size());
    for (const auto& caller : callers)
    {
        holders.push_back(caller->usage(now));
    }
    const auto chosen = choose_evictions(
        holders, excess, memory_->limit / config::address_memory_divisor);
    if (chosen.empty())
    {
        // Nothing can be closed now. Each byte received would ask again.
        next_relief_at_ = now + config::relief_retry_delay;
    }
    if (context_.log.try_admit(event::memory_full, now))
    {
        context_.log.write(event::memory_full,
            {{"held", memory_->held}, {"replies", memory_->replies},
                {"limit", memory_->limit}, {"callers", callers.size()},
                {"evicted", chosen.size()}});
    }
    for (const std::size_t i : chosen)
    {
        callers[i]->evict();
    }
}

bool
entry_server::has_memory_for(const caller_message& message)
{
    if (excess_bytes(*memory_) > 0)
    {
        relieve_memory();
    }
    return excess_bytes(*memory_) == 0 ||
           message.body.size() <= config::small_request_bytes;
}

bool
entry_server::has_room_for_caller()
{
    if (max_connections_ == 0)
    {
        return true;
    }
    const auto callers = open_callers();
    if (callers.size() < max_connections_)
    {
        return true;
    }
    const monotonic_time now = monotonic_clock::now();
    std::vector<memory_holder> holders;
    holders.reserve(callers.size());
    for (const auto& caller : callers)
    {
        holders.push_back(caller->usage(now));
    }
    const auto chosen = choose_idle(holders);
    if (chosen)
    {
        callers[*chosen]->free_descriptor();
    }
    const bool freed = chosen && !callers[*chosen]->is_open();
    if (!freed)
    {
        context_.counters.add(counter::connections_refused);
    }
    if (context_.log.try_admit(event::connections_full, now))
    {
        context_.log.write(event::connections_full,
            {{"open", callers.size()}, {"limit", max_connections_},
                {"refused", !freed}});
    }
    return freed;
}

void
entry_server::on_connection_end(const connection_end& end,
    std::string_view listener_name, std::uint64_t opened_version)
{
    if (end.cause == close_cause::evicted ||
        end.cause == close_cause::write_timeout)
    {
        record_eviction(listener_name,
            close_cause_names[static_cast<std::size_t>(end.cause)],
            end.unsent_bytes);
    }
    const bool by_caller = end.cause == close_cause::caller_closed ||
                           end.cause == close_cause::caller_asked ||
                           end.cause == close_cause::input_refused;
    const bool unanswered =
        end.dropped_bytes > 0 || end.unsent_bytes > 0 || end.handling;
    if (by_caller || !unanswered)
    {
        return;
    }
    context_.counters.add(counter::requests_dropped);
    if (!context_.log.try_admit(event::request_dropped, monotonic_clock::now()))
    {
        return;
    }
    context_.log.write(event::request_dropped,
        {{"listener", listener_name},
            {"cause", close_cause_names[static_cast<std::size_t>(end.cause)]},
            {"dropped_bytes", end.dropped_bytes},
            {"unsent_bytes", end.unsent_bytes}, {"handling", end.handling},
            {"idle_timeout_ms", to_milliseconds(end.idle_timeout)},
            {"opened_version", opened_version},
            {"config_version", state_ ? state_->version : 0}});
}

void
entry_server::record_eviction(
    std::string_view listener_name, std::string_view cause, std::size_t bytes)
{
    context_.counters.add(counter::callers_evicted);
    if (context_.log.try_admit(event::caller_evicted, monotonic_clock::now()))
    {
        context_.log.write(event::caller_evicted,
            {{"listener", listener_name}, {"cause", cause}, {"bytes", bytes},
                {"held", memory_->held}, {"limit", memory_->limit}});
    }
}

void
entry_server::update_memory_gauges()
{
    context_.counters.set(
        counter::memory_held_bytes, memory_->held + memory_->replies);
    context_.counters.set(counter::caller_connections, open_callers().size());
}

} // namespace bramleymux
