#pragma once

#include "catalog.hpp"
#include "slow_threshold.hpp"
#include "version_evidence.hpp"
#include "version_test.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Moves of a service's traffic from one version to another: stepwise growth of
/// the new version's share, tests of the new version against the old one,
/// withdrawal of a faulty version, and the choice of a version for each query.
namespace bramleymux
{

enum class move_phase
{
    pending,  ///< before its start time
    stepping, ///< before the last step
    soaking,  ///< at the last step, still under test
    done,
    withdrawn,
    count
};

inline constexpr name_table<move_phase> move_phase_names{
    "pending", "stepping", "soaking", "done", "withdrawn"};

/// Condition that the next step waits for.
enum class move_wait
{
    none,
    start,
    step_time,
    capacity,       ///< limits of the new targets are below the next share
    max_share,      ///< limit set for the version in the table
    evidence,       ///< too few replies of the new version at this share
    route_evidence, ///< too few replies on one route
    soak,
    count
};

inline constexpr name_table<move_wait> move_wait_names{"none", "start",
    "step_time", "capacity", "max_share", "evidence", "route_evidence", "soak"};

/// Permanent end of a move before its completion.
struct withdrawal
{
    std::string move;
    std::string cause;
    std::string by;         ///< VM id, or "table"
    std::int64_t at_ms = 0; ///< Unix time
};

/// Evidence of one route and the tests of it.
struct route_monitor
{
    route_handle route; ///< invalid for the sum over all routes
    std::string name;
    evidence_key new_key = 0;
    evidence_key old_key = 0;
    slow_threshold threshold;
    evidence_cell counted_new; ///< observed growth already in `counts`
    evidence_counts counted_old;
    monotonic_time counted_at;
    std::uint64_t old_before_move = 0; ///< old replies before the start
    route_counts counts;
    test_windows windows;
};

/// Progress and evidence of one move, as known to this VM.
struct move_monitor
{
    move_row row;
    service_handle service;
    version_handle from;
    version_handle to;
    /// Evidence group by target index.
    std::unordered_map<std::uint16_t, std::size_t> target_groups;
    std::vector<route_monitor> routes;
    route_monitor all; ///< sum over all routes
    move_phase phase = move_phase::pending;
    std::size_t step = 0;
    monotonic_time step_since;
    std::int64_t step_since_ms = 0; ///< Unix time
    double share = 0.0;             ///< of queries that use the new version
    double tested_share = 0.0; ///< `share` when the test windows were started
    move_wait wait = move_wait::start;
    std::string wait_detail;
    bool at_risk = false;
    std::string risk;
    std::int64_t estimated_done_ms = 0; ///< Unix time
    double replies_per_second = 0.0;    ///< of both versions, smoothed
    std::uint64_t rate_replies = 0;     ///< reply count at the last rate update
    monotonic_time rate_updated_at;
    monotonic_time rate_since; ///< start of the rate measurement
};

/// State of all moves on this VM. Not synchronized.
struct version_moves
{
    std::string vm; ///< this VM's id
    evidence_pool pool;
    std::vector<move_monitor> monitors; ///< in the order of the table rows
    std::map<std::string, withdrawal> withdrawals; ///< by move name
};

/// Present limits on the share of a move's new version.
struct move_inputs
{
    double capacity_share = 0.0; ///< that the new targets can carry
    double max_share = 1.0;      ///< limit set for the version in the table
    duration ramp_left{};        ///< until the new targets reach full limits
};

enum class move_event_kind
{
    step,
    withdrawn,
    at_risk,
    done,
    count
};

struct move_event
{
    move_event_kind kind = move_event_kind::count;
    std::string move;
    std::string detail; ///< "share=..." for a step, else free text
};

/// One instant, on the monotonic and the wall clock.
struct move_clock
{
    monotonic_time now;
    std::int64_t unix_ms = 0;
};

/// Applies the moves of a new table: adds new ones, removes those that the
/// table no longer has, and ends those that it marks as withdrawn or done.
/// Withdrawals already known stay in force whatever the table says.
void
update_moves(version_moves& moves, const catalog& c, const move_clock& clock);

/// Outcome of one sub-request, as observed by the entry VM.
struct version_reply
{
    service_handle service;
    version_handle version;
    route_handle route;
    target_handle target;
    miss_reason error = miss_reason::none;
    run_state run = run_state::run;
    duration elapsed{}; ///< from the send to the reply or its cancellation
};

/// Counts a reply as evidence for the service's active move, if there is one.
void
observe_reply(version_moves& moves, const version_reply& reply);

/// Tests the new version of each move, advances or withdraws the move, and
/// updates its estimated end. `inputs` is by move name; a move without inputs
/// gets no share. Call at least once every `config::shortest_test_window`.
std::vector<move_event>
evaluate_moves(version_moves& moves,
    const std::map<std::string, move_inputs>& inputs, const move_clock& clock);

/// Withdraws a move for good, whether the fault was found here or reported by a
/// peer. Returns false if it was withdrawn already.
bool
withdraw(version_moves& moves, const withdrawal& w);

/// Returns the withdrawals that the table does not hold yet.
std::vector<withdrawal>
unsaved_withdrawals(const version_moves& moves);

/// Returns the names of moves that are done here but active in the table.
std::vector<std::string>
unsaved_completions(const version_moves& moves);

/// Encodes this VM's own evidence and the phase and step of each active move,
/// to be sent to all peers every `config::evidence_period`.
std::vector<std::uint8_t>
encode_evidence(const version_moves& moves);

/// Merges a peer's evidence and adopts its progress: a withdrawal, a completion
/// or a later step. Returns false and changes nothing if the message is
/// malformed.
bool
receive_evidence(version_moves& moves, const std::string& peer,
    std::uint64_t incarnation, const std::vector<std::uint8_t>& message,
    const move_clock& clock);

/// Division of a service's queries between two versions.
struct version_share
{
    version_handle base;
    version_handle candidate; ///< invalid if only `base` serves
    double share = 0.0;       ///< of queries that use `candidate`
    /// Whether `candidate` may also serve as the fallback of `base`.
    bool candidate_proven = false;
    std::uint64_t seed = 0; ///< for the hash of query ids, the same on all VMs
};

/// Returns the shares by service handle index.
std::vector<version_share>
version_shares(const version_moves& moves, const catalog& c);

struct version_choice
{
    version_handle preferred;
    /// For shards without a replica of `preferred`. Invalid if no other version
    /// may be used, for example because it is unproven or withdrawn.
    version_handle fallback;
};

/// Chooses by the hash of the query id, so every hop of a query that has the
/// same shares makes the same choice.
version_choice
choose_version(const version_share& share, std::string_view query_id);

struct searcher_capacity
{
    std::uint32_t new_limit = 0; ///< current limits of the new targets
    std::uint32_t old_limit = 0; ///< table limits of the old targets
};

/// Returns the share of traffic that the new targets of the weakest searcher
/// can carry, or 0 if there are no searchers.
double
carried_share(const std::vector<searcher_capacity>& searchers);

struct route_status
{
    std::string route;
    evidence_counts new_version;
    evidence_counts old;
};

/// State of a move as reported by the admin API. Times are Unix times.
struct move_status
{
    move_row row;
    move_phase phase = move_phase::count;
    double share = 0.0;      ///< in force
    double step_share = 0.0; ///< of the step, before limits
    move_wait wait = move_wait::none;
    std::string wait_detail;
    bool at_risk = false;
    std::string risk;
    std::string cause; ///< of a withdrawal
    std::string withdrawn_by;
    std::int64_t withdrawn_at_ms = 0;
    std::int64_t step_since_ms = 0;
    std::int64_t estimated_done_ms = 0;
    std::vector<route_status> routes;
};

std::vector<move_status>
status_of(const version_moves& moves);

nlohmann::json
to_json(const move_status& status);

} // namespace bramleymux
