#pragma once

#include "peer.hpp"
#include "platform.hpp"

#include <bramleymux/types.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// SWIM membership (D12) with a digest of every VM's table version and state.
/// Pure: the caller passes the time, and sends the returned messages.
namespace bramleymux
{

enum class member_state
{
    alive,
    suspect, ///< missed its probes; still a member until the timeout
    dead,
    left,
    count
};

inline constexpr name_table<member_state> member_state_names{
    "alive", "suspect", "dead", "left"};

enum class serving_state
{
    serving,
    draining,
    count
};

inline constexpr name_table<serving_state> serving_state_names{
    "serving", "draining"};

/// What a VM tells of itself. The first three fields reach all VMs by gossip,
/// the others only those that exchange messages with it.
struct member_digest
{
    std::uint64_t table_version = 0; ///< applied
    serving_state state = serving_state::serving;
    bool platform_reachable = true;
    std::uint64_t view_id = 0;
    nlohmann::json counters; ///< at most `config::max_digest_counter_bytes`
};

struct member
{
    vm_identity identity;
    /// Raised by the VM itself to refute a suspicion and with each change of
    /// its digest; orders what is said of one incarnation.
    std::uint64_t refutation = 0;
    member_state state = member_state::alive;
    monotonic_time since{}; ///< of the state
    member_digest digest;
    std::optional<monotonic_time> heard; ///< last message from it
    std::optional<monotonic_time> contradicted;
    bool introduce = false; ///< gossip carries its zone and address
};

/// Entry of the platform's list that has not answered yet.
struct member_hint
{
    vm_identity identity; ///< incarnation unknown
    unsigned tries = 0;
    monotonic_time next_try{};
};

enum class probe_purpose
{
    check,   ///< of a member; a missing ack makes it suspect
    contact, ///< of a dead or merely listed VM; a missing ack has no effect
    count
};

struct pending_probe
{
    vm_identity to;
    probe_purpose purpose = probe_purpose::check;
    monotonic_time sent{};
    bool repeated = false;
};

struct probe_relay
{
    vm_identity origin;
    std::uint32_t origin_sequence = 0;
    monotonic_time expires{};
};

struct gossip_update
{
    std::string id;
    std::size_t sent = 0;
    std::size_t limit = 0;
};

enum class member_event_kind
{
    joined,
    suspected,
    recovered, ///< from suspicion or removal
    removed,   ///< declared dead
    left,
    replaced, ///< a later incarnation or another VM took its place
    count
};

inline constexpr name_table<member_event_kind> member_event_kind_names{
    "joined", "suspected", "recovered", "removed", "left", "replaced"};

struct member_event
{
    member_event_kind kind = member_event_kind::count;
    vm_identity vm;
};

struct membership_message
{
    vm_identity to; ///< without an address: over the sender's connection
    peer_message message;
};

using membership_messages = std::vector<membership_message>;

struct membership_state
{
    vm_identity self;
    std::uint64_t refutation = 0;
    member_digest digest;
    bool has_left = false;
    std::map<std::string, member> members; ///< by VM id, without self
    std::map<std::string, member_hint> hints;
    std::map<std::string, vm_list_entry> listed; ///< the platform's last list
    bool list_known = false;
    std::map<std::uint32_t, pending_probe> probes; ///< by sequence
    std::map<std::uint32_t, probe_relay> relays;
    std::vector<gossip_update> updates;
    std::vector<std::string> urgent; ///< to probe next
    std::vector<std::string> probe_order;
    std::vector<member_event> events;
    std::uint32_t last_sequence = 0;
    std::optional<monotonic_time> last_tick;
    monotonic_time next_period{};
    monotonic_time next_dead_retry{};
    monotonic_time next_sync{};
    std::optional<std::uint32_t> cached_hash;
    std::mt19937_64 random;
};

/// `self.incarnation` differs in each run of a VM and grows with it (Unix
/// microseconds at the start).
membership_state
make_membership(vm_identity self, std::uint64_t seed);

/// Takes the platform's list as hints: unknown VMs are tried; a VM that is
/// absent stays while it answers probes.
void
seed_members(membership_state& state, const std::vector<vm_list_entry>& list,
    monotonic_time now);

/// Takes a probe, ack, probe_request or leave; others are ignored. Returns the
/// replies.
membership_messages
on_member_message(
    membership_state& state, const peer_message& message, monotonic_time now);

/// To be called at least every 100 ms. Returns the probes that are due.
membership_messages
tick_members(membership_state& state, monotonic_time now);

/// Announces the end of this run; later calls return no messages.
membership_messages
leave_members(membership_state& state, monotonic_time now);

/// Tells the other VMs of a changed digest.
void
set_local_digest(membership_state& state, const member_digest& digest);

/// Counts another module's message as an answer, which saves a probe.
void
note_contact(membership_state& state, const std::string& id,
    std::uint64_t incarnation, monotonic_time now);

/// Changes since the last call.
std::vector<member_event>
take_member_events(membership_state& state);

/// Alive and suspected VMs of a zone by id, with this VM when it is there.
std::vector<vm_identity>
live_members(const membership_state& state, std::string_view zone);

enum class vm_presence
{
    live,        ///< alive or suspected
    cut_off,     ///< does not answer, but may still serve
    unconfirmed, ///< listed by the platform, never answered
    gone,        ///< left, or dead and no longer listed
    count
};

inline constexpr name_table<vm_presence> vm_presence_names{
    "live", "cut_off", "unconfirmed", "gone"};

struct known_vm
{
    vm_identity identity;
    vm_presence presence = vm_presence::gone;
    member_state state = member_state::alive;
    member_digest digest;
    bool listed = false; ///< in the platform's last list
};

/// Every VM that is known or listed, with this one, by id.
std::vector<known_vm>
known_vms(const membership_state& state);

} // namespace bramleymux
