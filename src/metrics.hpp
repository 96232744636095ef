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
    query,       ///< from the caller's request to the answer
    sub_request, ///< from submit to sub-reply, on the entry VM
    target,      ///< from send to reply, on the owner
    queue,       ///< wait in the target's queue, on the owner
    count
};

inline constexpr name_table<latency_kind> latency_kind_names{
    "query", "sub_request", "target", "queue"};

/// Thread-safe. Counters are atomics. Histograms are split into shards with one
/// lock each, chosen by thread, and merged when read.
class metrics
{
public:
    metrics();
    ~metrics();

    void
    add(counter c, std::uint64_t n = 1);

    /// Sets a gauge such as `table_version`, or a counter whose total is kept
    /// elsewhere, such as `peer_bytes_in`.
    void
    set(counter c, std::uint64_t value);

    void
    observe(latency_kind kind, duration value);

    /// Returns the counters; each is read atomically, not all at one instant.
    stats
    read() const;

    /// Returns all values in the Prometheus text exposition format.
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
