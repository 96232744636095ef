#include "decision_log.hpp"

#include "config.hpp"

#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace bramleymux
{

namespace
{

/// Sink over a non-blocking descriptor. Buffers what the descriptor does not
/// accept, so that no line is cut; drops whole lines once the buffer is full.
class nonblocking_sink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    nonblocking_sink(int descriptor, std::shared_ptr<std::uint64_t> dropped)
        : descriptor_(descriptor), dropped_(std::move(dropped))
    {
        set_formatter_(std::make_unique<spdlog::pattern_formatter>(
            "%v", spdlog::pattern_time_type::utc, "\n"));
    }

protected:
    void
    sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        flush_();
        if (pending_.size() + line.size() > config::max_pending_log_bytes)
        {
            ++*dropped_;
            return;
        }
        pending_.append(line.data(), line.size());
        flush_();
    }

    void
    flush_() override
    {
        while (!pending_.empty())
        {
            const ssize_t n =
                ::write(descriptor_, pending_.data(), pending_.size());
            if (n <= 0)
            {
                return;
            }
            pending_.erase(0, static_cast<std::size_t>(n));
        }
    }

private:
    int descriptor_;
    std::shared_ptr<std::uint64_t> dropped_;
    std::string pending_;
};

std::int64_t
unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

constexpr std::array<std::string_view,
    static_cast<std::size_t>(event_level::count)>
    level_names{"info", "warning", "error"};

} // namespace

decision_log::decision_log(std::string vm_id, int descriptor)
    : vm_id_(std::move(vm_id)), descriptor_(descriptor),
      dropped_by_pipe_(std::make_shared<std::uint64_t>(0))
{
    const int flags = ::fcntl(descriptor_, F_GETFL, 0);
    if (flags >= 0)
    {
        static_cast<void>(::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK));
    }
    logger_ = std::make_unique<spdlog::logger>("decisions",
        std::make_shared<nonblocking_sink>(descriptor_, dropped_by_pipe_));
}

decision_log::~decision_log() = default;

bool
decision_log::try_admit(event what, monotonic_time now)
{
    allowance& a = allowances_[static_cast<std::size_t>(what)];
    const std::chrono::duration<double> elapsed = now - a.refilled_at;
    a.refilled_at = now;
    a.tokens = std::min<double>(config::log_lines_burst,
        a.tokens + elapsed.count() * config::log_lines_per_second);
    if (a.tokens < 1.0)
    {
        ++dropped_by_rate_;
        return false;
    }
    a.tokens -= 1.0;
    return true;
}

void
decision_log::write(event what, const nlohmann::ordered_json& fields)
{
    const event_info& info = info_of(what);
    nlohmann::ordered_json line;
    line["ts_ms"] = unix_milliseconds();
    line["event"] = info.number;
    line["name"] = info.name;
    line["level"] = level_names[static_cast<std::size_t>(info.level)];
    line["vm"] = vm_id_;
    line.update(fields);
    logger_->log(spdlog::level::info,
        line.dump(
            -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

void
decision_log::tick(monotonic_time now)
{
    if (dropped() == reported_drops_ ||
        now - drops_reported_at_ < std::chrono::seconds(1))
    {
        return;
    }
    drops_reported_at_ = now;
    write(event::log_lines_dropped, {{"lines", dropped() - reported_drops_}});
    reported_drops_ = dropped();
}

std::uint64_t
decision_log::dropped() const
{
    return dropped_by_rate_ + *dropped_by_pipe_;
}

} // namespace bramleymux
