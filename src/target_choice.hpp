#pragma once

#include "entry_wire.hpp"
#include "fleet_view.hpp"
#include "target_rate.hpp"

#include <bramleymux/types.hpp>

#include <optional>
#include <random>
#include <vector>

/// Per-target statistics that a VM keeps from its own sends, and the selection
/// of a target by them. A target is rated by its replies to requests, not by
/// its health endpoint.
namespace bramleymux
{

/// A request of this VM that the target has not replied to yet.
struct running_send
{
    std::uint64_t id = 0;
    monotonic_time since{};
    duration expected{}; ///< the route's median, or an estimate
};

/// State of one target as seen by this VM.
struct target_state
{
    target_record record;
    monotonic_time cold_until{};
    std::optional<monotonic_time> lapsed_at; ///< removal of the registration

    /// Moving average of the latency relative to the expected one; decays
    /// towards 1. Logged as `pace`.
    double relative_latency = 1.0;
    double error_rate = 0.0;      ///< moving average; decays towards 0
    double shed_rate = 0.0;       ///< moving average; decays towards 0
    monotonic_time measured_at{}; ///< time up to which all three are decayed
    target_load load;             ///< last load that the target reported
    monotonic_time load_at{};

    std::vector<running_send> running;

    bool blocked = false;       ///< no requests until a health probe succeeds
    bool probing = false;       ///< a health probe is running
    bool full = false;          ///< no idle connection, and no more allowed
    bool unplanned = false;     ///< this VM's part of its connections is none
    bool misdirected = false;   ///< another process has the address
    bool said_leaving = false;  ///< a reply said so; holds for its process
    std::uint32_t failures = 0; ///< since a reply; each doubles the delay
    monotonic_time probe_at{};  ///< earliest next health probe

    send_schedule cold_sends; ///< of this VM, while the target is cold

    /// Requests/s of all VMs together, as the target names it; none = any.
    std::optional<double> rate_limit;
    monotonic_time rate_limit_at{}; ///< last reply that named it
    /// First reply that no longer named it; none if the limit never ended.
    std::optional<monotonic_time> rate_limit_end;
    send_schedule limited_sends; ///< of this VM, within the limit
    double rate_part = 1.0;      ///< this VM's part of the limit

    /// The target wants no request of this VM before; see `target_notice`.
    monotonic_time paused_until{};
};

enum class send_outcome
{
    good,
    failed,      ///< the target replied with an error of its own
    shed,        ///< the target had no capacity and ran nothing
    broken,      ///< connection reset or closed, or an invalid reply
    unreachable, ///< no connection, or no reply for too long
    misdirected, ///< another process has the address
    cancelled,   ///< ended by this VM
    count
};

inline constexpr name_table<send_outcome> send_outcome_names{"good", "failed",
    "shed", "broken", "unreachable", "misdirected", "cancelled"};

/// Adds a running send.
void
record_sent(target_state& target, std::uint64_t id, duration expected,
    monotonic_time now);

/// Ends the send `id` and updates the statistics with its outcome. Returns its
/// duration, or zero if no such send is running.
duration
record_ended(target_state& target, std::uint64_t id, send_outcome outcome,
    monotonic_time now);

/// Updates the latency of a send that runs longer than expected: the time
/// elapsed so far is a lower bound.
void
record_overdue(target_state& target, std::uint64_t id, monotonic_time now);

void
record_load(target_state& target, const target_load& load, monotonic_time now);

/// Updates the rate limit from a reply to a request sent at `sent_at`. A reply
/// without one ends the limit, unless the request was sent before the target
/// last named it. Returns whether the limit changed.
bool
record_rate_limit(target_state& target, const target_notice& notice,
    monotonic_time sent_at, monotonic_time now, std::mt19937_64& random);

/// Sets this VM's part of the target's rate limit.
void
set_rate_part(target_state& target, double part, monotonic_time now);

/// Pauses the requests of this VM to the target if the reply asks for it.
void
record_pause(
    target_state& target, const target_notice& notice, monotonic_time now);

/// Unblocks the target after a successful health probe.
void
record_recovered(target_state& target);

/// Blocks the target after a failed health probe, for longer each time.
void
record_probe_failed(target_state& target, monotonic_time now);

/// Blocks a target that has left a request without a reply for too long.
void
record_unresponsive(target_state& target, monotonic_time now);

/// Returns whether some request has been running for much longer than expected.
bool
is_stalled(const target_state& target, monotonic_time now);

/// Returns whether the target runs requests of this VM and has reported at
/// least as many waiting requests as it has slots: another one would wait
/// longer than it takes to run.
bool
is_saturated(const target_state& target, monotonic_time now);

enum class choice_scope
{
    any_zone,
    own_zone, ///< only targets in the zone of this VM
    count
};

/// Inputs of a choice besides the targets. The pointers are not owned; null
/// means no restriction.
struct choice_context
{
    monotonic_time now{};
    const std::string* zone = nullptr;                   ///< of this VM
    const std::vector<std::string>* zones_out = nullptr; ///< evacuated zones
    std::size_t vms = 1;    ///< VMs that may send to a cold target
    double cold_rate = 0.0; ///< requests/s of all VMs to a cold target; 0 = any
    const std::vector<const target_state*>* tried = nullptr; ///< excluded
    choice_scope scope = choice_scope::any_zone;
    /// Restricts the choice to targets of this version, or to those of other
    /// versions if `other_versions` is set.
    const std::string* version = nullptr;
    bool other_versions = false;
};

/// Returns whether the target will stop soon, by its registration or its
/// replies.
bool
is_leaving(const target_state& target);

/// Returns whether the target may get a request once it has capacity and its
/// rates allow it. Leaving targets may not; lapsed ones only with
/// `last_resort`.
bool
is_usable(const target_state& target, const choice_context& context,
    bool last_resort);

/// Returns when the rates of the target allow this VM another request: a time
/// up to `context.now` if they do so now.
monotonic_time
next_send_at(const target_state& target, const choice_context& context);

/// Returns the requests/s of this VM that the rates of the target allow;
/// infinite without a limit.
double
allowed_rate(const target_state& target, const choice_context& context);

/// Returns the relative cost of one more request; lower is better. A healthy
/// idle target costs 1. The surcharge of another zone is added, not multiplied,
/// so that a target that is slow, fails or sheds loses against a healthy one
/// in another zone.
double
cost_of(const target_state& target, const choice_context& context);

/// Returns whether the target is fast and reliable enough to be preferred to an
/// idle one in another zone.
bool
is_healthy(const target_state& target, const choice_context& context);

/// Returns the usable target of least cost that has capacity and has not been
/// tried, or null. Lapsed targets are considered only if there is no other.
target_state*
choose_target(const std::vector<target_state*>& targets,
    const choice_context& context, std::mt19937_64& random);

/// Marks the target as cold for another `left`, and starts the schedule of this
/// VM's requests if it was not.
void
record_cold_start(target_state& target, duration left,
    const choice_context& context, std::mt19937_64& random);

/// Counts one request against this VM's rates for the target.
void
spend_rates(target_state& target, const choice_context& context);

} // namespace bramleymux
