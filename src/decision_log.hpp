#pragma once

#include "log_events.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog
{
class logger;
}

/// Structured log of decisions: one JSON object per line.
namespace bramleymux
{

/// Returns a duration as a log field shows it.
inline double
to_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// Never blocks. Lines above the rate limit of their event, and lines that do
/// not fit the buffer while the descriptor is full, are dropped and counted.
class decision_log
{
public:
    /// Sets `descriptor` to non-blocking mode. It stays owned by the caller.
    decision_log(std::string vm_id, int descriptor);
    ~decision_log();

    decision_log(const decision_log&) = delete;
    decision_log&
    operator=(const decision_log&) = delete;

    /// Takes one line out of the event's rate limit. Returns false, and counts
    /// a dropped line, when the limit is reached. Call it before `write` and
    /// collect the fields only if it returns true.
    bool
    try_admit(event what, monotonic_time now);

    /// Writes a line. Does not check the rate limit of the event.
    void
    write(event what, const nlohmann::ordered_json& fields);

    /// Logs the number of newly dropped lines, at most once a second.
    void
    tick(monotonic_time now);

    /// Lines dropped since the start.
    std::uint64_t
    dropped() const;

private:
    /// Token bucket of one event.
    struct allowance
    {
        double tokens = 0;
        monotonic_time refilled_at{};
    };

    std::string vm_id_;
    std::unique_ptr<spdlog::logger> logger_;
    int descriptor_;
    std::uint64_t dropped_by_rate_ = 0;
    std::uint64_t reported_drops_ = 0; ///< part of `dropped` already logged
    std::shared_ptr<std::uint64_t> dropped_by_pipe_; ///< shared with the sink
    monotonic_time drops_reported_at_{};
    std::array<allowance, static_cast<std::size_t>(event::count)> allowances_{};
};

} // namespace bramleymux
