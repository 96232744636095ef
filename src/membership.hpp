#pragma once

#include "peer.hpp"
#include "platform.hpp"

#include <bramleymux/types.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// SWIM membership: probes detect failed VMs, and gossip carries the state of
/// every VM with a digest of its table version and serving state. Does no I/O
/// and reads no clock: the caller passes the time and sends the returned
/// messages.
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

/// What a VM reports about itself. The first three fields reach all VMs by
/// gossip, the others only VMs that exchange probes with it.
struct member_digest
{
    std::uint64_t table_version = 0; ///< applied
    serving_state state = serving_state::serving;
    bool platform_reachable = true;
    std::uint64_t view_id = 0; ///< sent within its zone only
    /// At most `config::max_digest_counter_bytes` in CBOR.
    nlohmann::json counters;
};

struct member
{
    vm_identity identity;
    /// Raised only by the VM itself, to refute a suspicion and with each change
    /// of its gossiped digest. Among reports of one incarnation the highest
    /// wins. SWIM calls it the incarnation number; `identity.incarnation`
    /// identifies the run of the VM instead.
    std::uint64_t refutation = 0;
    member_state state = member_state::alive;
    monotonic_time state_since{};
    member_digest digest;
    /// Receipt of its last direct message. While unset, probes to it carry this
    /// VM's zone and address.
    std::optional<monotonic_time> last_message_at;
    /// Last sign that other VMs hold another state of it. If it is alive here,
    /// the next message to it carries a suspicion for it to refute.
    std::optional<monotonic_time> contradicted_at;
    bool introduce = false; ///< gossip includes its zone and address
};

/// VM on the platform's list that has not answered yet.
struct member_hint
{
    vm_identity identity; ///< incarnation unknown
    unsigned attempts = 0;
    monotonic_time next_attempt{};
};

enum class probe_purpose
{
    check,   ///< failure detection; a missing ack makes the member suspect
    contact, ///< attempt to reach a dead or only listed VM; a missing ack
             ///< has no effect
    count
};

/// Probe whose ack is outstanding.
struct pending_probe
{
    vm_identity to;
    probe_purpose purpose = probe_purpose::check;
    monotonic_time sent_at{};
    bool repeated = false;
};

/// Probe sent for `origin`, to which its ack is forwarded.
struct probe_relay
{
    vm_identity origin;
    std::uint32_t origin_sequence = 0;
    monotonic_time expires{};
};

/// Entry queued for gossip.
struct gossip_update
{
    std::string id; ///< of a member or this VM
    std::size_t transmissions = 0;
    std::size_t max_transmissions = 0;
};

enum class member_event_kind
{
    joined,
    suspected,
    recovered, ///< from suspicion or removal
    removed,   ///< declared dead
    left,
    replaced, ///< by a later incarnation of the same id
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
    /// Without an address, only an existing connection is used.
    vm_identity to;
    peer_message message;
};

using membership_messages = std::vector<membership_message>;

struct membership_state
{
    vm_identity self;
    std::uint64_t refutation = 0; ///< see `member::refutation`
    member_digest digest;         ///< of this VM
    bool has_left = false;
    std::map<std::string, member> members; ///< by VM id, without self
    std::map<std::string, member_hint> hints;
    std::map<std::string, vm_list_entry> listed; ///< the platform's last list
    bool list_known = false; ///< whether `listed` was received
    std::map<std::uint32_t, pending_probe> probes; ///< by sequence
    std::map<std::uint32_t, probe_relay> relays;   ///< by sequence
    std::vector<gossip_update> updates;
    std::vector<std::string> urgent_probes; ///< ids to probe next
    std::vector<std::string> probe_order;   ///< rest of the random round
    std::vector<member_event> events;
    std::uint32_t last_sequence = 0;
    std::optional<monotonic_time> last_tick;
    monotonic_time next_period{};
    monotonic_time next_dead_probe{};
    monotonic_time next_sync{};               ///< earliest next synchronization
    std::optional<std::uint32_t> cached_hash; ///< of `live_hash`
    std::mt19937_64 random;
};

/// `self.incarnation` must grow with each run of a VM (its start in Unix
/// microseconds).
membership_state
make_membership(vm_identity self, std::uint64_t seed);

/// Replaces the platform's list. Live VMs on it that are not members become
/// hints and are probed until they answer. A member that is absent from it
/// stays while it answers probes.
void
seed_members(membership_state& state, const std::vector<vm_list_entry>& list,
    monotonic_time now);

/// Handles a probe, ack, probe_request or leave and returns the replies. Other
/// types and messages of earlier runs are ignored.
membership_messages
on_member_message(
    membership_state& state, const peer_message& message, monotonic_time now);

/// Advances the timers and returns the probes that are due. Call at least every
/// 100 ms.
membership_messages
tick_members(membership_state& state, monotonic_time now);

/// Ends this run and returns the messages that announce it. Later calls
/// return no messages.
membership_messages
leave_members(membership_state& state, monotonic_time now);

/// Sets the digest of this VM and gossips a change of its first three fields.
/// Counters above the size limit are dropped.
void
set_local_digest(membership_state& state, const member_digest& digest);

/// Counts a message of another module as an answer, which saves a probe. Has no
/// effect unless the current incarnation of an alive member sent it.
void
record_contact(membership_state& state, const std::string& id,
    std::uint64_t incarnation, monotonic_time now);

/// Returns and clears the events since the last call.
std::vector<member_event>
take_member_events(membership_state& state);

/// Returns the alive and suspected VMs of a zone, sorted by id, with this VM if
/// the zone is its own and it has not left.
std::vector<vm_identity>
live_members(const membership_state& state, std::string_view zone);

enum class vm_presence
{
    live,        ///< alive or suspected
    cut_off,     ///< does not answer, but may still serve
    unconfirmed, ///< listed by the platform, has never answered
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

/// Returns all members, all VMs on the platform's list and this VM, sorted by
/// id.
std::vector<known_vm>
known_vms(const membership_state& state);

} // namespace bramleymux
