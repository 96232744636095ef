#include "metrics.hpp"

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <mutex>
#include <sstream>
#include <thread>

namespace bramleymux
{

namespace bh = boost::histogram;

namespace
{

// 40 logarithmic bins cover 100 us to 30 s; each is 37% wider than the last.
constexpr unsigned histogram_bins = 40;
constexpr double histogram_low_seconds = 1e-4;
constexpr double histogram_high_seconds = 30.0;
constexpr std::size_t histogram_shards = 8;

auto
make_latency_histogram()
{
    return bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>(
            histogram_bins, histogram_low_seconds, histogram_high_seconds));
}

using latency_histogram = decltype(make_latency_histogram());

struct histogram_shard
{
    mutable std::mutex mutex;
    latency_histogram values = make_latency_histogram();
    double sum_seconds = 0;
};

prometheus::MetricFamily
counter_family(counter c, double value)
{
    const std::string name(counter_names[static_cast<std::size_t>(c)]);
    const bool gauge =
        c == counter::table_version || c == counter::live_vms ||
        c == counter::lease_held || c == counter::desired_state_version ||
        c == counter::desired_state_age_ms || c == counter::known_targets ||
        c == counter::follows_store;
    prometheus::MetricFamily family;
    family.name = "bramleymux_" + name + (gauge ? "" : "_total");
    family.help = name;
    family.type =
        gauge ? prometheus::MetricType::Gauge : prometheus::MetricType::Counter;
    prometheus::ClientMetric metric;
    if (gauge)
    {
        metric.gauge.value = value;
    }
    else
    {
        metric.counter.value = value;
    }
    family.metric.push_back(metric);
    return family;
}

} // namespace

struct metrics::histograms
{
    using shard_array = std::array<histogram_shard, histogram_shards>;

    std::array<shard_array, static_cast<std::size_t>(latency_kind::count)>
        kinds;

    prometheus::MetricFamily
    family(latency_kind kind) const;
};

prometheus::MetricFamily
metrics::histograms::family(latency_kind kind) const
{
    latency_histogram total = make_latency_histogram();
    double sum = 0;
    for (const histogram_shard& shard : kinds[static_cast<std::size_t>(kind)])
    {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        total += shard.values;
        sum += shard.sum_seconds;
    }
    prometheus::ClientMetric metric;
    auto cumulative = static_cast<std::uint64_t>(total.at(-1));
    for (unsigned i = 0; i < histogram_bins; ++i)
    {
        cumulative += static_cast<std::uint64_t>(total.at(static_cast<int>(i)));
        metric.histogram.bucket.push_back(
            {cumulative, total.axis().bin(static_cast<int>(i)).upper()});
    }
    cumulative +=
        static_cast<std::uint64_t>(total.at(static_cast<int>(histogram_bins)));
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = sum;
    prometheus::MetricFamily family;
    const std::string name(latency_kind_names[static_cast<std::size_t>(kind)]);
    family.name = "bramleymux_" + name + "_seconds";
    family.help = name + " latency";
    family.type = prometheus::MetricType::Histogram;
    family.metric.push_back(std::move(metric));
    return family;
}

metrics::metrics() : histograms_(std::make_unique<histograms>()) {}

metrics::~metrics() = default;

void
metrics::add(counter c, std::uint64_t n)
{
    counters_[static_cast<std::size_t>(c)].fetch_add(
        n, std::memory_order_relaxed);
}

void
metrics::set(counter c, std::uint64_t value)
{
    counters_[static_cast<std::size_t>(c)].store(
        value, std::memory_order_relaxed);
}

void
metrics::observe(latency_kind kind, duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::size_t index =
        std::hash<std::thread::id>{}(std::this_thread::get_id()) %
        histogram_shards;
    histogram_shard& shard =
        histograms_->kinds[static_cast<std::size_t>(kind)][index];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.values(seconds);
    shard.sum_seconds += seconds;
}

stats
metrics::read() const
{
    stats out;
    for (std::size_t i = 0; i < out.values.size(); ++i)
    {
        out.values[i] = counters_[i].load(std::memory_order_relaxed);
    }
    return out;
}

std::string
metrics::text() const
{
    std::vector<prometheus::MetricFamily> families;
    const stats now = read();
    for (std::size_t i = 0; i < now.values.size(); ++i)
    {
        families.push_back(counter_family(
            static_cast<counter>(i), static_cast<double>(now.values[i])));
    }
    for (std::size_t i = 0; i < latency_kind_names.size(); ++i)
    {
        families.push_back(histograms_->family(static_cast<latency_kind>(i)));
    }
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families);
    return out.str();
}

} // namespace bramleymux
