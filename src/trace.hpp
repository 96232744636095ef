#pragma once

#include <bramleymux/types.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Spans of each hop, exported as OTLP/JSON. W3C trace context on the wire.
namespace bramleymux
{

struct trace_context
{
    std::string trace_id; ///< 32 lower-case hex digits
    std::string span_id;  ///< 16 lower-case hex digits
    bool sampled = false;
};

/// False for a malformed `traceparent` header.
bool
parse_traceparent(const std::string& header, trace_context& out);

std::string
to_traceparent(const trace_context& context);

/// A new root context, or a child of `parent` when it has a trace id.
trace_context
new_context(const trace_context& parent, std::uint64_t random_high,
    std::uint64_t random_low, std::uint64_t random_span);

enum class span_kind
{
    server,
    client,
    internal,
    count
};

struct span
{
    trace_context context;
    std::string parent_span_id;
    std::string name;
    span_kind kind = span_kind::internal;
    wall_time start;
    wall_time end;
    std::vector<std::pair<std::string, std::string>> attributes;
    bool failed = false;
};

/// One OTLP/JSON export request with all spans.
std::string
to_otlp_json(const std::string& vm_id, const std::string& zone,
    const std::vector<span>& spans);

/// Receives one export request.
using span_exporter = std::function<void(const std::string& otlp_json)>;

/// Collects sampled spans and exports them from its own thread. Bounded:
/// spans above `config::max_pending_spans` are dropped and counted.
class tracer
{
public:
    tracer(std::string vm_id, std::string zone, double sample,
        span_exporter exporter);
    ~tracer();

    tracer(const tracer&) = delete;
    tracer&
    operator=(const tracer&) = delete;

    /// Context of a request: continues `traceparent` or starts a trace that is
    /// sampled with the configured share.
    trace_context
    start(const std::string& traceparent);

    /// Child context for the next hop.
    trace_context
    child(const trace_context& parent);

    void
    record(span value);

    std::uint64_t
    dropped() const;

private:
    void
    run();

    std::string vm_id_;
    std::string zone_;
    double sample_;
    span_exporter exporter_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<span> pending_;
    std::uint64_t dropped_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace bramleymux
