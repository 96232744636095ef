#include "usage/usage_exchange.hpp"

#include "config/usage.hpp"
#include "process_pause.hpp"

#include <algorithm>
#include <random>
#include <set>

namespace bramleymux
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

std::uint64_t
random_number()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

http_reply
reply_with(int status, std::string body = {})
{
    http_reply out;
    out.status = status;
    out.body = std::move(body);
    return out;
}

} // namespace

/// A collector to which this VM sends.
struct usage_exchange::link
{
    link(boost::asio::io_context& loop, const registered_vm& v)
        : vm(v), channel(loop, v.peer_address)
    {
    }

    registered_vm vm;
    call_channel channel;
    bool busy = false;
    std::uint64_t process = 0;        ///< of the collector
    std::uint64_t known_changes = 0;  ///< that the collector has
    std::set<window_id> known_closed; ///< windows that need not be sent again
};

usage_exchange::usage_exchange(boost::asio::io_context& loop, metrics& counters,
    decision_log& log, usage_meter& meter, std::string vm_id, std::string zone)
    : loop_(loop), metrics_(counters), log_(log), meter_(meter),
      vm_id_(std::move(vm_id)), zone_(std::move(zone)),
      process_(random_number())
{
}

usage_exchange::~usage_exchange() = default;

void
usage_exchange::set_vms(const std::vector<registered_vm>& vms)
{
    ranked_ = rank_collectors(vms, zone_);
    ranked_for_clock_ = ranked_.size() < config::min_clock_vms
                            ? rank_collectors(vms, {})
                            : std::vector<registered_vm>();
}

void
usage_exchange::stop()
{
    stopping_ = true;
}

void
usage_exchange::choose_links(duration now)
{
    for (auto it = failed_.begin(); it != failed_.end();)
    {
        it = now >= it->second ? failed_.erase(it) : std::next(it);
    }
    std::vector<registered_vm> wanted =
        choose_collectors(ranked_, failed_, config::usage_collectors, now);
    for (registered_vm& vm :
        choose_collectors(ranked_for_clock_, failed_, 1, now))
    {
        const bool known = std::any_of(wanted.begin(), wanted.end(),
            [&](const registered_vm& w) { return w.id == vm.id; });
        if (!known)
        {
            wanted.push_back(std::move(vm));
        }
    }
    std::vector<std::unique_ptr<link>> chosen;
    for (const registered_vm& vm : wanted)
    {
        const auto found = std::find_if(links_.begin(), links_.end(),
            [&](const auto& l)
            { return l && l->vm.peer_address == vm.peer_address; });
        if (vm.id != vm_id_)
        {
            chosen.push_back(found == links_.end()
                                 ? std::make_unique<link>(loop_, vm)
                                 : std::move(*found));
        }
    }
    links_ = std::move(chosen);
}

usage_message
usage_exchange::make_message(link& to)
{
    const usage_counts& counts = meter_.counts();
    usage_message out;
    out.vm = vm_id_;
    out.process = process_;
    out.sequence = ++last_sequence_;
    out.time = meter_.now();
    out.first = counts.first;
    for (const auto& [id, window] : counts.windows)
    {
        if (to.known_closed.count(id) == 0)
        {
            out.windows.push_back(
                {id, window.closed, window.exact, window.counts});
        }
    }
    limit_bytes(out);
    return out;
}

void
usage_exchange::send(link& to)
{
    const usage_message message = make_message(to);
    std::vector<window_id> closed;
    for (const reported_window& window : message.windows)
    {
        if (window.closed)
        {
            closed.push_back(window.id);
        }
    }
    to.busy = true;
    to.channel.call({"POST", std::string(usage_path),
                        encode_usage_message(message), "application/cbor"},
        config::usage_message_timeout,
        [this, &to, sent_at = boot_time(), changes = meter_.counts().changes,
            closed = std::move(closed)](call_reply&& reply)
        { on_ack(to, sent_at, changes, closed, reply); });
}

void
usage_exchange::on_ack(link& from, duration sent_at, std::uint64_t changes,
    const std::vector<window_id>& closed, const call_reply& reply)
{
    const duration now = boot_time();
    from.busy = false;
    const auto ack =
        reply.status == status_ok ? decode_usage_ack(reply.body) : std::nullopt;
    if (!ack)
    {
        failed_[from.vm.peer_address] = now + config::usage_collector_retry;
        return;
    }
    if (ack->process != from.process)
    {
        // A new process has only this message, so the next one has all again.
        from.known_closed.clear();
        from.process = ack->process;
        from.known_changes = 0;
    }
    else
    {
        from.known_changes = changes;
    }
    from.known_closed.insert(closed.begin(), closed.end());
    const auto& windows = meter_.counts().windows;
    from.known_closed.erase(from.known_closed.begin(),
        from.known_closed.lower_bound(
            windows.empty() ? 0 : windows.begin()->first));
    correct_clock(ack->median, sent_at, now);
}

void
usage_exchange::correct_clock(
    const clock_median& median, duration sent, duration received)
{
    const auto correction = meter_.correct(median, sent, received);
    if (correction &&
        log_.try_admit(event::clock_corrected, monotonic_clock::now()))
    {
        log_.write(event::clock_corrected,
            {{"by_ms", to_milliseconds(*correction)}, {"vms", median.vms}});
    }
}

http_reply
usage_exchange::accept(const std::string& body)
{
    auto message = decode_usage_message(body);
    if (!message)
    {
        return reply_with(status_bad_request);
    }
    const duration now = boot_time();
    metrics_.add(counter::usage_reports_received);
    record_clock(samples_, message->vm, message->time, now);
    if (collect(collector_, std::move(*message), now) == collect_result::full)
    {
        return reply_with(status_unavailable);
    }
    return reply_with(
        status_ok, encode_usage_ack({process_, median_clock(samples_, now)}));
}

void
usage_exchange::serve(const parsed_request& request, const reply_handler& reply)
{
    note_clock_running(samples_, boot_time());
    if (request.method == "POST")
    {
        reply(accept(request.body));
    }
    else if (const auto window = parse_window_path(request.path))
    {
        reply(reply_with(status_ok, encode_sources(known_usage(*window))));
    }
    else
    {
        reply(reply_with(status_not_found));
    }
}

std::vector<source_usage>
usage_exchange::known_usage(window_id window)
{
    std::vector<source_usage> out = usage_in(collector_, window);
    const usage_counts& counts = meter_.counts();
    source_usage own;
    own.vm = vm_id_;
    own.process = process_;
    own.complete = counts.first > window;
    const auto found = counts.windows.find(window);
    if (found != counts.windows.end())
    {
        own.sequence = ++last_sequence_;
        own.complete = found->second.closed && found->second.exact;
        own.counts = found->second.counts;
    }
    out.push_back(std::move(own));
    return out;
}

void
usage_exchange::tick()
{
    const duration now = boot_time();
    note_clock_running(samples_, now);
    if (now < next_send_at_)
    {
        return;
    }
    next_send_at_ = now + (stopping_ ? config::usage_stop_period
                                     : config::usage_message_period);
    const bool busy = std::any_of(
        links_.begin(), links_.end(), [](const auto& l) { return l->busy; });
    if (!busy)
    {
        choose_links(now);
    }
    record_clock(samples_, vm_id_, meter_.now(), now);
    correct_clock(median_clock(samples_, now), now, now);
    const std::uint64_t changes = meter_.counts().changes;
    for (const auto& l : links_)
    {
        if (!l->busy && l->known_changes != changes)
        {
            send(*l);
        }
    }
}

} // namespace bramleymux
