#pragma once

#include "admission_gate.hpp"
#include "http_server.hpp"
#include "query.hpp"
#include "settings.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

/// The callers' HTTP API: queries, liveness and readiness.
namespace bramleymux
{

/// Runs a request that is not idempotent. Injected so that the server does not
/// depend on the platform.
using write_runner = std::function<query_result(const caller_request&)>;

/// Thread-safe; `handle` runs on the threads of the HTTP server.
class caller_server
{
public:
    caller_server(const settings& values, std::string vm_id,
        std::uint64_t incarnation, query_context context, admission_gate& gate,
        write_runner write);

    /// Answers one request. Blocks until the query is complete.
    server_response
    handle(const server_request& request);

    /// Makes `/readyz` fail from now on and closes each connection after its
    /// response. Requests are still served.
    void
    fail_readiness();

    /// Refuses new requests as not_run and waits for running ones to end.
    /// Returns false if some still run at `until`.
    bool
    drain(monotonic_time until);

    /// Returns true once there are a table and a snapshot of every service, so
    /// that a new VM does not refuse what the others can answer. After
    /// `config::ready_grace` a table and its routes are enough. Returns false
    /// after `fail_readiness`.
    bool
    is_ready() const;

private:
    server_response
    handle_query(const server_request& request, const std::string& service,
        const std::string& route);
    query_result
    run(caller_request& request);
    query_result
    run_admitted(const caller_request& request, bool idempotent);
    server_response
    respond(const caller_request& request, query_result result);
    void
    record_span(
        const caller_request& request, const query_result& result) const;

    settings settings_;
    std::string id_prefix_;
    monotonic_time started_ = monotonic_clock::now();
    query_context context_;
    admission_gate& gate_;
    write_runner write_;
    std::atomic<std::uint64_t> next_query_{1};
    std::atomic<bool> ready_{true};
    std::mutex running_mutex_;
    std::condition_variable idle_;
    std::size_t running_ = 0;
    bool refusing_ = false;
};

} // namespace bramleymux
