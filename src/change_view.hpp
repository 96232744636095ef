#pragma once

#include "store_revision.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// A VM's copy of the objects of the platform's store, and the deltas by which
/// VMs pass its changes on.
namespace bramleymux
{

struct store_change
{
    std::string kind;
    std::string name;
    store_revision revision; ///< of the object's last change
    bool deleted = false;
    std::string payload; ///< opaque; not used for a deletion
};

/// For each kind, the revision of the store up to which its objects are known.
using kind_revisions = std::map<std::string, store_revision>;

/// Changes of a view since a cursor (epoch and sequence).
struct change_delta
{
    std::uint64_t epoch = 0;    ///< identifies the instance of the view
    std::uint64_t sequence = 0; ///< cursor for the next delta
    /// The delta holds every object. Objects of a kind that it lacks are
    /// deleted, unless they are newer than the revision of that kind.
    bool full = false;
    kind_revisions revisions;
    std::vector<store_change> changes;
};

/// Objects by kind and name. Deletions are kept for a while for the deltas.
/// While a kind is known as of an era of the store, all of its objects belong
/// to that era or to a later one.
struct change_view
{
    struct item
    {
        store_change object;
        std::uint64_t sequence = 0; ///< of the view at the object's last change
        monotonic_time deleted_at{};
    };

    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    /// Sequence of the last pruned deletion. Deltas since an earlier sequence
    /// would lack deletions, so they are full.
    std::uint64_t pruned_through = 0;
    kind_revisions revisions;
    std::map<std::pair<std::string, std::string>, item> items;
};

/// Applies a change. Returns false if the view has the same or a newer state of
/// the object, if the change deletes an object that is not in the view, if the
/// view holds the kind as of a later era, or if the view lacks the object
/// though it holds the kind as of a later revision: the object was deleted, and
/// the source of the change is behind.
bool
apply(change_view& view, const store_change& change, monotonic_time now);

/// Replaces all objects of a kind as of `revision`; newer objects stay. A list
/// that is older than the view adds no objects that were deleted since. Returns
/// the changes, including deletions.
std::vector<store_change>
replace_kind(change_view& view, const std::string& kind,
    const std::vector<store_change>& objects, const store_revision& revision,
    monotonic_time now);

/// Records that the view holds all objects of the kind as of `revision`.
void
raise_revision(
    change_view& view, const std::string& kind, const store_revision& revision);

/// Returns the revision as of which the view holds the kind; {0, 0} if none.
store_revision
known_revision(const change_view& view, const std::string& kind);

/// Returns the changes after `sequence`, or a full delta if the cursor belongs
/// to another instance or is older than a pruned deletion.
change_delta
delta_since(
    const change_view& view, std::uint64_t epoch, std::uint64_t sequence);

/// Applies the delta of another view. Returns the changes of this view. A kind
/// that the delta holds as of a later era than the view is replaced as a whole,
/// also if the delta is not full: its source listed the kind anew in that era,
/// so every object has changed there since the last delta.
std::vector<store_change>
merge_delta(change_view& view, const change_delta& delta, monotonic_time now);

/// Removes deletions older than `config::deletion_retention`.
void
prune_deletions(change_view& view, monotonic_time now);

/// Returns the delta as CBOR.
std::string
encode_delta(const change_delta& delta);

/// Returns nullopt if the bytes are not a valid delta.
std::optional<change_delta>
decode_delta(const std::string& bytes);

} // namespace bramleymux
