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
        {"revision", change.revision}};
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

std::uint64_t
known_revision(const change_view& view, const std::string& kind)
{
    const auto found = view.revisions.find(kind);
    return found == view.revisions.end() ? 0 : found->second;
}

/// Returns whether an object that is not in the view was deleted: the view
/// holds all objects of the kind as of a later revision.
bool
is_known_deleted(const change_view& view, const store_change& change)
{
    return change.revision <= known_revision(view, change.kind);
}

store_change
change_from_json(const json& value)
{
    store_change out;
    out.kind = value.at("kind").get<std::string>();
    out.name = value.at("name").get<std::string>();
    out.revision = value.at("revision").get<std::uint64_t>();
    out.deleted = value.value("deleted", false);
    out.payload = value.value("payload", std::string());
    return out;
}

} // namespace

void
raise_revision(
    change_view& view, const std::string& kind, std::uint64_t revision)
{
    std::uint64_t& known = view.revisions[kind];
    known = std::max(known, revision);
}

bool
apply(change_view& view, const store_change& change, monotonic_time now)
{
    const auto key = std::make_pair(change.kind, change.name);
    const auto found = view.items.find(key);
    if (found == view.items.end() &&
        (change.deleted || is_known_deleted(view, change)))
    {
        return false;
    }
    if (found != view.items.end() && !is_newer(change, found->second.object))
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
    const std::vector<store_change>& objects, std::uint64_t revision,
    monotonic_time now)
{
    std::vector<store_change> out;
    std::set<std::string> present;
    if (revision >= known_revision(view, kind))
    {
        // The list is no older than the view, so it may add objects that the
        // view has missed.
        view.revisions.erase(kind);
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
    if (!delta.full)
    {
        for (const store_change& change : delta.changes)
        {
            if (apply(view, change, now))
            {
                out.push_back(change);
            }
        }
        for (const auto& [kind, revision] : delta.revisions)
        {
            raise_revision(view, kind, revision);
        }
        return out;
    }
    std::map<std::string, std::vector<store_change>> by_kind;
    for (const auto& [kind, revision] : delta.revisions)
    {
        by_kind[kind];
    }
    for (const store_change& change : delta.changes)
    {
        by_kind[change.kind].push_back(change);
    }
    for (const auto& [kind, objects] : by_kind)
    {
        const auto known = delta.revisions.find(kind);
        const auto changed = replace_kind(view, kind, objects,
            known == delta.revisions.end() ? 0 : known->second, now);
        out.insert(out.end(), changed.begin(), changed.end());
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
    std::string out;
    json::to_cbor(json{{"epoch", delta.epoch}, {"sequence", delta.sequence},
                      {"full", delta.full}, {"revisions", delta.revisions},
                      {"changes", std::move(changes)}},
        out);
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
        out.revisions = value.at("revisions").get<kind_revisions>();
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
