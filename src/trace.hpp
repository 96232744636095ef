#pragma once

#include <bramleymux/types.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Distributed tracing: W3C trace context on the wire, and spans of each hop
/// exported as OTLP/JSON.
namespace bramleymux
{

/// Identity of a span, as in a W3C `traceparent` header.
struct trace_context
{
    std::string trace_id; ///< 32 lower-case hex digits
    std::string span_id;  ///< 16 lower-case hex digits
    bool sampled = false;
};

/// Returns false, and leaves `out` unchanged, if a `traceparent` header is
/// malformed.
bool
parse_traceparent(const std::string& header, trace_context& out);

std::string
to_traceparent(const trace_context& context);

/// Returns a child of `parent`, or a root context if `parent` has no trace id.
/// The ids are built from the random numbers.
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

/// Returns one OTLP/JSON export request with all spans.
std::string
to_otlp_json(const std::string& vm_id, const std::string& zone,
    const std::vector<span>& spans);

/// Delivers one export request; called on the tracer's thread.
using span_exporter = std::function<void(const std::string& otlp_json)>;

/// Collects sampled spans and exports them from its own thread. Spans above
/// `config::max_pending_spans` are dropped and counted. Thread-safe.
class tracer
{
public:
    tracer(std::string vm_id, std::string zone, double sample,
        span_exporter exporter);
    /// Exports the pending spans and joins the thread.
    ~tracer();

    tracer(const tracer&) = delete;
    tracer&
    operator=(const tracer&) = delete;

    /// Returns the context of a request: a child of `traceparent`, or a new
    /// trace that is sampled with probability `sample` if the header is missing
    /// or malformed.
    trace_context
    start(const std::string& traceparent);

    /// Returns the child context for the next hop.
    trace_context
    child(const trace_context& parent);

    /// Queues a span for export. Does nothing if the span is not sampled or
    /// there is no exporter.
    void
    record(span value);

    /// Returns the number of spans dropped so far.
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
