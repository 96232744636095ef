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
/// sends its own counters; they only grow, so messages may be lost, repeated
/// or reordered.
namespace bramleymux
{

/// 48-bit hash of service, version and route names.
using evidence_key = std::uint64_t;

/// The targets of a version are spread over this many groups, so that a fault
/// of one target can be told from a fault of the version.
inline constexpr std::size_t evidence_groups = 4;

struct evidence_counts
{
    std::uint64_t replies = 0;
    std::uint64_t errors = 0;
    std::uint64_t slow = 0;
};

using evidence_cell = std::array<evidence_counts, evidence_groups>;

evidence_counts&
operator+=(evidence_counts& a, const evidence_counts& b);

evidence_counts
operator-(const evidence_counts& a, const evidence_counts& b);

evidence_cell
operator-(const evidence_cell& a, const evidence_cell& b);

/// Sum over the groups.
evidence_counts
sum(const evidence_cell& cell);

evidence_key
evidence_key_of(
    std::string_view service, std::string_view version, std::string_view route);

using evidence_cells = std::unordered_map<evidence_key, evidence_cell>;

/// Counters of one run of one VM, as last received.
struct vm_evidence
{
    evidence_cells cells;
    monotonic_time updated;
};

struct evidence_pool
{
    evidence_cells own;
    /// By VM id and incarnation. The record of a replaced VM stays counted
    /// until it expires.
    std::map<std::pair<std::string, std::uint64_t>, vm_evidence> peers;
    /// Growth observed by this VM, over all VMs. Never decreases; the tests
    /// compare its differences over time.
    evidence_cells flow;
};

/// Adds one reply of a target of `group` to the VM's own counters.
void
add_reply(evidence_pool& pool, evidence_key key, std::size_t group,
    const evidence_counts& reply);

/// Merges the counters of one run of a peer: the larger of each counter.
/// Counters seen for the first time, or after `config::evidence_gap`, are
/// counted but do not enter the flow, because their replies were not given at
/// the same time as the others'.
void
merge_peer(evidence_pool& pool, const std::string& vm,
    std::uint64_t incarnation, const evidence_cells& cells, monotonic_time now);

/// Drops records that were not updated within `config::evidence_expiry`.
void
expire_evidence(evidence_pool& pool, monotonic_time now);

/// Counters of all VMs together.
evidence_counts
pooled(const evidence_pool& pool, evidence_key key);

evidence_cell
flow_of(const evidence_pool& pool, evidence_key key);

/// Appends the cells: 6 bytes of key, 1 byte of groups present, and three
/// variable-length integers for each of these groups.
void
encode_cells(const evidence_cells& cells, std::vector<std::uint8_t>& out);

/// Reads cells from `position` to the end; false when malformed.
bool
decode_cells(const std::vector<std::uint8_t>& in, std::size_t position,
    evidence_cells& out);

} // namespace bramleymux
