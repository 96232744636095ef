#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// The objects of the platform's store that a VM knows, and what has changed
/// since another VM last asked. VMs exchange changes in this form.
namespace bramleymux
{

struct store_change
{
    std::string kind;
    std::string name;
    std::uint64_t revision = 0; ///< of the object's last change
    bool deleted = false;
    std::string payload; ///< as the store has it; opaque here
};

/// Revision of the store up to which a view knows the objects of each kind.
using kind_revisions = std::map<std::string, std::uint64_t>;

/// Changes of one view since a cursor.
struct change_delta
{
    std::uint64_t epoch = 0;    ///< names the life of the view
    std::uint64_t sequence = 0; ///< cursor for the next delta
    /// The delta holds every object; what it lacks of a kind, up to the
    /// revision of that kind, is gone.
    bool full = false;
    kind_revisions revisions;
    std::vector<store_change> changes;
};

struct change_view
{
    struct item
    {
        store_change object;
        std::uint64_t sequence = 0; ///< of the change in this view
        monotonic_time deleted_at{};
    };

    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// Deltas from before this cursor would lack forgotten deletions.
    std::uint64_t first_delta = 0;
    kind_revisions revisions;
    std::map<std::pair<std::string, std::string>, item> items;
};

/// False when the view knows the same or a newer state of the object.
bool
apply(change_view& view, const store_change& change, monotonic_time now);

/// Takes all objects of a kind; returns what changed, deletions included.
std::vector<store_change>
replace_kind(change_view& view, const std::string& kind,
    const std::vector<store_change>& objects, std::uint64_t revision,
    monotonic_time now);

change_delta
delta_since(
    const change_view& view, std::uint64_t epoch, std::uint64_t sequence);

/// Takes another view's delta; returns what changed here.
std::vector<store_change>
merge_delta(change_view& view, const change_delta& delta, monotonic_time now);

/// Drops deletions older than `config::deletion_memory`.
void
forget_deletions(change_view& view, monotonic_time now);

/// CBOR of a delta.
std::string
encode_delta(const change_delta& delta);

/// Empty for bytes that are no delta.
std::optional<change_delta>
decode_delta(const std::string& bytes);

} // namespace bramleymux
