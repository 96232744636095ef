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

/// The decision states of several VMs on a virtual clock, with fakes of the
/// network, the targets and the platform. Commands inject faults and load.
namespace bramleymux::fuzz
{

using namespace std::chrono_literals;

/// Deliberate faults in the code around the decision modules, to show that the
/// oracle finds them.
enum class breakage
{
    none,
    lease_clock_stops,   ///< the lease does not run down while the VM is paused
    no_lease_check,      ///< an owner sends without a lease
    no_foreign_count,    ///< work left by the former owner is not counted
    deadline_past_lease, ///< targets work on after the owner's lease
    restart_unnoticed,   ///< the instance id is not passed on
    reported_limit_lost, ///< the target's own limit is not passed on
    unchecked_snapshot,  ///< a reply's snapshot is not compared
    unchecked_id,        ///< a reply's request id is not compared
    counts_every_reply,  ///< coverage counts shards that were only asked
    zone_out_ignored,    ///< the catalog's `out` is dropped
    drain_ignored,       ///< the catalog's `draining` is dropped
    report_ignored,      ///< a target's word that it is leaving is dropped
    lost_is_not_run,     ///< a lost reply is called not_run
    stop_without_wait,   ///< a VM stops while it has work at targets
    any_version_adopted, ///< a table is adopted whatever its version
    offers_dropped,      ///< tables are not passed to other VMs
    unconditional_claim, ///< a claim replaces the record of another
    lost_frees_key,      ///< a key is freed when the reply was lost
    no_evidence,         ///< replies of versions are not observed
    share_ignored,       ///< queries use any version
    count
};

enum class command_kind
{
    queries,
    lose_replies,
    late_replies,
    cross_replies,
    truncate_replies,
    stale_replies,
    shed,
    drain,
    turn_cold,
    restart_target,
    report_limit,
    repartition,
    bad_version,
    edit_limit,
    edit_drain,
    edit_zone,
    racing_edits,
    outage,
    lose_platform_reply,
    once,
    once_twice,
    lose_claim,
    delay_claim,
    cut_watchers,
    pause_vm,
    kill_vm,
    stop_vm,
    start_vm,
    cut_zone,
    bad_links,
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
    unsigned subject = 0; ///< target, VM or zone, modulo their number
    unsigned amount = 0;
    unsigned wait_ms = 0; ///< time that passes afterwards
};

/// A target with its scripted faults.
struct fake_target
{
    std::string name;
    std::string zone;
    std::string version;
    unsigned run = 1; ///< part of the instance id
    bool draining = false;
    std::uint32_t reported_limit = 0;
    unsigned sheds = 0; ///< next requests are shed
    double slowness = 1.0;
    unsigned lose = 0;
    unsigned late = 0;
    unsigned cross = 0;
    unsigned truncate = 0;
    unsigned stale = 0;
    std::vector<held_snapshot> snapshots;
    std::string last_body; ///< of the last reply, for crossed ones

    std::string
    instance() const
    {
        return name + "#" + std::to_string(run);
    }
};

/// A sub-request at the VM that owns its target.
struct owned_job
{
    sub_request request;
    std::string entry;
    std::uint64_t entry_incarnation = 0;
    std::string wire_id;
    monotonic_time sent;
};

struct open_batch
{
    target_handle target;
    std::vector<target_handle> tried;
    unsigned attempt = 1;
    bool hedged = false;
    monotonic_time sent;
};

struct open_query
{
    std::string id;
    monotonic_time deadline;
    answer_builder builder;
    version_choice versions;
    std::map<std::uint64_t, open_batch> open;
};

/// A non-idempotent request at its entry VM.
struct once_call
{
    std::string attempt;
    claim claimed;
    monotonic_time deadline;
    std::vector<target_handle> tried;
};

/// The platform as one VM reaches it.
class vm_platform : public platform_api
{
public:
    vm_platform(fake_platform& shared, breakage fault)
        : shared_(shared), fault_(fault)
    {
    }

    bool reachable = true;

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

struct fuzz_vm
{
    vm_identity self;
    membership_state members;
    distribution_state tables;
    ownership_state ownership;
    std::mt19937_64 random;
    monotonic_time paused_until{};
    std::vector<std::function<void()>> waiting; ///< events while paused
    bool stopping = false;
    bool gone = false;
    monotonic_time watcher_cut_until{};
    monotonic_time stop_at{};

    name_registries names;
    std::shared_ptr<const catalog> topology;
    std::shared_ptr<const routing_index> routes;
    std::vector<target_report> reports; ///< by target handle
    std::map<std::uint16_t, target_state> limits;
    std::map<std::uint64_t, owned_job> jobs;
    std::set<std::pair<std::string, std::uint64_t>> seen_requests;
    std::map<std::uint16_t, latency_mean> latency;
    std::map<std::uint16_t, std::uint32_t> in_flight;
    latency_sketch route_latency;
    extra_load_budget extra;
    version_moves moves;
    monotonic_time next_evidence{};
    std::size_t withdrawals_sent = 0;
    retry_budget retries;
    std::map<std::string, open_query> queries;
    monotonic_time last_ack{};
    std::set<std::string> held; ///< targets under a lease
    vm_platform platform;
    idempotency_store records;
    std::map<std::uint64_t, once_call> once; ///< by sub-request

    fuzz_vm(vm_identity identity, std::uint64_t seed, monotonic_time now,
        vm_platform platform_view);
};

class world
{
public:
    world(std::uint64_t seed, breakage fault);

    void
    apply(const command& c);

    /// Ends all faults and lets everything settle.
    void
    settle();

    oracle judge;

private:
    // Clock and links.
    void
    run(duration time);
    void
    at(duration delay, std::function<void()> action);
    void
    at_vm(const std::string& vm, std::uint64_t incarnation, duration delay,
        std::function<void(fuzz_vm&)> action);
    void
    transmit(const fuzz_vm& from, const std::string& to,
        std::function<void(fuzz_vm&)> action);
    bool
    can_reach(const fuzz_vm& from, const fuzz_vm& to) const;
    bool
    can_reach_platform(const fuzz_vm& vm) const;
    bool
    chance(double p);
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
    void
    update_view(fuzz_vm& vm);
    void
    send(fuzz_vm& vm, const membership_messages& messages);
    void
    send(fuzz_vm& vm, ownership_actions actions);
    void
    take(fuzz_vm& vm, const distribution_result& result);
    void
    take_table(fuzz_vm& vm);
    void
    take_report(fuzz_vm& vm, const target_report& report, bool own);
    fuzz_vm&
    some_vm(unsigned subject);
    fake_target&
    target_of(const std::string& name);

    // Entry.
    void
    start_query(fuzz_vm& vm);
    target_views
    views_of(const fuzz_vm& vm, const version_choice& versions) const;
    version_choice
    versions_of(const fuzz_vm& vm, const std::string& query) const;
    void
    observe(fuzz_vm& vm, const open_batch& batch, const sub_reply& reply);
    void
    run_moves(fuzz_vm& vm);
    void
    submit(fuzz_vm& vm, open_query& query, const query_plan& plan,
        const std::vector<target_handle>& tried, unsigned attempt, bool hedge);
    void
    on_sub_reply(fuzz_vm& vm, sub_reply reply);
    void
    send_hedges(fuzz_vm& vm, open_query& query);
    void
    retry(fuzz_vm& vm, open_query& query, const open_batch& failed,
        const std::vector<shard_id>& shards, run_state run);
    void
    finish_queries(fuzz_vm& vm);
    void
    give_answer(open_query& query);

    // Non-idempotent requests.
    void
    start_once(fuzz_vm& vm, unsigned key);
    void
    send_once(fuzz_vm& vm, once_call call);
    bool
    on_once_reply(fuzz_vm& vm, const sub_reply& reply);
    void
    finish_once(fuzz_vm& vm, const once_call& call, run_state run);
    void
    expire_once(fuzz_vm& vm);
    call_time
    call_now() const;
    void
    dispatch(fuzz_vm& vm, const owned_job& job);

    // Owner.
    monotonic_time
    lease_end(const fuzz_vm& vm, const std::string& target) const;
    target_state&
    limits_of(fuzz_vm& vm, const catalog_target& row);
    catalog_target
    seen_row(const catalog_target& row) const;
    void
    accept(fuzz_vm& vm, owned_job job);
    void
    refuse(fuzz_vm& vm, std::uint64_t key, miss_reason reason);
    void
    refuse(fuzz_vm& vm, const queue_refusals& refused);
    void
    pump(fuzz_vm& vm, const catalog_target& row);
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
        std::string vm;
        std::uint64_t incarnation = 0;
        std::uint64_t key = 0;
        sub_request request;
        duration remaining{};
    };

    void
    arrive(const wire_request& wire);
    void
    respond(
        const wire_request& wire, int status, std::string body, duration delay);
    void
    respond_rows(const wire_request& wire, fake_target& target);
    void
    on_response(fuzz_vm& vm, const wire_request& wire, int status,
        const std::string& body);

    // Platform.
    void
    edit(const std::string& row, const nlohmann::json& fields);
    void
    note_accepted();
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
        std::uint64_t order;
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
    std::vector<vm_list_entry> list_;
    std::vector<fake_target> targets_;
    fake_platform platform_;
    std::uint64_t noted_version_ = 0;
    bool bad_version_ = false;
    snapshot_sequence newest_snapshot_ = 0;
    std::string cut_zone_;
    monotonic_time cut_until_{};
    monotonic_time outage_until_{};
    monotonic_time bad_links_until_{};
    std::uint64_t next_id_ = 0;
    std::uint64_t next_edit_ = 0;
    std::uint64_t next_incarnation_ = 1764831600000000U;
    double load_ = 0.5; ///< queries of each VM in a tick
    monotonic_time next_tick_{};
};

} // namespace bramleymux::fuzz
