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

/// Moves of a service's traffic from one version to another: steps, tests of
/// the new version, withdrawal, and the version of each query.
namespace bramleymux
{

enum class move_phase
{
    pending,  ///< before its start
    stepping, ///< share below the last step
    soaking,  ///< at the last step, watched before it is done
    done,
    withdrawn,
    count
};

inline constexpr name_table<move_phase> move_phase_names{
    "pending", "stepping", "soaking", "done", "withdrawn"};

/// What the next step waits for.
enum class move_wait
{
    none,
    start,
    step_time,
    capacity,       ///< the new targets' limits do not carry the next share
    max_share,      ///< bound of the version's row
    evidence,       ///< too few replies of the new version at this share
    route_evidence, ///< too few replies on one route
    soak,
    count
};

inline constexpr name_table<move_wait> move_wait_names{"none", "start",
    "step_time", "capacity", "max_share", "evidence", "route_evidence", "soak"};

struct withdrawal
{
    std::string move;
    std::string cause;
    std::string by; ///< VM id, or "table"
    std::int64_t at_ms = 0;
};

struct route_monitor
{
    route_handle route; ///< invalid for all routes together
    std::string name;
    evidence_key new_key = 0;
    evidence_key old_key = 0;
    slow_threshold threshold;
    evidence_cell seen_new; ///< flow that is in `counts`
    evidence_counts seen_old;
    monotonic_time seen_at;
    std::uint64_t old_before_move = 0; ///< replies
    route_counts counts;
    test_windows windows;
};

struct move_monitor
{
    move_row row;
    service_handle service;
    version_handle from;
    version_handle to;
    std::unordered_map<std::uint16_t, std::size_t> target_groups;
    std::vector<route_monitor> routes;
    route_monitor all; ///< all routes together
    move_phase phase = move_phase::pending;
    std::size_t step = 0;
    monotonic_time step_since;
    std::int64_t step_since_ms = 0;
    double share = 0.0;
    double tested_share = 0.0; ///< when the test windows were started
    move_wait wait = move_wait::start;
    std::string wait_detail;
    bool at_risk = false;
    std::string risk;
    std::int64_t estimated_done_ms = 0;
    double replies_per_second = 0.0; ///< of both versions
    std::uint64_t rated_replies = 0;
    monotonic_time rated_at;
    monotonic_time rated_since;
};

struct version_moves
{
    std::string vm; ///< this VM's id
    evidence_pool pool;
    std::vector<move_monitor> monitors; ///< by row order
    std::map<std::string, withdrawal> withdrawals;
};

/// What the targets of the new version can carry now.
struct move_inputs
{
    double capacity_share = 0.0; ///< share of the service's traffic
    double max_share = 1.0;      ///< of the version's row
    duration ramp_left{};        ///< until its targets have their full limits
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
    std::string detail; ///< "key=value ..." pairs
};

struct move_clock
{
    monotonic_time now;
    std::int64_t unix_ms = 0;
};

/// Takes over a table: new moves, withdrawn and done ones. Withdrawals that
/// are known already stay whatever the table says.
void
update_moves(version_moves& moves, const catalog& c, const move_clock& clock);

/// Outcome of one sub-request, as the entry VM saw it.
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

/// Counts a reply for the service's active move, if there is one.
void
observe_reply(version_moves& moves, const version_reply& reply);

/// Tests, steps and estimates of all moves, by move name. Call it every
/// `config::shortest_test_window` or more often.
std::vector<move_event>
evaluate_moves(version_moves& moves,
    const std::map<std::string, move_inputs>& inputs, const move_clock& clock);

/// Withdraws a move for good; false when it was withdrawn already. Use it for
/// a peer's word as well.
bool
withdraw(version_moves& moves, const withdrawal& w);

/// Withdrawals that the table does not hold yet.
std::vector<withdrawal>
unsaved_withdrawals(const version_moves& moves);

/// Moves that are done but still active in the table.
std::vector<std::string>
unsaved_done(const version_moves& moves);

/// The VM's own evidence and the phase of each move, for all peers every
/// `config::evidence_period`.
std::vector<std::uint8_t>
encode_evidence(const version_moves& moves);

/// Merges a peer's evidence. A peer's withdrawal, later step or done counts
/// here too. False when malformed; nothing is changed then.
bool
receive_evidence(version_moves& moves, const std::string& peer,
    std::uint64_t incarnation, const std::vector<std::uint8_t>& message,
    const move_clock& clock);

/// How queries of one service are divided over its versions.
struct version_share
{
    version_handle base;
    version_handle candidate; ///< invalid when only `base` serves
    double share = 0.0;       ///< of queries that use the candidate
    bool candidate_proven = false;
    std::uint64_t seed = 0;
};

/// Indexed by service handle. Copy it for readers.
std::vector<version_share>
version_shares(const version_moves& moves, const catalog& c);

struct version_choice
{
    version_handle preferred;
    /// For shards without a replica of `preferred`; invalid when none may be
    /// used, as for a version that is not proven or withdrawn.
    version_handle fallback;
};

version_choice
choose_version(const version_share& share, std::string_view query_id);

struct searcher_capacity
{
    std::uint32_t new_limit = 0; ///< current limits of the new targets
    std::uint32_t old_limit = 0; ///< table limits of the old targets
};

/// Share that the weakest searcher's new targets can carry.
double
carried_share(const std::vector<searcher_capacity>& searchers);

struct route_status
{
    std::string route;
    evidence_counts new_version;
    evidence_counts old;
};

/// For operators.
struct move_status
{
    move_row row;
    move_phase phase = move_phase::count;
    double share = 0.0;
    double step_share = 0.0;
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
