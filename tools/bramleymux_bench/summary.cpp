#include "bramleymux_bench/summary.hpp"

#include "bramleymux_bench/fleet_access.hpp"
#include "common/bench_statistics.hpp"

#include <algorithm>
#include <numeric>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

constexpr std::size_t cdf_size = 200;

/// Returns the increase of a counter between two readings. A value below the
/// earlier one means that the daemon was replaced and counts from 0 again.
double
increase(const json& before, const json& after, const std::string& name)
{
    const double old_value = before.value(name, 0.0);
    const double new_value = after.value(name, 0.0);
    return new_value < old_value ? new_value : new_value - old_value;
}

double
total_vm_increase(const run_data& run, const std::string& name)
{
    double out = 0;
    for (std::size_t i = 0; i < run.after.vms.size(); ++i)
    {
        out += increase(run.before.vms[i], run.after.vms[i], name);
    }
    return out;
}

double
max_vm_increase(const run_data& run, const std::string& name)
{
    double out = 0;
    for (std::size_t i = 0; i < run.after.vms.size(); ++i)
    {
        out =
            std::max(out, increase(run.before.vms[i], run.after.vms[i], name));
    }
    return out;
}

double
target_increase(
    const run_data& run, const std::string& service, const char* name)
{
    double out = 0;
    for (const auto& item : run.after.targets.items())
    {
        if (service.empty() || item.value().at("service") == service)
        {
            out +=
                increase(run.before.targets.value(item.key(), json::object()),
                    item.value(), name);
        }
    }
    return out;
}

/// Returns false for refused requests and callers that reached no VM: they have
/// no service time.
bool
has_latency(const call_sample& s)
{
    return s.outcome != call_outcome::refused &&
           s.outcome != call_outcome::unreachable;
}

template <class Predicate>
std::vector<double>
sorted_latencies(const run_data& run, Predicate predicate)
{
    std::vector<double> out;
    for (const call_sample& s : run.samples)
    {
        if (has_latency(s) && predicate(s))
        {
            out.push_back(s.latency_ms);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

bool
is_wide(const run_data& run, const call_sample& s)
{
    return run.shape->services[s.service].name == wide_service;
}

void
add_latencies(const run_data& run, json& out)
{
    const auto all = sorted_latencies(run, [](const auto&) { return true; });
    out["p50_ms"] = percentile(all, 0.5);
    out["p99_ms"] = percentile(all, 0.99);
    out["p999_ms"] = percentile(all, 0.999);
    out["cdf"] = cdf_points(all, cdf_size);
    double max_late_ms = 0;
    for (const call_sample& s : run.samples)
    {
        max_late_ms = std::max(max_late_ms, s.late_ms);
    }
    out["worst_late_send_ms"] = max_late_ms;
    const auto wide = sorted_latencies(
        run, [&](const call_sample& s) { return is_wide(run, s); });
    if (wide.empty())
    {
        return;
    }
    out["wide_p50_ms"] = percentile(wide, 0.5);
    out["wide_p99_ms"] = percentile(wide, 0.99);
    const double asked = target_increase(run, wide_service, "started") /
                         static_cast<double>(wide.size());
    const double slowest = median_of_largest(
        run.shape->median_us / 1000, run.shape->sigma, std::max(1.0, asked));
    out["wide_targets_asked"] = asked;
    out["slowest_reply_p50_ms"] = slowest;
    out["own_cost_p50_ms"] = percentile(wide, 0.5) - slowest;
}

void
add_outcomes(const run_data& run, json& out)
{
    json outcomes = json::object();
    json codes = json::object();
    for (const std::string_view name : call_outcome_names)
    {
        outcomes[std::string(name)] = 0;
    }
    double total = 0;
    double coverage_sum = 0;
    std::uint64_t unfit = 0;
    std::uint64_t partial = 0;
    answer_check totals;
    for (const call_sample& s : run.samples)
    {
        const std::string name(
            call_outcome_names[static_cast<std::size_t>(s.outcome)]);
        outcomes[name] = outcomes[name].get<int>() + 1;
        if (!s.code.empty())
        {
            codes[s.code] = codes.value(s.code, 0) + 1;
        }
        const bool answered = s.outcome == call_outcome::answered;
        total += 1;
        if (answered && s.answer.asked > 0)
        {
            coverage_sum += static_cast<double>(s.answer.answered) /
                            static_cast<double>(s.answer.asked);
        }
        partial += answered && s.answer.answered < s.answer.asked ? 1 : 0;
        unfit += answered && !s.answer.parsed ? 1 : 0;
        totals.wrong += s.answer.wrong;
        totals.doubled += s.answer.doubled;
        totals.lost += s.answer.lost;
    }
    const double answered = outcomes["answered"].get<double>();
    out["queries"] = run.samples.size();
    out["outcomes"] = outcomes;
    out["codes"] = codes;
    out["answered_share"] = total > 0 ? answered / total : 0;
    out["coverage"] = total > 0 ? coverage_sum / total : 0;
    out["partial"] = partial;
    out["interrupted"] = outcomes["interrupted"];
    out["rows_wrong"] = totals.wrong;
    out["rows_doubled"] = totals.doubled;
    out["rows_lost"] = totals.lost;
    out["unfit_answers"] = unfit;
    out["row_faults"] = totals.wrong + totals.doubled + totals.lost + unfit;
}

/// Compares the worth served with the most that the capacity of the targets
/// allows: each service's worthiest queries up to its capacity.
void
add_worth(const run_data& run, json& out)
{
    double served = 0;
    double possible = 0;
    for (std::size_t i = 0; i < run.shape->services.size(); ++i)
    {
        std::vector<double> offered;
        for (const call_sample& s : run.samples)
        {
            if (s.service != i)
            {
                continue;
            }
            offered.push_back(s.worth);
            // An answer after the deadline is useless to the caller.
            if (s.outcome == call_outcome::answered && s.answer.asked > 0 &&
                s.latency_ms <= run.deadline_ms)
            {
                served += s.worth * static_cast<double>(s.answer.answered) /
                          static_cast<double>(s.answer.asked);
            }
        }
        std::sort(offered.begin(), offered.end(), std::greater<>());
        const auto capacity = static_cast<std::size_t>(
            capacity_per_s(*run.shape, run.shape->services[i]) * run.seconds);
        possible += std::accumulate(offered.begin(),
            offered.begin() +
                static_cast<std::ptrdiff_t>(std::min(capacity, offered.size())),
            0.0);
    }
    out["served_worth"] = served;
    out["served_worth_share"] = possible > 0 ? served / possible : 0;
}

void
add_targets(const run_data& run, json& out)
{
    double max_above_slots = -1e9;
    double max_offered = 0;
    for (const auto& item : run.after.targets.items())
    {
        const double offered = item.value().at("worst_offered").get<double>();
        const double slots = item.value().at("slots").get<double>();
        max_offered = std::max(max_offered, offered);
        max_above_slots = std::max(max_above_slots, offered - slots);
    }
    // Shards that answered queries asked for. Shards that the targets started
    // beyond these are hedges, retries and work for unanswered queries.
    double asked = 0;
    for (const call_sample& s : run.samples)
    {
        asked += static_cast<double>(s.answer.asked);
    }
    const double shards = target_increase(run, "", "shards_started");
    out["worst_concurrent"] = max_offered;
    out["most_above_limit"] = max_above_slots;
    out["target_requests"] = target_increase(run, "", "requests");
    out["requests_per_shard"] =
        asked > 0 ? target_increase(run, "", "requests") / asked : 0;
    out["extra_load"] = asked > 0 ? shards / asked - 1 : 0;
    out["sheds"] = target_increase(run, "", "sheds");
    out["cancelled"] = target_increase(run, "", "cancelled");
    const double started = target_increase(run, "", "started");
    out["target_busy_mean_ms"] =
        started > 0 ? target_increase(run, "", "busy_us") / started / 1000 : 0;
    out["hedged"] = total_vm_increase(run, "sub_requests_hedged");
    out["retried"] = total_vm_increase(run, "sub_requests_retried");
}

/// Compares the executions of each non-idempotent request, counted by the
/// targets, with the outcome that its caller received.
void
add_executions(const run_data& run, json& out)
{
    std::map<std::string, std::uint64_t> started;
    for (const auto& item : run.after.targets.items())
    {
        for (const auto& key : item.value().at("by_key").items())
        {
            started[key.key()] += key.value().get<std::uint64_t>();
        }
    }
    std::uint64_t records = 0;
    std::uint64_t answered = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t not_executed = 0;
    for (const call_sample& s : run.samples)
    {
        if (!s.record)
        {
            continue;
        }
        const auto it = started.find(s.key);
        const std::uint64_t executions = it == started.end() ? 0 : it->second;
        const bool was_answered = s.outcome == call_outcome::answered;
        ++records;
        answered += was_answered ? 1 : 0;
        duplicates += executions > 1 ? 1 : 0;
        false_not_run +=
            s.outcome == call_outcome::refused && executions > 0 ? 1 : 0;
        not_executed += was_answered && executions == 0 ? 1 : 0;
    }
    out["records"] = records;
    out["records_answered"] = answered;
    out["duplicates"] = duplicates;
    out["false_not_run"] = false_not_run;
    out["answered_but_not_executed"] = not_executed;
}

void
add_control_cost(const run_data& run, json& out)
{
    // 1e4 us of CPU time per second is 1% of a core.
    const double vm_seconds =
        static_cast<double>(run.after.vms.size()) * run.seconds;
    out["control_core_percent_mean"] =
        total_vm_increase(run, "control_cpu_us") / vm_seconds / 1e4;
    out["control_core_percent_most"] =
        max_vm_increase(run, "control_cpu_us") / run.seconds / 1e4;
    out["control_bytes_per_s_mean"] =
        (total_vm_increase(run, "control_bytes_in") +
            total_vm_increase(run, "control_bytes_out")) /
        vm_seconds;
    out["peer_bytes_per_s_mean"] =
        (total_vm_increase(run, "peer_bytes_in") +
            total_vm_increase(run, "peer_bytes_out")) /
        vm_seconds;
    out["platform_calls_per_s_mean"] =
        total_vm_increase(run, "platform_calls") / vm_seconds;
    double platform_calls = 0;
    for (const auto& item : run.after.platform.items())
    {
        platform_calls +=
            increase(run.before.platform, run.after.platform, item.key());
    }
    out["platform_calls_seen_per_s"] = platform_calls / run.seconds;
}

} // namespace

fleet_counters
read_fleet(const bench_shape& shape)
{
    fleet_counters out;
    out.targets = read_targets();
    out.platform = read_platform().at("counts");
    for (const bench_vm& vm : shape.vms)
    {
        out.vms.push_back(read_counters(vm));
    }
    return out;
}

json
summarize(const run_data& run)
{
    json out{{"seconds", run.seconds}};
    add_latencies(run, out);
    add_outcomes(run, out);
    add_worth(run, out);
    add_targets(run, out);
    add_executions(run, out);
    add_control_cost(run, out);
    return out;
}

} // namespace bramleymux::tools
