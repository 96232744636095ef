#pragma once

#include "decision_log.hpp"
#include "extra_load_window.hpp"
#include "gather_plan.hpp"
#include "metrics.hpp"
#include "rollout.hpp"
#include "target_choice.hpp"
#include "target_link.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// The targets that are registered, their connections, and the sends on them.
namespace bramleymux
{

/// Settings of the pool that may change at a reload.
struct pool_options
{
    std::string zone; ///< of this VM
    extra_load_limits extra_load;
    /// A target that leaves gets no new work after this time.
    duration leave_bound = config::default_leave_bound;
};

struct send_result
{
    send_outcome outcome = send_outcome::unreachable;
    bool may_have_run =
        false; ///< bytes were sent and the target denies nothing
    target_reply reply;
    duration took{};
};

struct send_order
{
    std::string request_id;
    bool bodiless = false;
    duration expected{}; ///< usual latency of the route
    /// Makes the request at the moment when it can be sent; an empty text
    /// withdraws it.
    std::function<std::string(const std::string& target_id)> write;
    std::function<void(send_result&&)> done; ///< called at most once, later
};

/// Whether the reply is a part of a gathered answer.
bool
is_part(const send_result& result);

using send_id = std::uint64_t;

/// Part of a service's requests that goes to targets of one version.
struct version_share
{
    std::string version;
    std::uint64_t order = 0; ///< counts begin anew with another order
    double share = 0.0;
};

class target_pool
{
public:
    target_pool(boost::asio::io_context& loop, const entry_wire& wire,
        metrics& counters, decision_log& log, pool_options options);
    ~target_pool();

    void
    set_options(pool_options options);

    /// A registration appeared or changed.
    void
    put(const target_record& record);

    /// A registration was removed. The target stays a last resort for
    /// `config::lapsed_grace`, or less where the bound on leaving targets is
    /// short.
    void
    remove(const std::string& id);

    void
    set_zones_out(std::vector<std::string> zones);

    void
    set_vms(std::size_t vms);

    /// Rules of the services; the pool keeps what concerns connections.
    void
    set_services(const std::vector<service_rule>& services);

    /// Divides the requests of a service between a version and the others, and
    /// counts the replies of both.
    void
    set_version_share(
        const std::string& service, std::optional<version_share> share);

    /// Replies since the share was set for the present order.
    rollout_counts
    version_counts(const std::string& service) const;

    /// Null when no target can take a request now.
    target_state*
    choose(const std::string& service,
        const std::vector<const target_state*>& tried,
        choice_scope scope = choice_scope::any_zone);

    /// Whether some target of the service besides `tried` could take a request
    /// now or as soon as it has room.
    bool
    is_served(const std::string& service,
        const std::vector<const target_state*>& tried) const;

    /// Whether some target of the service could take a request now.
    bool
    has_room(const std::string& service,
        choice_scope scope = choice_scope::any_zone) const;

    /// Zones in which a target of the service can be used.
    shard_reach
    reach_of(const std::string& service) const;

    /// Targets of the service in a zone.
    std::vector<const target_state*>
    targets_in(const std::string& service, const std::string& zone) const;

    /// Calls `ready` when a target of the service may have room; it returns
    /// false when the request no longer waits. After `stale_at` other requests
    /// go first. False when too many requests wait already.
    bool
    wait_for_room(const std::string& service, monotonic_time stale_at,
        std::function<bool()> ready);

    /// Whether every target of the service is in another zone, registered and
    /// does not answer.
    bool
    is_out_of_reach(const std::string& service) const;

    /// When a target in another zone last answered this VM.
    monotonic_time
    heard_other_zone_at() const
    {
        return heard_other_zone_at_;
    }

    /// Probes one target of another zone, at most every
    /// `config::reach_probe_period`.
    void
    probe_other_zone();

    /// Counts the first send of a request to the service.
    void
    count_first(const std::string& service);

    /// Whether the budget has room for `sends` hedges or retries.
    bool
    has_extra(const std::string& service, std::size_t sends) const;

    /// Counts a hedge or retry; false when the budget has no room.
    bool
    take_extra(const std::string& service);

    send_id
    send(target_state& target, send_order&& order);

    /// The result is no longer wanted: `done` is not called. The send may
    /// finish within `linger`; then its connection is closed.
    void
    abandon(send_id id, duration linger);

    /// The send takes longer than usual.
    void
    note_slow(send_id id);

    /// Timeouts, probes and idle connections; called every
    /// `config::maintenance_period`.
    void
    tick();

    std::size_t
    size() const
    {
        return entries_.size();
    }

private:
    struct entry;
    struct pending_send;
    struct service_state;
    struct waiter;

    template <class Test>
    bool
    any_usable(const std::string& service, choice_scope scope, Test test) const;
    choice_context
    context_of(const service_state* service) const;
    void
    refresh_room(entry& e);
    void
    wake_waiter(service_state& service);
    void
    serve_waiter(service_state& service);
    void
    begin(entry& e, const std::shared_ptr<target_link>& link, send_id id);
    /// `opened` is called later, with null when the connection failed.
    std::shared_ptr<target_link>
    open_link(entry& e,
        std::function<void(const std::shared_ptr<target_link>&)> opened);
    void
    on_result(send_id id, link_result&& result);
    void
    finish(send_id id, send_outcome outcome, bool may_have_run,
        target_reply&& reply);
    target_state*
    choose_version(service_state& service, choice_context& context);
    void
    count_version(entry& e, send_outcome outcome, duration took,
        duration expected, monotonic_time now);
    void
    learn(entry& e, const target_reply& reply);
    void
    probe(entry& e);
    void
    on_probe(const std::string& id, link_result&& result);
    void
    tick_links(entry& e, monotonic_time now);
    duration
    lapsed_grace() const;
    void
    drop(entry& e);
    service_state&
    service_of(const std::string& name);
    void
    log_target(event what, const entry& e, std::string_view reason);

    boost::asio::io_context& loop_;
    const entry_wire& wire_;
    metrics& metrics_;
    decision_log& log_;
    pool_options options_;
    std::size_t vms_;
    monotonic_time heard_other_zone_at_{};
    monotonic_time reach_probe_at_{};
    std::vector<std::string> zones_out_;
    std::unordered_map<std::string, std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<entry>> retired_;
    std::unordered_map<std::string, std::unique_ptr<service_state>> services_;
    std::unordered_map<send_id, pending_send> sends_;
    send_id last_send_ = 0;
    std::mt19937_64 random_;
};

} // namespace bramleymux
