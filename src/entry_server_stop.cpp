#include "config.hpp"
#include "entry_server_state.hpp"
#include "gather_job.hpp"

/// Maintenance and the graceful stop of an entry_server.
namespace bramleymux
{

using boost::asio::ip::tcp;
using boost::system::error_code;

bool
entry_server::accept_waiting()
{
    bool any = false;
    for (const auto& l : listeners_)
    {
        error_code error;
        l->acceptor.non_blocking(true, error);
        while (true)
        {
            tcp::socket socket = l->acceptor.accept(error);
            if (error)
            {
                break;
            }
            any = true;
            on_accept(*l, std::move(socket));
        }
    }
    return any;
}

void
entry_server::stop(std::function<void()> done)
{
    if (stopping_)
    {
        return;
    }
    stopping_ = true;
    stop_started_at_ = monotonic_clock::now();
    on_stopped_ = std::move(done);
    update_readiness();
    for (const open_connection& open : connections_)
    {
        open.connection->disable_keep_alive();
    }
    for (const auto& weak : queries_)
    {
        if (const auto query = weak.lock())
        {
            query->end_by(exit_at());
        }
    }
}

void
entry_server::tick()
{
    const monotonic_time now = monotonic_clock::now();
    if (!planned_listeners_.empty() && now >= next_listen_at_)
    {
        open_planned_listeners();
    }
    update_cut_off();
    update_readiness();
    for (auto it = jobs_.begin(); it != jobs_.end();)
    {
        it = it->second->is_finished() ? jobs_.erase(it) : std::next(it);
    }
    const bool closing =
        stopping_ && now - stop_started_at_ > times_.close_idle_after;
    // With a short grace time, a new connection gets as much time for its first
    // request as that request gets until the exit.
    const auto idle_timeout = std::min<duration>(config::stop_idle_timeout,
        (times_.exit_after - times_.close_idle_after) / 2);
    relieve_memory();
    update_memory_gauges();
    bool busy = false;
    for (auto it = connections_.begin(); it != connections_.end();)
    {
        const auto connection = it->connection;
        if (!connection->is_open())
        {
            it = connections_.erase(it);
            continue;
        }
        if (closing)
        {
            connection->close_when_idle(idle_timeout);
        }
        connection->tick(now);
        busy = busy || connection->is_open();
        ++it;
    }
    queries_.remove_if([](const std::weak_ptr<entry_query>& query)
        { return query.expired(); });
    if (closing && on_stopped_)
    {
        end_stop_if_due(now, busy);
    }
}

monotonic_time
entry_server::exit_at() const
{
    return stop_started_at_ + times_.exit_after;
}

/// Whether a request to the route would be answered before the process exits.
bool
entry_server::can_finish(const route_rule& route) const
{
    return monotonic_clock::now() +
               completion_time(context_.routes[route.name], route) <=
           exit_at();
}

/// Ends the stop when no connection is open, or when the process must exit.
void
entry_server::end_stop_if_due(monotonic_time now, bool busy)
{
    // The exit of the process resets the connections in the listen backlog.
    const bool any_waiting = accept_waiting();
    const bool must_exit = now > exit_at();
    if (must_exit)
    {
        answer_all();
    }
    if (must_exit || (!busy && !any_waiting))
    {
        const auto done = std::move(on_stopped_);
        on_stopped_ = nullptr;
        done();
    }
}

/// Answers the running requests, and refuses those that have arrived but were
/// not read yet.
void
entry_server::answer_all()
{
    for (const open_connection& open : connections_)
    {
        open.connection->receive();
    }
    for (const auto& weak : queries_)
    {
        if (const auto query = weak.lock())
        {
            query->answer_now();
        }
    }
    // Orders and polls of other VMs.
    for (const open_connection& open : connections_)
    {
        open.connection->answer(
            make_entry_problem(problem_code::outcome_unknown,
                run_state::unknown, "this VM exits", context_.random));
    }
}

} // namespace bramleymux
