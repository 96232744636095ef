#include "usage/usage_reporter.hpp"

#include "config/usage.hpp"
#include "process_pause.hpp"

#include <algorithm>
#include <charconv>

namespace bramleymux
{

namespace
{

constexpr int status_ok = 200;
// VMs that a log line names.
constexpr std::size_t max_named_vms = 8;

std::optional<window_id>
parse_window(const std::string& text)
{
    window_id out = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, out);
    const bool whole = result.ec == std::errc() && result.ptr == end;
    return whole ? std::optional<window_id>(out) : std::nullopt;
}

std::vector<std::string>
first_names(std::vector<std::string> names)
{
    names.resize(std::min(names.size(), max_named_vms));
    return names;
}

} // namespace

/// Connection to another VM, for one question at a time.
struct usage_reporter::channel
{
    channel(boost::asio::io_context& loop, const std::string& address)
        : calls(loop, address)
    {
    }

    call_channel calls;
    bool busy = false;
};

usage_reporter::usage_reporter(boost::asio::io_context& loop, metrics& counters,
    decision_log& log, usage_meter& meter, usage_exchange& exchange,
    std::string vm_id, const usage_limits& limits,
    const usage_report_wire& wire)
    : loop_(loop), metrics_(counters), log_(log), meter_(meter),
      exchange_(exchange), vm_id_(std::move(vm_id)), wire_(wire)
{
    plan_.limits = limits;
}

usage_reporter::~usage_reporter() = default;

void
usage_reporter::set_vms(const std::vector<registered_vm>& vms)
{
    vms_ = vms;
    // A question in progress ends with its channel.
    for (auto it = channels_.begin(); it != channels_.end();)
    {
        const bool registered = std::any_of(vms.begin(), vms.end(),
            [&](const registered_vm& vm)
            { return vm.peer_address == it->first; });
        it = registered ? std::next(it) : channels_.erase(it);
    }
}

duty_work
usage_reporter::work()
{
    duty_work out;
    out.acquired = [this](const duty_grant& grant) { on_acquired(grant); };
    out.next = [this](duration /*boot*/) { return next_step(); };
    out.finished = [this](const duty_result& result) { on_finished(result); };
    return out;
}

void
usage_reporter::on_acquired(const duty_grant& grant)
{
    std::vector<usage_record> records;
    for (const duty_message& message : grant.pending)
    {
        if (const auto window = parse_window(message.id))
        {
            records.push_back({*window, message.text});
        }
    }
    begin_holding(plan_, grant.era, std::move(records), meter_.now());
    log_skipped();
}

duty_step
usage_reporter::next_step()
{
    duty_step out;
    const plan_step step = next_plan_step(plan_, meter_.now());
    if (step.kind == plan_step_kind::write)
    {
        out.kind = duty_step_kind::write_pending;
        for (const usage_record& record : step.records)
        {
            out.pending.push_back({std::to_string(record.window), record.body});
        }
    }
    else if (step.kind == plan_step_kind::send)
    {
        out.kind = duty_step_kind::send_call;
        out.call = wire_.make_call(step.body);
        out.call.id = std::to_string(step.window);
    }
    return out;
}

void
usage_reporter::on_finished(const duty_result& result)
{
    switch (result.kind)
    {
    case duty_result_kind::pending_written:
        record_written(plan_);
        break;
    case duty_result_kind::pending_refused:
        record_write_refused(plan_);
        break;
    case duty_result_kind::lease_lost:
        end_holding(plan_);
        break;
    default:
        if (const auto window = parse_window(result.id))
        {
            on_sent(*window, result.kind == duty_result_kind::call_accepted);
        }
    }
    log_skipped();
}

void
usage_reporter::on_sent(window_id window, bool accepted)
{
    record_sent(plan_, window, accepted, meter_.now());
    const usage_plan::report* report = find_report(plan_, window);
    if (!accepted || report == nullptr)
    {
        return;
    }
    const event what =
        report->own ? event::usage_reported : event::usage_repeated;
    metrics_.add(counter::usage_windows_reported);
    if (log_.try_admit(what, monotonic_clock::now()))
    {
        log_.write(
            what, {{"window", window}, {"attempts", report->attempts + 1}});
    }
}

void
usage_reporter::tick()
{
    const duration now = meter_.now();
    if (is_window_due(plan_, now))
    {
        if (window_ != plan_.next)
        {
            window_ = plan_.next;
            evidence_ = {};
            answered_zones_.clear();
            summary_ = {};
            next_question_at_ = {};
        }
        ask_collectors(now);
        decide(now);
    }
    log_skipped();
}

void
usage_reporter::ask_collectors(duration now)
{
    const duration boot = boot_time();
    if (boot < next_question_at_)
    {
        return;
    }
    next_question_at_ = boot + config::usage_question_period;
    merge_sources(evidence_, exchange_.known_usage(window_));
    evidence_changed_ = true;
    std::set<std::string> zones;
    for (const registered_vm& vm : vms_)
    {
        zones.insert(vm.zone);
    }
    for (const std::string& zone : zones)
    {
        for (const registered_vm& vm :
            choose_collectors(rank_collectors(vms_, zone), failed_,
                config::usage_collectors_asked, boot))
        {
            ask(vm, true);
        }
    }
    ask_missing_vms(now);
}

/// Asks the VMs themselves whose counts the collectors lack for longer than a
/// message takes: they may not reach their collectors, or run no more.
void
usage_reporter::ask_missing_vms(duration now)
{
    const duration asked_from = end_of(window_, plan_.limits.window) +
                                config::usage_settle_time +
                                2 * duration(config::usage_message_period);
    if (now < asked_from)
    {
        return;
    }
    std::size_t asked = 0;
    for (const registered_vm& vm : vms_)
    {
        const bool missing =
            std::find(summary_.missing.begin(), summary_.missing.end(),
                vm.id) != summary_.missing.end();
        if (missing && answered_zones_.count(vm.zone) != 0 &&
            asked < config::max_missing_vms_asked)
        {
            ask(vm, false);
            ++asked;
        }
    }
}

void
usage_reporter::ask(const registered_vm& vm, bool is_collector)
{
    if (vm.id == vm_id_)
    {
        answered_zones_.insert(vm.zone);
        return;
    }
    auto& c = channels_[vm.peer_address];
    if (!c)
    {
        c = std::make_unique<channel>(loop_, vm.peer_address);
    }
    if (c->busy)
    {
        return;
    }
    c->busy = true;
    c->calls.call({"GET", window_path(window_), {}, {}, true},
        config::usage_question_timeout,
        [this, &state = *c, vm, is_collector, window = window_](
            call_reply&& reply)
        {
            state.busy = false;
            on_reply(vm, is_collector, window, reply);
        });
}

void
usage_reporter::on_reply(const registered_vm& vm, bool is_collector,
    window_id window, const call_reply& reply)
{
    auto sources =
        reply.status == status_ok ? decode_sources(reply.body) : std::nullopt;
    if (is_collector && !sources)
    {
        failed_[vm.peer_address] = boot_time() + config::usage_collector_retry;
    }
    if (window != window_)
    {
        return;
    }
    if (sources)
    {
        answered_zones_.insert(vm.zone);
        merge_sources(evidence_, std::move(*sources));
        evidence_changed_ = true;
    }
    else if (!is_collector)
    {
        record_no_answer(evidence_, vm.id, reply.unsent);
        evidence_changed_ = true;
    }
}

void
usage_reporter::decide(duration now)
{
    if (evidence_changed_)
    {
        std::vector<std::string> live;
        live.reserve(vms_.size());
        for (const registered_vm& vm : vms_)
        {
            live.push_back(vm.id);
        }
        summary_ = summarize(evidence_, live, plan_.limits);
        evidence_changed_ = false;
    }
    switch (judge_window(window_, summary_, plan_.limits, now))
    {
    case report_verdict::report:
        put_report(
            plan_, window_, wire_.write_report(window_, summary_.counts));
        break;
    case report_verdict::skip:
        skip_window(plan_, window_, "the counts of too many VMs are missing");
        break;
    default:
        break;
    }
}

void
usage_reporter::log_skipped()
{
    for (const skipped_windows& s : plan_.skipped)
    {
        metrics_.add(counter::usage_windows_skipped,
            static_cast<std::uint64_t>(s.last - s.first + 1));
        if (log_.try_admit(event::usage_skipped, monotonic_clock::now()))
        {
            const bool judged = s.first == window_ && s.last == window_;
            log_.write(event::usage_skipped,
                {{"window", s.first}, {"last", s.last}, {"reason", s.reason},
                    {"missing", judged ? first_names(summary_.missing)
                                       : std::vector<std::string>()},
                    {"missing_share", judged ? summary_.missing_share : 0.0}});
        }
    }
    plan_.skipped.clear();
}

} // namespace bramleymux
