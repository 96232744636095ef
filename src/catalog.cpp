#include "catalog.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

/// Registry key of a name that is unique only within its service.
std::string
qualified_name(std::string_view service, std::string_view name)
{
    return std::string(service) + ":" + std::string(name);
}

/// Returns the entry for `name`, at the index of its handle; null if the
/// registry is full, and then adds the row to `unregistered`.
template <class Entry>
Entry*
add_entry(std::vector<Entry>& entries, name_registry& names,
    const std::string& name, const char* kind,
    std::vector<std::string>& unregistered)
{
    const std::uint16_t index = names.intern(name);
    if (index == decltype(Entry::self)::invalid_index)
    {
        unregistered.push_back(std::string(kind) + "/" + name);
        return nullptr;
    }
    if (entries.size() <= index)
    {
        entries.resize(index + std::size_t{1});
    }
    entries[index].self = {index};
    return &entries[index];
}

/// Returns the entry with a handle index, or null if it is unused.
template <class Entry>
Entry*
find_entry(std::vector<Entry>& entries, std::uint16_t index)
{
    return index < entries.size() && entries[index].self.is_valid()
               ? &entries[index]
               : nullptr;
}

void
add_zones(catalog& c, const table& value, name_registries& names)
{
    for (const zone_row& row : value.zones)
    {
        if (catalog_zone* zone = add_entry(
                c.zones, names.zones, row.name, "zone", c.unregistered))
        {
            zone->name = row.name;
            zone->region = row.region;
            zone->out = row.out;
        }
    }
}

void
add_services(catalog& c, const table& value, name_registries& names)
{
    for (const service_row& row : value.services)
    {
        if (catalog_service* service = add_entry(c.services, names.services,
                row.name, "service", c.unregistered))
        {
            service->name = row.name;
            service->worth = row.worth;
            service->floor_share = row.floor_share;
            service->min_coverage = row.min_coverage;
        }
    }
}

/// Adds rows that belong to a service. `fill(entry, row, service)` copies the
/// fields that are specific to the kind of row.
template <class Entry, class Row, class Fill>
void
add_service_rows(catalog& c, const std::vector<Row>& rows,
    std::vector<Entry>& entries, name_registry& entry_names, const char* kind,
    name_registries& names, Fill&& fill)
{
    for (const Row& row : rows)
    {
        catalog_service* service =
            find_entry(c.services, names.services.find(row.service));
        Entry* entry = service == nullptr
                           ? nullptr
                           : add_entry(entries, entry_names,
                                 qualified_name(row.service, row.name), kind,
                                 c.unregistered);
        if (entry != nullptr)
        {
            entry->service = service->self;
            entry->name = row.name;
            fill(*entry, row, *service);
        }
    }
}

void
add_routes(catalog& c, const table& value, name_registries& names)
{
    add_service_rows(c, value.routes, c.routes, names.routes, "route", names,
        [](catalog_route& route, const route_row& row, catalog_service& service)
        {
            route.worth = service.worth * row.worth;
            route.idempotent = row.idempotent;
            service.routes.push_back(route.self);
        });
}

void
add_versions(catalog& c, const table& value, name_registries& names)
{
    add_service_rows(c, value.versions, c.versions, names.versions, "version",
        names,
        [](catalog_version& version, const version_row& row,
            catalog_service& service)
        {
            version.weight = row.weight;
            version.max_share = row.max_share;
            service.versions.push_back(version.self);
        });
}

using searcher_index = std::unordered_map<std::string, const searcher_row*>;

void
add_target(catalog& c, const table& value, const target_row& row,
    const searcher_index& searchers, name_registries& names)
{
    catalog_service* service =
        find_entry(c.services, names.services.find(row.service));
    const catalog_zone* zone = find_entry(c.zones, names.zones.find(row.zone));
    const catalog_version* version = find_entry(c.versions,
        names.versions.find(qualified_name(row.service, row.version)));
    const auto searcher =
        searchers.find(qualified_name(row.service, row.searcher));
    std::string host;
    std::uint16_t port = 0;
    if (service == nullptr || zone == nullptr || version == nullptr ||
        searcher == searchers.end() || !split_address(row.address, host, port))
    {
        return;
    }
    catalog_target* target =
        add_entry(c.targets, names.targets, row.name, "target", c.unregistered);
    if (target == nullptr)
    {
        return;
    }
    const auto zone_weight =
        std::find_if(value.zones.begin(), value.zones.end(),
            [&](const zone_row& z) { return z.name == row.zone; });
    target->service = service->self;
    target->zone = zone->self;
    target->version = version->self;
    target->name = row.name;
    target->host = std::move(host);
    target->port = port;
    target->weight = row.weight * version->weight * zone_weight->weight;
    target->slots = row.limit.value_or(searcher->second->slots);
    target->connections = searcher->second->connections;
    target->cold_limit = std::min(searcher->second->cold_limit, target->slots);
    target->connect_cost_ms = searcher->second->connect_cost_ms;
    target->draining = row.draining;
    target->zone_out = zone->out;
    service->targets.push_back(target->self);
}

} // namespace

name_registry::name_registry(std::size_t limit) : limit_(limit) {}

std::uint16_t
name_registry::intern(const std::string& name)
{
    const auto known = indexes_.find(name);
    if (known != indexes_.end())
    {
        return known->second;
    }
    if (indexes_.size() >= limit_)
    {
        return zone_handle::invalid_index;
    }
    const auto index = static_cast<std::uint16_t>(indexes_.size());
    indexes_.emplace(name, index);
    return index;
}

std::uint16_t
name_registry::find(std::string_view name) const
{
    const auto known = indexes_.find(std::string(name));
    return known == indexes_.end() ? zone_handle::invalid_index : known->second;
}

name_registries::name_registries()
    : zones(config::max_zones), services(config::max_services),
      routes(config::max_routes), versions(config::max_versions),
      targets(config::max_targets)
{
}

std::shared_ptr<const catalog>
build_catalog(const table& value, name_registries& names)
{
    auto c = std::make_shared<catalog>();
    c->table_version = value.version;
    c->moves = value.moves;
    add_zones(*c, value, names);
    add_services(*c, value, names);
    add_routes(*c, value, names);
    add_versions(*c, value, names);
    searcher_index searchers;
    for (const searcher_row& row : value.searchers)
    {
        searchers.emplace(qualified_name(row.service, row.name), &row);
    }
    for (const target_row& row : value.targets)
    {
        add_target(*c, value, row, searchers, names);
    }
    return c;
}

const catalog_target*
find_target(const catalog& c, target_handle h)
{
    return h.index < c.targets.size() && c.targets[h.index].self.is_valid()
               ? &c.targets[h.index]
               : nullptr;
}

const catalog_service*
find_service(const catalog& c, std::string_view name)
{
    const auto found = std::find_if(c.services.begin(), c.services.end(),
        [&](const catalog_service& s)
        { return s.self.is_valid() && s.name == name; });
    return found == c.services.end() ? nullptr : &*found;
}

const catalog_zone*
find_zone(const catalog& c, std::string_view name)
{
    const auto found = std::find_if(c.zones.begin(), c.zones.end(),
        [&](const catalog_zone& z)
        { return z.self.is_valid() && z.name == name; });
    return found == c.zones.end() ? nullptr : &*found;
}

const catalog_version*
find_version(const catalog& c, service_handle service, std::string_view name)
{
    if (service.index >= c.services.size())
    {
        return nullptr;
    }
    for (const version_handle h : c.services[service.index].versions)
    {
        if (c.versions[h.index].name == name)
        {
            return &c.versions[h.index];
        }
    }
    return nullptr;
}

const catalog_route*
find_route(const catalog& c, service_handle service, std::string_view name)
{
    if (service.index >= c.services.size())
    {
        return nullptr;
    }
    for (const route_handle h : c.services[service.index].routes)
    {
        if (c.routes[h.index].name == name)
        {
            return &c.routes[h.index];
        }
    }
    return nullptr;
}

} // namespace bramleymux
