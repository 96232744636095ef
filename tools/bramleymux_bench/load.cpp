#include "bramleymux_bench/load.hpp"

#include "bramleymux_bench/fleet_access.hpp"

#include <nlohmann/json.hpp>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

/// Time beyond a request's deadline that the caller waits for a reply.
constexpr auto reply_grace = std::chrono::milliseconds(1000);
constexpr auto readiness_poll_period = std::chrono::milliseconds(50);
constexpr auto readiness_timeout = std::chrono::milliseconds(500);
// A caller retries on another VM if one refuses the connection or is stopping.
constexpr int max_attempts = 3;

std::vector<double>
rates_of(const bench_shape& shape)
{
    std::vector<double> out;
    for (const bench_service& service : shape.services)
    {
        out.push_back(service.queries_per_s);
    }
    return out;
}

double
milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

call_outcome
outcome_of(http_errc error)
{
    if (!may_have_reached_server(error))
    {
        return call_outcome::unreachable;
    }
    return error == http_errc::timeout ? call_outcome::timed_out
                                       : call_outcome::interrupted;
}

/// Selects `share` of the requests, spread over the schedule. Depends on the
/// index alone, so that all runs of a schedule select the same requests.
bool
is_record_request(std::size_t index, double share)
{
    return static_cast<double>(index * 7919 % 1000) < share * 1000;
}

} // namespace

caller_load::caller_load(load_options options)
    : options_(std::move(options)),
      schedule_(make_schedule(
          rates_of(*options_.shape), options_.length, options_.seed)),
      samples_(schedule_.size()), vms_(options_.shape->vms.size())
{
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        vms_[i].pool = std::make_unique<connection_pool>(
            *parse_http_address(options_.shape->vms[i].caller_address()),
            options_.connections);
    }
}

caller_load::~caller_load()
{
    stop_sending();
    finish();
}

void
caller_load::start()
{
    for (vm_state& vm : vms_)
    {
        vm.pool->warm(options_.connections / 2,
            monotonic_clock::now() + std::chrono::seconds(1));
    }
    begin_ = monotonic_clock::now() + std::chrono::milliseconds(50);
    balancer_ = std::thread([this] { run_balancer(); });
    for (std::size_t i = 0; i < options_.workers; ++i)
    {
        workers_.emplace_back([this] { run_worker(); });
    }
}

void
caller_load::stop_sending()
{
    stopping_ = true;
}

std::vector<call_sample>
caller_load::finish()
{
    for (std::thread& worker : workers_)
    {
        worker.join();
    }
    workers_.clear();
    load_ended_ = true;
    if (balancer_.joinable())
    {
        balancer_.join();
    }
    std::vector<call_sample> out;
    for (call_sample& sample : samples_)
    {
        if (sample.latency_ms > 0)
        {
            out.push_back(std::move(sample));
        }
    }
    samples_.clear();
    return out;
}

double
caller_load::elapsed_s() const
{
    return milliseconds(monotonic_clock::now() - begin_) / 1000;
}

void
caller_load::run_worker()
{
    for (;;)
    {
        const std::size_t index = next_.fetch_add(1);
        if (index >= schedule_.size())
        {
            return;
        }
        std::this_thread::sleep_until(begin_ + schedule_[index].at);
        if (stopping_)
        {
            return;
        }
        samples_[index] = send(index);
    }
}

/// Polls the readiness of all VMs, as a load balancer of callers does; this is
/// how callers avoid a VM that is stopping.
void
caller_load::run_balancer()
{
    while (!load_ended_)
    {
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            vms_[i].ready = get_status(options_.shape->vms[i].caller_address(),
                                "/readyz", readiness_timeout) == 200;
        }
        std::this_thread::sleep_for(readiness_poll_period);
    }
}

std::size_t
caller_load::pick_vm(std::size_t first_choice) const
{
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        const std::size_t vm = (first_choice + i) % vms_.size();
        if (vms_[vm].ready)
        {
            return vm;
        }
    }
    return first_choice % vms_.size();
}

http_request
caller_load::make_request(
    const arrival& a, std::size_t index, call_sample& out) const
{
    const bench_service& service = options_.shape->services[a.kind];
    out.service = a.kind;
    out.record = service.name != wide_service &&
                 is_record_request(index, options_.record_share);
    const std::string route = out.record       ? "record"
                              : index % 2 == 0 ? "history"
                                               : "lineage";
    out.worth = service.worth *
                (route == "lineage" ? options_.shape->lineage_worth : 1);
    http_request request;
    request.method = "POST";
    request.path = "/v1/services/" + service.name + "/routes/" + route;
    request.headers = {{"Content-Type", "application/json"},
        {"X-Deadline-Ms", std::to_string(options_.deadline.count())}};
    if (out.record)
    {
        out.key = options_.key_prefix + std::to_string(index);
        request.headers.emplace_back("Idempotency-Key", out.key);
    }
    request.body = json{{"text", "query " + std::to_string(index)},
        {"entry",
            out.key}}.dump();
    return request;
}

call_sample
caller_load::send(std::size_t index)
{
    const arrival& a = schedule_[index];
    const monotonic_time scheduled_at = begin_ + a.at;
    call_sample out;
    out.at_s = milliseconds(a.at) / 1000;
    const http_request request = make_request(a, index, out);
    out.late_ms = milliseconds(monotonic_clock::now() - scheduled_at);
    json body;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        const auto reply_deadline =
            monotonic_clock::now() + options_.deadline + reply_grace;
        const std::size_t vm =
            pick_vm(index + static_cast<std::size_t>(attempt));
        const auto reply = vms_[vm].pool->request(request, reply_deadline);
        if (!reply)
        {
            out.outcome = outcome_of(reply.error());
            out.code = to_string(reply.error());
        }
        else
        {
            body = read_reply(reply.value(), out);
        }
        if (out.outcome != call_outcome::unreachable &&
            !(out.outcome == call_outcome::refused && out.code == "stopping"))
        {
            break;
        }
    }
    out.latency_ms = milliseconds(monotonic_clock::now() - scheduled_at);
    if (out.outcome == call_outcome::answered)
    {
        const auto scope =
            out.record ? answer_scope::one_shard : answer_scope::every_shard;
        out.answer = check_answer(body, options_.shape->services[a.kind].name,
            options_.rows[a.kind], scope);
    }
    return out;
}

json
caller_load::read_reply(const http_response& reply, call_sample& out)
{
    json body = json::parse(reply.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
    {
        out.outcome = call_outcome::failed;
        out.code = "unparsable";
        return nullptr;
    }
    if (reply.status == 200)
    {
        out.outcome = call_outcome::answered;
        return body;
    }
    out.outcome = body.value("run", std::string()) == "not_run"
                      ? call_outcome::refused
                      : call_outcome::failed;
    out.code = body.value("code", std::to_string(reply.status));
    return nullptr;
}

} // namespace bramleymux::tools
