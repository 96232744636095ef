#include "change_view.hpp"

#include "config.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace bramleymux
{

using nlohmann::json;

namespace
{

/// A deletion keeps the revision of the deleted object, so at equal revisions
/// it is the newer one.
bool
is_newer(const store_change& change, const store_change& known)
{
    return change.revision > known.revision ||
           (change.revision == known.revision && change.deleted &&
               !known.deleted);
}

json
to_json(const store_change& change)
{
    json out{{"kind", change.kind}, {"name", change.name},
        {"revision", change.revision.number}};
    if (change.revision.era != 0)
    {
        out["era"] = change.revision.era;
    }
    if (change.deleted)
    {
        out["deleted"] = true;
    }
    else
    {
        out["payload"] = change.payload;
    }
    return out;
}

store_change
change_from_json(const json& value)
{
    store_change out;
    out.kind = value.at("kind").get<std::string>();
    out.name = value.at("name").get<std::string>();
    out.revision = {value.value("era", std::uint64_t{0}),
        value.at("revision").get<std::uint64_t>()};
    out.deleted = value.value("deleted", false);
    out.payload = value.value("payload", std::string());
    return out;
}

std::map<std::string, std::vector<store_change>>
changes_by_kind(const change_delta& delta)
{
    std::map<std::string, std::vector<store_change>> out;
    for (const auto& [kind, revision] : delta.revisions)
    {
        out[kind];
    }
    for (const store_change& change : delta.changes)
    {
        out[change.kind].push_back(change);
    }
    return out;
}

/// Returns the objects that the changes leave; the deletions among them show by
/// the objects' absence.
std::vector<store_change>
live_objects(std::vector<store_change> changes)
{
    changes.erase(std::remove_if(changes.begin(), changes.end(),
                      [](const store_change& c) { return c.deleted; }),
        changes.end());
    return changes;
}

/// Returns whether a delta that is not full replaces the kind nevertheless.
bool
starts_era(
    const change_view& view, const change_delta& delta, const std::string& kind)
{
    const auto found = delta.revisions.find(kind);
    return found != delta.revisions.end() &&
           found->second.era > known_revision(view, kind).era;
}

} // namespace

store_revision
known_revision(const change_view& view, const std::string& kind)
{
    const auto found = view.revisions.find(kind);
    return found == view.revisions.end() ? store_revision{} : found->second;
}

void
raise_revision(
    change_view& view, const std::string& kind, const store_revision& revision)
{
    store_revision& known = view.revisions[kind];
    known = std::max(known, revision);
}

bool
apply(change_view& view, const store_change& change, monotonic_time now)
{
    const auto key = std::make_pair(change.kind, change.name);
    const auto found = view.items.find(key);
    const store_revision known = known_revision(view, change.kind);
    if (change.revision.era < known.era)
    {
        return false;
    }
    // The revision of a deletion from an earlier era says nothing about changes
    // of this era.
    const bool lacked = found == view.items.end() ||
                        (found->second.object.deleted &&
                            found->second.object.revision.era < known.era);
    if (lacked && (change.deleted || change.revision <= known))
    {
        return false;
    }
    if (!lacked && !is_newer(change, found->second.object))
    {
        return false;
    }
    change_view::item& item = view.items[key];
    item.object = change;
    item.sequence = ++view.sequence;
    item.deleted_at = now;
    return true;
}

std::vector<store_change>
replace_kind(change_view& view, const std::string& kind,
    const std::vector<store_change>& objects, const store_revision& revision,
    monotonic_time now)
{
    std::vector<store_change> out;
    std::set<std::string> present;
    if (revision >= known_revision(view, kind))
    {
        // The list is no older than the view, so it may add objects that the
        // view has missed. It keeps out changes of earlier eras.
        view.revisions[kind] = {revision.era, 0};
    }
    for (const store_change& object : objects)
    {
        present.insert(object.name);
        if (apply(view, object, now))
        {
            out.push_back(object);
        }
    }
    for (auto& [key, item] : view.items)
    {
        const bool gone = key.first == kind && !item.object.deleted &&
                          item.object.revision <= revision &&
                          present.count(key.second) == 0;
        if (gone)
        {
            item.object.deleted = true;
            item.object.payload.clear();
            item.sequence = ++view.sequence;
            item.deleted_at = now;
            out.push_back(item.object);
        }
    }
    raise_revision(view, kind, revision);
    return out;
}

change_delta
delta_since(
    const change_view& view, std::uint64_t epoch, std::uint64_t sequence)
{
    change_delta out;
    out.epoch = view.epoch;
    out.sequence = view.sequence;
    out.revisions = view.revisions;
    out.full = epoch != view.epoch || sequence < view.pruned_through;
    for (const auto& [key, item] : view.items)
    {
        if (out.full ? !item.object.deleted : item.sequence > sequence)
        {
            out.changes.push_back(item.object);
        }
    }
    return out;
}

std::vector<store_change>
merge_delta(change_view& view, const change_delta& delta, monotonic_time now)
{
    std::vector<store_change> out;
    for (const auto& [kind, changes] : changes_by_kind(delta))
    {
        const auto known = delta.revisions.find(kind);
        const store_revision revision =
            known == delta.revisions.end() ? store_revision{} : known->second;
        if (delta.full || starts_era(view, delta, kind))
        {
            const auto changed =
                replace_kind(view, kind, live_objects(changes), revision, now);
            out.insert(out.end(), changed.begin(), changed.end());
            continue;
        }
        for (const store_change& change : changes)
        {
            if (apply(view, change, now))
            {
                out.push_back(change);
            }
        }
        if (known != delta.revisions.end())
        {
            raise_revision(view, kind, revision);
        }
    }
    return out;
}

void
prune_deletions(change_view& view, monotonic_time now)
{
    for (auto it = view.items.begin(); it != view.items.end();)
    {
        const bool old =
            it->second.object.deleted &&
            now - it->second.deleted_at > config::deletion_retention;
        if (old)
        {
            view.pruned_through =
                std::max(view.pruned_through, it->second.sequence);
            it = view.items.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

std::string
encode_delta(const change_delta& delta)
{
    json changes = json::array();
    for (const store_change& change : delta.changes)
    {
        changes.push_back(to_json(change));
    }
    json revisions = json::object();
    json eras = json::object();
    for (const auto& [kind, revision] : delta.revisions)
    {
        revisions[kind] = revision.number;
        if (revision.era != 0)
        {
            eras[kind] = revision.era;
        }
    }
    json value{{"epoch", delta.epoch}, {"sequence", delta.sequence},
        {"full", delta.full}, {"revisions", std::move(revisions)},
        {"changes", std::move(changes)}};
    if (!eras.empty())
    {
        value["eras"] = std::move(eras);
    }
    std::string out;
    json::to_cbor(value, out);
    return out;
}

std::optional<change_delta>
decode_delta(const std::string& bytes)
{
    try
    {
        const json value = json::from_cbor(bytes);
        change_delta out;
        out.epoch = value.at("epoch").get<std::uint64_t>();
        out.sequence = value.at("sequence").get<std::uint64_t>();
        out.full = value.at("full").get<bool>();
        const json eras = value.value("eras", json::object());
        const auto numbers =
            value.at("revisions").get<std::map<std::string, std::uint64_t>>();
        for (const auto& [kind, number] : numbers)
        {
            out.revisions[kind] = {eras.value(kind, std::uint64_t{0}), number};
        }
        for (const json& change : value.at("changes"))
        {
            out.changes.push_back(change_from_json(change));
        }
        return out;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace bramleymux
