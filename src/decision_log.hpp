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

/// Structured log of decisions: one JSON object a line on standard output.
namespace bramleymux
{

/// Never blocks: lines above the rate of their event, and lines that a full
/// pipe does not take, are dropped and counted.
class decision_log
{
public:
    /// `descriptor` is written without blocking.
    decision_log(std::string vm_id, int descriptor);
    ~decision_log();

    decision_log(const decision_log&) = delete;
    decision_log&
    operator=(const decision_log&) = delete;

    /// Whether a line of the event would be written now. Lets callers skip the
    /// work of collecting fields.
    bool
    admits(event what, monotonic_time now);

    /// Writes a line after `admits`.
    void
    write(event what, const nlohmann::ordered_json& fields);

    /// Writes the number of dropped lines, if any, once a second.
    void
    tick(monotonic_time now);

    std::uint64_t
    dropped() const;

private:
    struct allowance
    {
        double tokens = 0;
        monotonic_time refilled_at{};
    };

    std::string vm_id_;
    std::unique_ptr<spdlog::logger> logger_;
    int descriptor_;
    std::uint64_t dropped_by_rate_ = 0;
    std::uint64_t reported_ = 0;
    std::shared_ptr<std::uint64_t> dropped_by_pipe_;
    monotonic_time reported_at_{};
    std::array<allowance, static_cast<std::size_t>(event::count)> allowances_{};
};

} // namespace bramleymux
