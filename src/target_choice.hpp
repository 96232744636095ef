#pragma once

#include "entry_wire.hpp"
#include "fleet_view.hpp"

#include <bramleymux/types.hpp>

#include <optional>
#include <random>
#include <vector>

/// What one VM learns of a target from its own sends, and the choice between
/// targets. A target is judged by its replies, not by its health endpoint.
namespace bramleymux
{

/// Sends of one VM that the target has not replied to.
struct running_send
{
    std::uint64_t id = 0;
    monotonic_time since{};
    duration expected{}; ///< usual latency of the route
};

struct target_state
{
    target_record record;
    monotonic_time cold_until{};
    std::optional<monotonic_time> lapsed_at; ///< the registration was removed

    /// Latency relative to the usual one of the route; fades towards 1.
    double pace = 1.0;
    double error_rate = 0.0; ///< fades towards 0
    monotonic_time measured_at{};
    monotonic_time shed_until{};
    target_load load;
    monotonic_time load_at{};

    std::vector<running_send> running;

    // A blocked target gets no request before a health probe succeeds.
    bool blocked = false;
    bool probing = false;
    bool full = false;        ///< every connection of this VM is in use
    bool misdirected = false; ///< another process has the address
    std::uint32_t failures = 0;
    monotonic_time probe_at{};

    /// Earliest next request of this VM during a cold start.
    monotonic_time cold_next{};
};

enum class send_outcome
{
    good,
    failed,      ///< the target replied with an error of its own
    shed,        ///< the target ran nothing for lack of room
    broken,      ///< connection reset, closed or garbled
    unreachable, ///< no connection, or silence
    misdirected, ///< another process has the address
    cancelled,   ///< ended by this VM
    count
};

inline constexpr name_table<send_outcome> send_outcome_names{"good", "failed",
    "shed", "broken", "unreachable", "misdirected", "cancelled"};

void
note_sent(target_state& target, std::uint64_t id, duration expected,
    monotonic_time now);

/// Ends the send `id`; returns how long it took.
duration
note_ended(target_state& target, std::uint64_t id, send_outcome outcome,
    monotonic_time now);

/// The send takes longer than usual: the target counts as at least so slow.
void
note_overdue(target_state& target, std::uint64_t id, monotonic_time now);

void
note_load(target_state& target, const target_load& load, monotonic_time now);

/// A health probe succeeded.
void
note_recovered(target_state& target);

void
note_probe_failed(target_state& target, monotonic_time now);

/// The target has not replied for so long that it counts as unreachable.
void
note_silent(target_state& target, monotonic_time now);

/// Whether a request is out for much longer than usual.
bool
is_stalled(const target_state& target, monotonic_time now);

/// Requests of this VM run at the target and others wait there: one more would
/// wait longer than it takes to run.
bool
is_crowded(const target_state& target, monotonic_time now);

enum class choice_scope
{
    any_zone,
    own_zone, ///< only targets in the zone of this VM
    count
};

/// What a choice depends on besides the targets.
struct choice_context
{
    monotonic_time now{};
    const std::string* zone = nullptr; ///< of this VM
    const std::vector<std::string>* zones_out = nullptr;
    std::size_t vms = 1;    ///< VMs that may send to a cold target
    double cold_rate = 0.0; ///< requests a second of all VMs; 0 = any
    const std::vector<const target_state*>* tried = nullptr;
    choice_scope scope = choice_scope::any_zone;
    /// Not null: only targets of this version, or only those of others.
    const std::string* version = nullptr;
    bool other_versions = false;
};

/// Whether the target may get a request when it has room. A lapsed or leaving
/// one may not, unless `last_resort` admits a lapsed one.
bool
is_usable(const target_state& target, const choice_context& context,
    bool last_resort);

/// Relative cost of one more request; lower is better.
double
cost_of(const target_state& target, const choice_context& context);

/// The usable target of least cost that has not been tried, or null.
target_state*
choose_target(const std::vector<target_state*>& targets,
    const choice_context& context, std::mt19937_64& random);

/// The target is cold for another `left`. The first request of this VM waits a
/// random part of its interval, so that the VMs do not send at once.
void
note_cold(target_state& target, duration left, const choice_context& context,
    std::mt19937_64& random);

/// Counts one request against a cold target's rate.
void
spend_cold_allowance(target_state& target, const choice_context& context);

} // namespace bramleymux
