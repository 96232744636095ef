#include "gather_delegates.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

std::uint64_t
rank_of(const std::string& self, const registered_vm& vm)
{
    const std::string key = self + "/" + vm.id;
    return XXH64(key.data(), key.size(), 0);
}

/// Returns the delegates of `self` in each zone other than `zone`: the VMs with
/// the lowest rendezvous hashes.
std::vector<registered_vm>
plan_delegates(const std::vector<registered_vm>& vms, const std::string& self,
    const std::string& zone)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::size_t>>>
        ranked;
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        if (vms[i].zone != zone)
        {
            ranked[vms[i].zone].emplace_back(rank_of(self, vms[i]), i);
        }
    }
    std::vector<registered_vm> out;
    for (auto& [name, members] : ranked)
    {
        std::sort(members.begin(), members.end());
        members.resize(std::min(members.size(), config::delegates_per_zone));
        for (const auto& [rank, index] : members)
        {
            out.push_back(vms[index]);
        }
    }
    return out;
}

} // namespace

/// A connection to a delegate, which carries one order at a time.
struct gather_delegates::connection
{
    connection(boost::asio::io_context& loop, const std::string& address)
        : channel(loop, address)
    {
    }

    call_channel channel;
    order_id order = 0; ///< 0 = free
    monotonic_time sent_at{};
    duration timeout{};
    bool is_order = true; ///< sends an order; false: collects late replies
    reply_handler handler;
};

struct gather_delegates::delegate
{
    delegate(boost::asio::io_context& loop, const registered_vm& v)
        : vm(v), probe_channel(loop, v.peer_address)
    {
    }

    std::size_t
    running() const
    {
        return static_cast<std::size_t>(std::count_if(connections.begin(),
            connections.end(), [](const auto& c) { return c->order != 0; }));
    }

    registered_vm vm;
    std::vector<std::unique_ptr<connection>> connections;
    call_channel probe_channel;
    bool blocked = false;
    bool probing = false;
    std::uint32_t failures = 0;
    monotonic_time probe_at{};
    std::chrono::duration<double> overhead{}; ///< moving average
};

gather_delegates::gather_delegates(boost::asio::io_context& loop,
    metrics& counters, decision_log& log, std::string vm_id, std::string zone)
    : loop_(loop), metrics_(counters), log_(log), vm_id_(std::move(vm_id)),
      zone_(std::move(zone)), random_(std::random_device{}())
{
}

gather_delegates::~gather_delegates() = default;

void
gather_delegates::set_vms(const std::vector<registered_vm>& vms)
{
    std::vector<std::shared_ptr<delegate>> kept;
    for (const registered_vm& vm : plan_delegates(vms, vm_id_, zone_))
    {
        const auto found = std::find_if(delegates_.begin(), delegates_.end(),
            [&](const auto& d) {
                return d->vm.id == vm.id &&
                       d->vm.peer_address == vm.peer_address;
            });
        kept.push_back(found == delegates_.end()
                           ? std::make_shared<delegate>(loop_, vm)
                           : *found);
    }
    // A delegate that is no longer planned but has running orders is kept,
    // blocked, until a later call finds it without any.
    for (const auto& d : delegates_)
    {
        const bool dropped =
            std::find(kept.begin(), kept.end(), d) == kept.end();
        if (dropped && d->running() > 0)
        {
            block(*d, "no longer registered");
            kept.push_back(d);
        }
    }
    delegates_ = std::move(kept);
}

std::vector<delegate_zone>
gather_delegates::zones() const
{
    std::vector<delegate_zone> out;
    for (const auto& d : delegates_)
    {
        const bool known = std::any_of(out.begin(), out.end(),
            [&](const delegate_zone& z) { return z.zone == d->vm.zone; });
        if (!d->blocked && !known)
        {
            const auto share = handed_back_.find(d->vm.zone);
            out.push_back({d->vm.zone,
                share == handed_back_.end() ? 0.0 : share->second});
        }
    }
    return out;
}

/// Returns the usable delegate of the zone with the least load: running orders
/// plus overhead, with jitter so that equal delegates share the load. Null if
/// the zone has none.
std::shared_ptr<gather_delegates::delegate>
gather_delegates::pick(const std::string& zone)
{
    std::uniform_real_distribution<double> jitter(
        1.0, 1.0 + config::choice_jitter);
    std::shared_ptr<delegate> best;
    double best_cost = 0.0;
    for (const auto& d : delegates_)
    {
        if (d->blocked || d->vm.zone != zone)
        {
            continue;
        }
        const std::chrono::duration<double> unit = config::order_overhead_unit;
        const double cost =
            (1.0 + static_cast<double>(d->running()) + d->overhead / unit) *
            jitter(random_);
        if (!best || cost < best_cost)
        {
            best = d;
            best_cost = cost;
        }
    }
    return best;
}

void
gather_delegates::record_overhead(delegate& d, duration overhead)
{
    d.overhead += config::order_overhead_gain *
                  (std::chrono::duration<double>(overhead) - d.overhead);
}

order_id
gather_delegates::send(const std::string& zone, const gather_order& order,
    duration timeout, reply_handler handler)
{
    metrics_.add(counter::gather_orders_sent);
    return call(pick(zone),
        {"POST", std::string(gather_path), encode_order(order),
            "application/cbor"},
        order.shards.size(), timeout, std::move(handler));
}

order_id
gather_delegates::collect(const std::string& vm_id, std::uint64_t rest,
    std::size_t asked, duration timeout, reply_handler handler)
{
    const auto found = std::find_if(delegates_.begin(), delegates_.end(),
        [&](const auto& d) { return d->vm.id == vm_id && !d->blocked; });
    return found == delegates_.end()
               ? 0
               : call(*found, {"GET", rest_path(rest), {}, {}}, asked, timeout,
                     std::move(handler));
}

order_id
gather_delegates::call(const std::shared_ptr<delegate>& d,
    const call_request& request, std::size_t asked, duration timeout,
    reply_handler handler)
{
    auto found = std::find_if(d->connections.begin(), d->connections.end(),
        [](const auto& c) { return c->order == 0; });
    if (found == d->connections.end())
    {
        d->connections.push_back(
            std::make_unique<connection>(loop_, d->vm.peer_address));
        found = std::prev(d->connections.end());
    }
    connection& c = **found;
    c.order = ++last_order_;
    c.handler = std::move(handler);
    c.sent_at = monotonic_clock::now();
    c.timeout = timeout;
    c.is_order = request.method == "POST";
    c.channel.call(request, timeout,
        [this, d, &c, asked](call_reply&& reply)
        { on_reply(d, c, asked, std::move(reply)); });
    return c.order;
}

void
gather_delegates::on_reply(const std::shared_ptr<delegate>& d, connection& c,
    std::size_t asked, call_reply&& reply)
{
    const reply_handler handler = std::move(c.handler);
    c.order = 0;
    c.handler = nullptr;
    delegate_reply out;
    out.vm_id = d->vm.id;
    double without_answer = 1.0;
    auto parts =
        reply.status == status_ok ? decode_parts(reply.body) : std::nullopt;
    if (parts && parts->parts.size() == asked)
    {
        out.outcome = delegate_outcome::parts;
        out.parts = std::move(*parts);
        const auto answered =
            std::count_if(out.parts.parts.begin(), out.parts.parts.end(),
                [](const gather_part& p)
                { return p.state == part_state::answered; });
        without_answer =
            1.0 - static_cast<double>(answered) / static_cast<double>(asked);
        d->failures = 0;
        duration slowest{};
        for (const gather_part& p : out.parts.parts)
        {
            slowest = std::max(slowest, p.took);
        }
        if (c.is_order && without_answer == 0.0)
        {
            record_overhead(*d, monotonic_clock::now() - c.sent_at - slowest);
        }
    }
    else if (reply.status == status_unavailable || reply.unsent)
    {
        out.outcome = delegate_outcome::refused;
    }
    // 404: the late replies have expired. 503: the VM refused the order or is
    // stopping. Neither means that the delegate is unreachable.
    const bool responsive = out.outcome == delegate_outcome::parts ||
                            reply.status == status_unavailable ||
                            reply.status == status_not_found;
    if (!responsive)
    {
        record_overhead(*d, c.timeout);
        block(*d, reply.unsent ? "no connection" : "silent");
    }
    if (c.is_order)
    {
        double& share = handed_back_[d->vm.zone];
        share += config::handed_back_gain * (without_answer - share);
    }
    handler(std::move(out));
}

void
gather_delegates::abandon(order_id id)
{
    for (const auto& d : delegates_)
    {
        for (const auto& c : d->connections)
        {
            if (c->order == id)
            {
                c->order = 0;
                c->handler = nullptr;
                c->channel.cancel();
                return;
            }
        }
    }
}

void
gather_delegates::block(delegate& d, std::string_view reason)
{
    const auto step = std::min<std::uint32_t>(d.failures, 8);
    const duration wait = std::min<duration>(config::delegate_block_max,
        duration(config::delegate_block_base) * (1U << step));
    ++d.failures;
    d.probe_at = monotonic_clock::now() + wait;
    if (!d.blocked)
    {
        d.blocked = true;
        metrics_.add(counter::delegates_lost);
        log_delegate(event::delegate_lost, d, reason);
    }
}

void
gather_delegates::probe(const std::shared_ptr<delegate>& d)
{
    d->probing = true;
    d->probe_channel.call({"GET", std::string(gather_path), {}, {}, true},
        config::delegate_probe_timeout,
        [this, d](call_reply&& reply)
        {
            d->probing = false;
            if (reply.status == status_ok)
            {
                d->blocked = false;
                log_delegate(event::delegate_regained, *d, "answered a probe");
                return;
            }
            block(*d, "did not answer a probe");
        });
}

void
gather_delegates::tick()
{
    const monotonic_time now = monotonic_clock::now();
    for (const auto& d : delegates_)
    {
        if (d->blocked && !d->probing && now >= d->probe_at)
        {
            probe(d);
        }
    }
}

void
gather_delegates::log_delegate(
    event what, const delegate& d, std::string_view reason)
{
    if (log_.try_admit(what, monotonic_clock::now()))
    {
        log_.write(what, {{"vm", d.vm.id}, {"zone", d.vm.zone},
                             {"address", d.vm.peer_address}, {"reason", reason},
                             {"failures", d.failures}});
    }
}

} // namespace bramleymux
