#pragma once

#include <bramleymux/stats.hpp>
#include <bramleymux/types.hpp>

#include <atomic>
#include <memory>
#include <string>

/// Counters and latency histograms of the daemon.
namespace bramleymux
{

enum class latency_kind
{
    query,       ///< caller request to answer
    sub_request, ///< submit to sub-reply, at the entry VM
    target,      ///< send to reply, at the owner
    queue,       ///< wait in front of a target, at the owner
    count
};

inline constexpr name_table<latency_kind> latency_kind_names{
    "query", "sub_request", "target", "queue"};

/// Thread-safe. Counters are atomics; histograms are divided into shards,
/// each under its own lock, and added up when read.
class metrics
{
public:
    metrics();
    ~metrics();

    void
    add(counter c, std::uint64_t n = 1);

    /// For gauges such as `table_version`.
    void
    set(counter c, std::uint64_t value);

    void
    observe(latency_kind kind, duration value);

    stats
    read() const;

    /// Prometheus text exposition.
    std::string
    text() const;

private:
    struct histograms;

    std::array<std::atomic<std::uint64_t>,
        static_cast<std::size_t>(counter::count)>
        counters_{};
    std::unique_ptr<histograms> histograms_;
};

} // namespace bramleymux
