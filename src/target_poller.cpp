#include "target_poller.hpp"

#include "log_events.hpp"

namespace bramleymux
{

namespace
{

// A single failed poll does not make a target unreachable: the status endpoint
// may be slow while the target still serves requests.
constexpr std::uint32_t failures_for_unreachable = 2;
constexpr auto poller_period = std::chrono::milliseconds(20);
constexpr auto warm_timeout = std::chrono::milliseconds(200);

} // namespace

target_poller::target_poller(blackboard& board, target_executor& executor,
    report_controller& reports, target_client& targets, ownership_test owns,
    std::string vm_id, connection_count wanted)
    : board_(board), executor_(executor), reports_(reports), targets_(targets),
      owns_(std::move(owns)), vm_id_(std::move(vm_id)),
      wanted_(std::move(wanted)), states_(config::max_targets)
{
    for (std::size_t i = 0; i < threads_.size(); ++i)
    {
        threads_[i] = std::thread([this, i] { run(i); });
    }
}

target_poller::~target_poller()
{
    stop();
}

void
target_poller::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (std::thread& t : threads_)
    {
        if (t.joinable())
        {
            t.join();
        }
    }
}

bool
target_poller::is_stopping() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return stopping_;
}

void
target_poller::request(target_handle target)
{
    if (target.index < states_.size())
    {
        states_[target.index].urgent = true;
        wake_.notify_all();
    }
}

/// Polls the targets whose handle is `index` modulo the number of threads.
void
target_poller::run(std::size_t index)
{
    while (!is_stopping())
    {
        const auto topology = board_.topology.get();
        const std::size_t count = topology ? topology->targets.size() : 0;
        for (std::size_t i = index; i < count && !is_stopping();
             i += threads_.size())
        {
            const catalog_target& row = topology->targets[i];
            poll_state& state = states_[i];
            if (!row.self.is_valid() || !owns_(row))
            {
                continue;
            }
            const monotonic_time now = monotonic_clock::now();
            const bool urgent = state.urgent.exchange(false);
            if (urgent ||
                (state.next <= now && executor_.is_probe_due(row.self, now)))
            {
                poll(row, state);
                state.next =
                    monotonic_clock::now() + config::status_poll_period;
            }
        }
        std::unique_lock<std::mutex> lock(mutex_);
        wake_.wait_for(lock, poller_period, [this] { return stopping_; });
    }
}

void
target_poller::poll(const catalog_target& row, poll_state& state)
{
    std::optional<target_report> report = targets_.status(row);
    if (report)
    {
        state.failures = 0;
        report->target = row.name;
        report->publisher = vm_id_;
        report->reachable = true;
        executor_.on_status(row.self, *report);
        state.last = *report;
        targets_.warm(row, wanted_(row), monotonic_clock::now() + warm_timeout);
        reports_.publish(row.self, state.last);
        return;
    }
    if (++state.failures != failures_for_unreachable)
    {
        return;
    }
    log_event(event::target_unreachable, "target=" + row.name);
    state.last.target = row.name;
    state.last.publisher = vm_id_;
    state.last.reachable = false;
    state.last.sequence = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    executor_.on_status(row.self, state.last);
    reports_.publish(row.self, state.last);
}

} // namespace bramleymux
