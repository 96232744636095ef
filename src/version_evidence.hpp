#pragma once

#include <bramleymux/types.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Reply counters by (service, version, route), pooled over all VMs. Each VM
/// sends its own cumulative counters. They never decrease, so lost, repeated or
/// reordered messages do no harm.
namespace bramleymux
{

/// 48-bit hash of the service, version and route names.
using evidence_key = std::uint64_t;

/// Number of groups that the targets of a version are divided into, to tell a
/// fault of one target from a fault of the version.
inline constexpr std::size_t evidence_groups = 4;

struct evidence_counts
{
    std::uint64_t replies = 0; ///< including `errors` and `slow`
    std::uint64_t errors = 0;
    std::uint64_t slow = 0;
};

/// Counts by target group.
using evidence_cell = std::array<evidence_counts, evidence_groups>;

evidence_counts&
operator+=(evidence_counts& a, const evidence_counts& b);

evidence_counts
operator-(const evidence_counts& a, const evidence_counts& b);

evidence_cell
operator-(const evidence_cell& a, const evidence_cell& b);

/// Returns the sum over the groups.
evidence_counts
sum(const evidence_cell& cell);

evidence_key
evidence_key_of(
    std::string_view service, std::string_view version, std::string_view route);

using evidence_cells = std::unordered_map<evidence_key, evidence_cell>;

/// Counters received from one incarnation of a VM.
struct vm_evidence
{
    evidence_cells cells;
    monotonic_time updated; ///< time of the last message
};

/// Counters of this VM and its peers. Not synchronized.
struct evidence_pool
{
    evidence_cells own;
    /// By VM id and incarnation. The counters of a replaced VM are included
    /// until they expire.
    std::map<std::pair<std::string, std::uint64_t>, vm_evidence> peers;
    /// Increments of all VMs' counters since this VM started to observe them.
    /// Never decreases; the tests compare its differences over time.
    evidence_cells observed_growth;
};

/// Adds one reply of a target in `group` to this VM's own counters.
void
add_reply(evidence_pool& pool, evidence_key key, std::size_t group,
    const evidence_counts& reply);

/// Merges the counters of one incarnation of a peer by taking the larger value
/// of each. Increments of a counter that is new, or that arrive more than
/// `config::evidence_gap` after the previous message, are counted but left out
/// of `observed_growth`: their replies may be older than those of the other
/// VMs.
void
merge_peer(evidence_pool& pool, const std::string& vm,
    std::uint64_t incarnation, const evidence_cells& cells, monotonic_time now);

/// Removes peer records that were not updated within `config::evidence_expiry`.
void
expire_evidence(evidence_pool& pool, monotonic_time now);

/// Returns the counters summed over all VMs and target groups.
evidence_counts
pooled(const evidence_pool& pool, evidence_key key);

/// Returns the observed growth of `key`, or zeros if there is none.
evidence_cell
observed_growth_of(const evidence_pool& pool, evidence_key key);

/// Appends the cells to `out`. Each is encoded as a 6-byte little-endian key, a
/// bit mask of the groups with replies (1 byte), and three variable-length
/// integers (replies, errors, slow) for each of these groups.
void
encode_cells(const evidence_cells& cells, std::vector<std::uint8_t>& out);

/// Decodes the cells from `position` to the end of `in`. Returns false if the
/// input is malformed; `out` may then hold a part of the cells.
bool
decode_cells(const std::vector<std::uint8_t>& in, std::size_t position,
    evidence_cells& out);

} // namespace bramleymux
