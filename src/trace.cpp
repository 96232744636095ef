#include "trace.hpp"

#include "config.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <random>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t traceparent_size = 55;

std::string
hex(std::uint64_t value)
{
    char out[span_id_digits + 1];
    std::snprintf(
        out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
    return out;
}

/// Whether the text has only lower-case hex digits that are not all zero, as
/// W3C trace context requires of ids.
bool
is_hex_id(const std::string& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos &&
           text.find_first_not_of('0') != std::string::npos;
}

std::mt19937_64&
thread_random()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator;
}

std::string
unix_nanoseconds(wall_time time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
        time.time_since_epoch())
                              .count());
}

json
attribute(const std::string& key, const std::string& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

/// Returns the value of `SpanKind` in the OTLP protocol.
int
otlp_kind(span_kind kind)
{
    switch (kind)
    {
    case span_kind::server:
        return 2;
    case span_kind::client:
        return 3;
    default:
        return 1;
    }
}

json
span_to_json(const span& s)
{
    json attributes = json::array();
    for (const auto& [key, value] : s.attributes)
    {
        attributes.push_back(attribute(key, value));
    }
    json out{{"traceId", s.context.trace_id}, {"spanId", s.context.span_id},
        {"name", s.name}, {"kind", otlp_kind(s.kind)},
        {"startTimeUnixNano", unix_nanoseconds(s.start)},
        {"endTimeUnixNano", unix_nanoseconds(s.end)},
        {"attributes", std::move(attributes)},
        {"status", {{"code", s.failed ? 2 : 1}}}};
    if (!s.parent_span_id.empty())
    {
        out["parentSpanId"] = s.parent_span_id;
    }
    return out;
}

} // namespace

bool
parse_traceparent(const std::string& header, trace_context& out)
{
    if (header.size() != traceparent_size || header[2] != '-' ||
        header[35] != '-' || header[52] != '-' ||
        header.compare(0, 2, "00") != 0)
    {
        return false;
    }
    const std::string trace_id = header.substr(3, trace_id_digits);
    const std::string span_id = header.substr(36, span_id_digits);
    const std::string flags = header.substr(53, 2);
    if (!is_hex_id(trace_id) || !is_hex_id(span_id) ||
        flags.find_first_not_of("0123456789abcdef") != std::string::npos)
    {
        return false;
    }
    out.trace_id = trace_id;
    out.span_id = span_id;
    out.sampled = (std::stoi(flags, nullptr, 16) & 1) != 0;
    return true;
}

std::string
to_traceparent(const trace_context& context)
{
    return "00-" + context.trace_id + "-" + context.span_id +
           (context.sampled ? "-01" : "-00");
}

trace_context
new_context(const trace_context& parent, std::uint64_t random_high,
    std::uint64_t random_low, std::uint64_t random_span)
{
    trace_context out = parent;
    if (out.trace_id.empty())
    {
        out.trace_id = hex(random_high) + hex(random_low | 1U);
    }
    out.span_id = hex(random_span | 1U);
    return out;
}

std::string
to_otlp_json(const std::string& vm_id, const std::string& zone,
    const std::vector<span>& spans)
{
    json items = json::array();
    std::transform(
        spans.begin(), spans.end(), std::back_inserter(items), span_to_json);
    const json resource{
        {"attributes", json::array({attribute("service.name", "bramleymux"),
                           attribute("service.instance.id", vm_id),
                           attribute("cloud.availability_zone", zone)})}};
    const json scope_spans{
        {"scope", {{"name", "bramleymux"}}}, {"spans", std::move(items)}};
    const json resource_spans{
        {"resource", resource}, {"scopeSpans", json::array({scope_spans})}};
    return json{{"resourceSpans", json::array({resource_spans})}}.dump();
}

tracer::tracer(
    std::string vm_id, std::string zone, double sample, span_exporter exporter)
    : vm_id_(std::move(vm_id)), zone_(std::move(zone)), sample_(sample),
      exporter_(std::move(exporter)), thread_([this] { run(); })
{
}

tracer::~tracer()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

trace_context
tracer::start(const std::string& traceparent)
{
    trace_context parent;
    if (!parse_traceparent(traceparent, parent))
    {
        parent = {};
        parent.sampled =
            std::generate_canonical<double, 32>(thread_random()) < sample_;
    }
    return child(parent);
}

trace_context
tracer::child(const trace_context& parent)
{
    std::mt19937_64& random = thread_random();
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    return new_context(parent, high, low, random());
}

void
tracer::record(span value)
{
    if (!value.context.sampled || !exporter_)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pending_.size() >= config::max_pending_spans)
    {
        ++dropped_;
        return;
    }
    pending_.push_back(std::move(value));
}

std::uint64_t
tracer::dropped() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return dropped_;
}

void
tracer::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    for (bool last = false; !last;)
    {
        wake_.wait_for(
            lock, config::span_export_period, [this] { return stopping_; });
        last = stopping_;
        std::vector<span> batch;
        batch.swap(pending_);
        if (batch.empty())
        {
            continue;
        }
        lock.unlock();
        exporter_(to_otlp_json(vm_id_, zone_, batch));
        lock.lock();
    }
}

} // namespace bramleymux
