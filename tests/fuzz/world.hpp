#pragma once

#include "oracle.hpp"

#include "coverage.hpp"
#include "distribution.hpp"
#include "fake_platform.hpp"
#include "idempotency.hpp"
#include "latency.hpp"
#include "membership.hpp"
#include "ownership.hpp"
#include "routing.hpp"
#include "target_limits.hpp"
#include "version_move.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates several VMs in one thread: their decision states run on a virtual
/// clock, with fakes of the network, the targets and the platform. Commands
/// inject faults and load. A run depends on its seed, breakage and commands
/// only.
namespace bramleymux::fuzz
{

using namespace std::chrono_literals;

/// Deliberate faults in the code around the decision modules. Tests use them to
/// prove that the oracle detects violations.
enum class breakage
{
    none,
    lease_clock_stops,   ///< the lease does not expire while the VM is paused
    no_lease_check,      ///< an owner sends without a lease
    no_foreign_count,    ///< work left by the previous owner is not counted
    deadline_past_lease, ///< requests to targets outlive the owner's lease
    restart_unnoticed,   ///< the instance id is not passed on
    reported_limit_lost, ///< the target's own limit is not passed on
    unchecked_snapshot,  ///< a reply's snapshot is not checked
    unchecked_id,        ///< a reply's request id is not checked
    counts_every_reply,  ///< coverage counts shards that did not answer
    zone_out_ignored,    ///< a zone's `out` in the catalog is ignored
    drain_ignored,       ///< a target's `draining` in the catalog is ignored
    report_ignored,      ///< a target's report that it drains is ignored
    lost_is_not_run,     ///< a lost reply is reported as not_run
    stop_without_wait,   ///< a VM stops without waiting for its open work
    any_version_adopted, ///< a table is adopted whatever its version
    offers_dropped,      ///< VMs don't send tables to each other
    unconditional_claim, ///< a claim overwrites an existing record
    lost_frees_key,      ///< a key is freed when the reply was lost
    no_evidence,         ///< replies are not recorded as evidence on versions
    share_ignored,       ///< queries use any version, whatever its share
    count
};

enum class command_kind
{
    queries,
    lose_replies,
    late_replies,
    cross_replies, ///< replies repeat the body of the previous reply
    truncate_replies,
    stale_replies, ///< replies have the rows of the previous snapshot
    shed,
    drain,     ///< starts or ends draining of a target
    turn_cold, ///< slows a target down, or ends that
    restart_target,
    report_limit,
    repartition, ///< a snapshot with another number of shards
    bad_version, ///< the new version fails all requests, or recovers
    edit_limit,
    edit_drain,
    edit_zone,
    racing_edits, ///< an edit is written between read and write of another
    outage,       ///< no VM can reach the platform
    lose_platform_reply, ///< an edit is written, but its reply is lost
    once,                ///< a non-idempotent request
    once_twice,          ///< two requests with the same idempotency key
    lose_claim,          ///< a claim is written, but its reply is lost
    delay_claim,         ///< a claim is written late and its reply is lost
    cut_watchers,        ///< one VM can't reach the platform
    pause_vm,
    kill_vm,   ///< ends without a graceful stop
    stop_vm,   ///< graceful stop
    start_vm,  ///< starts one of the VMs that have ended
    cut_zone,  ///< a zone can't reach the other one or the platform
    bad_links, ///< peer messages are lost, duplicated and reordered
    wait,
    count
};

inline constexpr name_table<command_kind> command_kind_names{"queries",
    "lose_replies", "late_replies", "cross_replies", "truncate_replies",
    "stale_replies", "shed", "drain", "turn_cold", "restart_target",
    "report_limit", "repartition", "bad_version", "edit_limit", "edit_drain",
    "edit_zone", "racing_edits", "outage", "lose_platform_reply", "once",
    "once_twice", "lose_claim", "delay_claim", "cut_watchers", "pause_vm",
    "kill_vm", "stop_vm", "start_vm", "cut_zone", "bad_links", "wait"};

struct command
{
    command_kind kind = command_kind::wait;
    unsigned subject = 0; ///< index of a target, VM or zone, modulo their count
    unsigned amount = 0;  ///< duration, count or value; depends on `kind`
    unsigned wait_ms = 0; ///< virtual time that passes after the command
};

/// A target with its scripted faults.
struct fake_target
{
    std::string name;
    std::string zone;
    std::string version;
    unsigned incarnation = 1; ///< part of the instance id
    bool draining = false;
    std::uint32_t reported_limit = 0; ///< 0 = none
    unsigned requests_to_shed = 0;    ///< number of upcoming requests
    double slowdown = 1.0;            ///< factor on the service time
    // Numbers of upcoming replies that get the fault.
    unsigned replies_to_lose = 0;
    unsigned replies_to_delay = 0;
    unsigned replies_to_cross = 0;
    unsigned replies_to_truncate = 0;
    unsigned replies_to_make_stale = 0;
    std::vector<held_snapshot> snapshots;
    std::string last_body; ///< of the previous reply; crossed replies repeat it

    std::string
    instance() const
    {
        return name + "#" + std::to_string(incarnation);
    }
};

/// A sub-request at the VM that owns its target.
struct owned_job
{
    sub_request request;
    std::string entry; ///< id of the entry VM
    std::uint64_t entry_incarnation = 0;
    std::string wire_id; ///< empty while queued
    monotonic_time sent;
};

/// A sub-request at its entry VM that waits for a reply.
struct in_flight_request
{
    target_handle target;
    std::vector<target_handle> tried; ///< includes `target`
    unsigned attempt = 1;
    bool hedged = false; ///< has a hedge or is one
    monotonic_time sent;
};

/// A query at its entry VM.
struct open_query
{
    std::string id;
    monotonic_time deadline;
    answer_builder builder;
    version_choice versions;
    std::map<std::uint64_t, in_flight_request> open; ///< by sub-request id
};

/// A non-idempotent request at its entry VM.
struct open_write
{
    std::string attempt; ///< id of this attempt; several may share a key
    claim claimed;
    monotonic_time deadline;
    std::vector<target_handle> tried;
};

/// One VM's access to the shared platform.
class vm_platform : public platform_api
{
public:
    vm_platform(fake_platform& shared, breakage fault)
        : shared_(shared), fault_(fault)
    {
    }

    bool reachable = true; ///< calls fail as unavailable otherwise

    platform_result<object>
    get(const std::string& key) override;
    platform_result<std::uint64_t>
    put(const std::string& key, const nlohmann::json& value,
        std::uint64_t expected) override;
    platform_result<void>
    remove(const std::string& key, std::uint64_t expected) override;
    platform_result<std::vector<object>>
    list(const std::string& prefix) override;
    platform_result<std::optional<object>>
    watch(
        const std::string& key, std::uint64_t after, duration timeout) override;
    platform_result<std::vector<vm_list_entry>>
    vms() override;

private:
    fake_platform& shared_;
    breakage fault_;
};

/// The decision states of one VM and the state that a server process keeps
/// around them.
struct fuzz_vm
{
    vm_identity self;
    membership_state members;
    distribution_state tables;
    ownership_state ownership;
    std::mt19937_64 random;
    monotonic_time paused_until{};
    std::vector<std::function<void()>> deferred_events; ///< while paused
    bool stopping = false;              ///< advertises that it drains
    bool gone = false;                  ///< has stopped; the world erases it
    monotonic_time watcher_cut_until{}; ///< no platform access until then
    monotonic_time stop_at{};           ///< refuses new work from then on

    name_registries names;
    std::shared_ptr<const catalog> topology;
    std::shared_ptr<const routing_index> routes;
    std::vector<target_report> reports;                 ///< by target handle
    std::map<std::uint16_t, owned_target_state> limits; ///< by target index
    std::map<std::uint64_t, owned_job> jobs;            ///< by queue key
    /// Entry VM and id of the sub-requests received.
    std::set<std::pair<std::string, std::uint64_t>> seen_requests;
    std::map<std::uint16_t, latency_mean> latency;    ///< by target index
    std::map<std::uint16_t, std::uint32_t> in_flight; ///< by target index
    latency_sketch route_latency;
    extra_load_budget extra;
    version_moves moves;
    monotonic_time next_evidence{};
    std::size_t withdrawals_sent = 0;
    retry_budget retries;
    std::map<std::string, open_query> queries; ///< by query id
    /// Receipt of the last granted view ack; used by breakages only.
    monotonic_time last_ack{};
    std::set<std::string> leased_targets;
    vm_platform platform;
    idempotency_store records;
    std::map<std::uint64_t, open_write> writes; ///< by sub-request id

    fuzz_vm(vm_identity identity, std::uint64_t seed, monotonic_time now,
        vm_platform platform_view);
};

/// The simulated fleet with its clock, links, targets and platform.
class world
{
public:
    /// Starts all VMs and runs until the fleet is steady (6 s).
    world(std::uint64_t seed, breakage fault);

    /// Applies the command, then advances the clock by its `wait_ms`.
    void
    apply(const command& c);

    /// Clears the pending faults of single requests and replies and advances
    /// the clock by 12 s, so that open work ends and bounds expire.
    void
    settle();

    oracle checker;

private:
    // Clock and links.
    /// Advances the virtual clock: runs the events that are due and ticks the
    /// VMs.
    void
    advance(duration time);
    /// Runs the action after the delay.
    void
    schedule(duration delay, std::function<void()> action);
    /// Runs the action in the VM after the delay, unless that incarnation has
    /// ended. A paused VM runs it when it resumes.
    void
    schedule_on_vm(const std::string& vm, std::uint64_t incarnation,
        duration delay, std::function<void(fuzz_vm&)> action);
    /// Delivers a peer message. While links are bad, it may be lost, duplicated
    /// or reordered.
    void
    transmit(const fuzz_vm& from, const std::string& to,
        std::function<void(fuzz_vm&)> action);
    bool
    can_reach(const fuzz_vm& from, const fuzz_vm& to) const;
    bool
    can_reach_platform(const fuzz_vm& vm) const;
    /// Returns true with probability `p`.
    bool
    chance(double p);
    /// Returns a uniformly random duration, bounds included.
    duration
    between(std::chrono::microseconds low, std::chrono::microseconds high);

    // Fleet.
    void
    start_vm(const std::string& id, const std::string& zone);
    void
    kill_vm(fuzz_vm& vm);
    void
    finish_stop(fuzz_vm& vm);
    void
    tick(fuzz_vm& vm);
    void
    poll_targets(fuzz_vm& vm);
    void
    poll_platform(fuzz_vm& vm);
    /// Passes membership changes of the own zone to the ownership state.
    void
    update_view(fuzz_vm& vm);
    void
    send(fuzz_vm& vm, const membership_messages& messages);
    void
    send(fuzz_vm& vm, ownership_actions actions);
    void
    apply_distribution(fuzz_vm& vm, const distribution_result& result);
    void
    apply_new_table(fuzz_vm& vm);
    /// Applies a target report; an `own` one, from a poll by this VM, is also
    /// sent to the live peers.
    void
    record_report(fuzz_vm& vm, const target_report& report, bool own);
    /// Returns a running VM for the subject of a command.
    fuzz_vm&
    select_vm(unsigned subject);
    fake_target&
    target_of(const std::string& name);

    // Entry VM.
    void
    start_query(fuzz_vm& vm);
    /// Returns the targets as routing sees them. Targets of versions that are
    /// not in `versions` are unusable; with no preferred one, all may be used.
    target_views
    views_of(const fuzz_vm& vm, const version_choice& versions) const;
    /// Returns the versions that the query may use by the shares of the version
    /// move. Without a preferred one, it may use any.
    version_choice
    versions_of(const fuzz_vm& vm, const std::string& query) const;
    /// Records the reply as evidence on the version of its target and reports a
    /// failed reply of the faulty version to the oracle.
    void
    observe(
        fuzz_vm& vm, const in_flight_request& batch, const sub_reply& reply);
    void
    run_moves(fuzz_vm& vm);
    /// Sends the sub-requests of the plan to the owners of their targets.
    void
    submit(fuzz_vm& vm, open_query& query, const query_plan& plan,
        const std::vector<target_handle>& tried, unsigned attempt, bool hedge);
    void
    on_sub_reply(fuzz_vm& vm, sub_reply reply);
    void
    send_hedges(fuzz_vm& vm, open_query& query);
    void
    retry(fuzz_vm& vm, open_query& query, const in_flight_request& failed,
        const std::vector<shard_id>& shards, run_state run);
    void
    finish_queries(fuzz_vm& vm);
    void
    deliver_answer(open_query& query);

    // Non-idempotent requests.
    void
    start_write(fuzz_vm& vm, unsigned key);
    void
    send_write(fuzz_vm& vm, open_write call);
    bool
    on_write_reply(fuzz_vm& vm, const sub_reply& reply);
    void
    finish_write(fuzz_vm& vm, const open_write& call, run_state run);
    /// Ends requests past their deadline with an unknown outcome.
    void
    expire_writes(fuzz_vm& vm);
    call_time
    call_now() const;
    /// Passes a sub-request to the VM that owns its target.
    void
    dispatch(fuzz_vm& vm, const owned_job& job);

    // Owner.
    /// Returns the end of the VM's lease on the target, monotonic_time::min()
    /// if it has none.
    monotonic_time
    lease_end(const fuzz_vm& vm, const std::string& target) const;
    owned_target_state&
    limits_of(fuzz_vm& vm, const catalog_target& row);
    /// Returns the row as entry VMs and owners use it under the breakage.
    catalog_target
    effective_row(const catalog_target& row) const;
    /// Receives a sub-request as the owner of its target.
    void
    accept(fuzz_vm& vm, owned_job job);
    void
    refuse(fuzz_vm& vm, std::uint64_t key, miss_reason reason);
    void
    refuse(fuzz_vm& vm, const queue_refusals& refused);
    /// Sends queued jobs while the target's limit allows; refuses all of them
    /// without a lease.
    void
    process_queue(fuzz_vm& vm, const catalog_target& row);
    void
    send_job(fuzz_vm& vm, std::uint64_t key, const catalog_target& row);
    void
    finish_job(fuzz_vm& vm, std::uint64_t key, sub_reply reply, bool sent);
    void
    reply_to_entry(fuzz_vm& vm, const owned_job& job, sub_reply reply);

    // Targets.
    struct wire_request
    {
        std::string id;
        std::string vm;                ///< owner that sends it
        std::uint64_t incarnation = 0; ///< of the owner
        std::uint64_t key = 0;         ///< of its job
        sub_request request;
        duration remaining{}; ///< until its deadline
    };

    void
    on_target_request(const wire_request& wire);
    void
    respond(
        const wire_request& wire, int status, std::string body, duration delay);
    void
    respond_rows(const wire_request& wire, fake_target& target);
    void
    on_response(fuzz_vm& vm, const wire_request& wire, int status,
        const std::string& body);

    // Platform.
    /// Patches a row of the stored table, as an operator does.
    void
    edit(const std::string& row, const nlohmann::json& fields);
    void
    record_accepted_table();
    void
    apply_target_fault(const command& c, fake_target& target);
    void
    restart(fake_target& target);
    void
    apply_edit(const command& c, const fake_target& target);
    void
    apply_fleet_fault(const command& c);
    bool
    is_spare(const fuzz_vm& vm) const;
    void
    start_missing_vm();
    void
    repartition();

    struct event
    {
        monotonic_time at;
        std::uint64_t order; ///< of scheduling; breaks ties
        std::function<void()> action;
    };

    struct later
    {
        bool
        operator()(const event& a, const event& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    const breakage fault_;
    std::mt19937_64 random_;
    monotonic_time now_{1h};
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t order_ = 0;
    std::map<std::string, std::unique_ptr<fuzz_vm>> vms_;
    std::vector<vm_list_entry> vm_list_;
    std::vector<fake_target> targets_;
    fake_platform platform_;
    std::uint64_t recorded_version_ = 0; ///< newest table the oracle knows
    bool bad_version_ = false;           ///< targets of v2 fail all requests
    snapshot_sequence newest_snapshot_ = 0;
    std::string cut_zone_; ///< isolated until `cut_until_`
    monotonic_time cut_until_{};
    monotonic_time outage_until_{};
    monotonic_time bad_links_until_{};
    std::uint64_t next_id_ = 0;
    std::uint64_t next_edit_ = 0;
    std::uint64_t next_incarnation_ = 1764831600000000U; ///< Unix time, us
    double query_probability_ = 0.5; ///< that a VM starts a query in a tick
    monotonic_time next_tick_{};
};

} // namespace bramleymux::fuzz
