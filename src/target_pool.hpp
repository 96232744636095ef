#pragma once

#include "decision_log.hpp"
#include "extra_load_window.hpp"
#include "gather_order.hpp"
#include "gather_plan.hpp"
#include "metrics.hpp"
#include "relay_plan.hpp"
#include "rollout.hpp"
#include "target_choice.hpp"
#include "target_link.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// Registered targets, their connections and the requests sent to them. Runs on
/// one event loop; not thread-safe.
namespace bramleymux
{

/// Settings of the pool that a reload may change.
struct pool_options
{
    std::string zone; ///< of this VM
    extra_load_limits extra_load;
    /// Time after which a leaving target must get no new work.
    duration leave_bound = config::default_leave_bound;
};

/// Registered VMs, this one included.
struct vm_counts
{
    std::size_t total = 1;
    std::unordered_map<std::string, std::size_t> by_zone;
    /// Of this VM among those of its zone, evenly spread over 0 to 1.
    double zone_position = 0.0;
};

/// Counts the VMs of a list as seen by `self`.
vm_counts
count_vms(const std::vector<registered_vm>& vms, const registered_vm& self);

struct send_result
{
    send_outcome outcome = send_outcome::unreachable;
    /// The request was sent, and the target did not state that it ran nothing.
    bool may_have_run = false;
    target_reply reply;
    duration took{};
};

/// A request to send.
struct send_order
{
    std::string request_id;
    bool bodiless = false; ///< the reply has no body
    duration expected{};   ///< the route's median latency, or an estimate
    /// Serializes the request once a connection is ready; an empty string
    /// cancels the send.
    std::function<std::string(const std::string& target_id)> write;
    /// Called at most once, never from within `send`.
    std::function<void(send_result&&)> done;
};

/// Returns whether the reply can be merged into a gathered answer.
bool
is_part(const send_result& result);

using send_id = std::uint64_t;

/// Share of a service's requests that goes to targets of one version.
struct rollout_share
{
    std::string version;
    std::uint64_t order = 0; ///< a new order resets the counts
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

    /// Sets the account in which connections opened from now on enter what they
    /// hold.
    void
    set_memory(std::shared_ptr<memory_account> memory);

    const pool_options&
    options() const
    {
        return options_;
    }

    /// Adds or updates a registration; one with an invalid address is ignored.
    /// The first one of a process in a newer era of the store may be an older
    /// copy, so it does not prolong a cold start.
    void
    put(const target_record& record, std::uint64_t era = 0);

    /// Removes a registration. The target stays available as a last resort for
    /// `config::lapsed_grace`, or less if `pool_options::leave_bound` is short.
    void
    remove(const std::string& id);

    /// Treats the targets whose registrations said that they leave as leaving
    /// from now on, whatever their registrations say. Call when the store was
    /// restored from a copy that may be older than those registrations.
    void
    keep_leaving();

    /// Sets the evacuated zones; their targets get no requests.
    void
    set_zones_out(std::vector<std::string> zones);

    /// Sets the VMs that share the budgets and connection limits.
    void
    set_vms(vm_counts vms);

    /// Sets the rules of the given services; other services keep theirs.
    void
    set_services(const std::vector<service_rule>& services);

    /// Divides the requests of a service between one version and the others,
    /// and counts the replies of both sides. Nullopt ends the division.
    void
    set_version_share(
        const std::string& service, std::optional<rollout_share> share);

    /// Returns the counts of replies under the current order.
    rollout_counts
    version_counts(const std::string& service) const;

    /// Chooses a target outside `tried`. Returns null if none can take a
    /// request now.
    target_state*
    choose(const std::string& service,
        const std::vector<const target_state*>& tried);

    /// Returns whether some target of the service outside `tried` can take a
    /// request, now or once it has capacity.
    bool
    is_served(const std::string& service,
        const std::vector<const target_state*>& tried) const;

    /// Returns how long the rates of the targets outside `tried` keep one more
    /// request waiting, behind those that wait already; zero if some rate
    /// allows it now. Returns nullopt if no target is usable.
    std::optional<duration>
    rate_wait(const std::string& service,
        const std::vector<const target_state*>& tried) const;

    /// Returns whether some target of the service can take a request now.
    bool
    has_room(const std::string& service,
        choice_scope scope = choice_scope::any_zone) const;

    /// Returns the zones with a healthy target of the service, or with a usable
    /// one if none is healthy; lapsed targets do not count.
    shard_reach
    reach_of(const std::string& service) const;

    /// Returns all targets of the service in a zone, usable or not.
    std::vector<const target_state*>
    targets_in(const std::string& service, const std::string& zone) const;

    /// Queues a request until a target of the service may have capacity, then
    /// calls `ready` from the event loop; `ready` returns whether the request
    /// used the capacity, and may queue again. After `stale_at` other requests
    /// take precedence; among the others, those of lower `priority` do. Returns
    /// false if the queue is full.
    bool
    wait_for_room(const std::string& service, monotonic_time stale_at,
        std::uint32_t priority, std::function<bool()> ready);

    /// Returns what the target wants of all VMs, or nullopt if that is what any
    /// VM assumes. For a while, the end of a rate limit is told as well.
    std::optional<shared_notice>
    notice_of(const std::string& target_id) const;

    /// Takes over what another VM knows of a target from a reply to a request
    /// sent after `sent_at`.
    void
    put_notice(const shared_notice& notice, monotonic_time sent_at);

    /// Returns whether the service has targets, all in other zones and all
    /// blocked as unreachable.
    bool
    is_out_of_reach(const std::string& service) const;

    /// Time of the last reply to this VM from a target in another zone.
    monotonic_time
    last_other_zone_reply_at() const
    {
        return last_other_zone_reply_at_;
    }

    /// Probes a random target of another zone, at most once per
    /// `config::reach_probe_period`.
    void
    probe_other_zone();

    /// Counts the first send of a request to the service for the extra-load
    /// budget.
    void
    count_first_send(const std::string& service);

    /// Returns whether the budget allows `sends` more hedges or retries.
    bool
    has_extra_budget(const std::string& service, std::size_t sends) const;

    /// Counts a hedge or retry. Returns false, and counts nothing, if the
    /// budget is spent.
    bool
    take_extra_budget(const std::string& service);

    /// Sends a request on an idle connection, or on a new one if there is none.
    send_id
    send(target_state& target, send_order&& order);

    /// Discards the result of a send: `done` is not called. The connection is
    /// closed if the send does not finish within `linger`.
    void
    abandon(send_id id, duration linger);

    /// Records that a send runs longer than expected.
    void
    record_slow(send_id id);

    /// Handles timeouts, health probes, idle connections and lapsed targets;
    /// called every `config::maintenance_period`.
    void
    tick();

    std::size_t
    size() const
    {
        return entries_.size();
    }

private:
    /// A process that has said that it leaves.
    struct departure
    {
        std::uint64_t started_ms = 0; ///< of its registration
        monotonic_time at{};          ///< of its last such reply
    };

    struct entry;
    struct pending_send;
    struct service_state;
    struct waiter;

    template <class Test>
    bool
    any_usable(const std::string& service, choice_scope scope, Test test) const;
    choice_context
    context_of(const service_state* service) const;
    /// Counts the VMs as seen from a target in `zone`.
    vm_split
    split_vms(const std::string& zone) const;
    /// Updates this VM's part of the target's connections.
    void
    plan_links_of(entry& e);
    /// Updates this VM's part of the rates that all VMs share.
    void
    plan_rate_of(entry& e);
    void
    plan_all();
    /// Wakes the requests that wait for a target with a limited rate.
    void
    wake_rate_limited();
    bool
    has_limited_rate(const service_state& service) const;
    void
    refresh_room(entry& e);
    void
    wake_waiter(service_state& service);
    void
    serve_waiter(service_state& service);
    /// Returns an idle connection of the target that is still open, or null.
    static std::shared_ptr<target_link>
    idle_link(const entry& e);
    void
    begin(entry& e, const std::shared_ptr<target_link>& link, send_id id);
    /// Calls `opened` from the event loop, with null if the connection failed.
    std::shared_ptr<target_link>
    open_link(entry& e,
        std::function<void(const std::shared_ptr<target_link>&)> opened);
    void
    on_result(send_id id, link_result&& result);
    void
    finish(send_id id, send_outcome outcome, bool may_have_run,
        target_reply&& reply);
    /// Counts and logs a reply that is no valid final one.
    void
    record_faulty(const entry& e, const link_result& result);
    target_state*
    choose_version(service_state& service, choice_context& context);
    void
    count_version(entry& e, send_outcome outcome, duration took,
        duration expected, monotonic_time now);
    /// Updates what this VM knows of a target from a reply to a request or
    /// probe sent at `sent_at`.
    void
    record_reply(entry& e, const target_reply& reply, monotonic_time sent_at);
    void
    record_notice(
        entry& e, const target_notice& notice, monotonic_time sent_at);
    void
    record_departure(entry& e);
    /// Whether the process of the registration has said that it leaves.
    bool
    has_departed(const target_record& record) const;
    void
    forget_departures(monotonic_time now);
    void
    log_rate(entry& e, monotonic_time now);
    void
    probe(entry& e);
    void
    on_probe(const std::string& id, std::uint64_t number, link_result&& result);
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
    std::shared_ptr<memory_account> memory_;
    vm_counts vms_;
    monotonic_time last_other_zone_reply_at_{};
    monotonic_time reach_probe_at_{};
    std::vector<std::string> zones_out_;
    std::unordered_map<std::string, std::unique_ptr<entry>> entries_;
    /// Dropped targets with connections or sends that are still open.
    std::vector<std::unique_ptr<entry>> retired_;
    /// By target id. Kept longer than the entries, since a registration can
    /// lapse and come back.
    std::unordered_map<std::string, departure> departures_;
    /// By target id: processes whose registrations said that they leave, as
    /// long as their targets are kept and for `config::departure_retention`.
    std::unordered_map<std::string, departure> announced_;
    std::unordered_map<std::string, std::unique_ptr<service_state>> services_;
    std::unordered_map<send_id, pending_send> sends_;
    send_id last_send_ = 0;
    std::uint64_t last_probe_ = 0;
    std::mt19937_64 random_;
};

} // namespace bramleymux
