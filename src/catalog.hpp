#pragma once

#include "table.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Rows of one table version, compiled for lookup by handle. A name keeps its
/// handle across table versions, so that state indexed by handle survives an
/// edit.
namespace bramleymux
{

/// Assigns handle indexes to names. An index is never reused while the process
/// runs. Not thread-safe.
class name_registry
{
public:
    explicit name_registry(std::size_t limit);

    /// Returns the handle index of a name, which is added if new; the invalid
    /// index if the limit is reached.
    std::uint16_t
    intern(const std::string& name);

    /// Returns the handle index of a name, or the invalid index if unknown.
    std::uint16_t
    find(std::string_view name) const;

private:
    std::size_t limit_;
    std::unordered_map<std::string, std::uint16_t> indexes_;
};

/// Registries of all row kinds, shared by the catalogs of successive table
/// versions.
struct name_registries
{
    name_registries();

    name_registry zones;
    name_registry services;
    name_registry routes;   ///< keys "service:route"
    name_registry versions; ///< keys "service:version"
    name_registry targets;
};

struct catalog_target
{
    target_handle self;
    service_handle service;
    zone_handle zone;
    version_handle version;
    std::string name;
    std::string host;
    std::uint16_t port = 0;
    double weight = 1.0;     ///< row weight x version weight x zone weight
    std::uint32_t slots = 0; ///< limit of concurrent requests from the table
    std::uint32_t connections = 0;
    std::uint32_t cold_limit = 1;
    std::uint32_t connect_cost_ms = 1;
    bool draining = false;
    bool zone_out = false;
};

struct catalog_route
{
    route_handle self;
    service_handle service;
    std::string name;
    double worth = 1.0; ///< service worth x route worth
    bool idempotent = true;
};

struct catalog_service
{
    service_handle self;
    std::string name;
    double worth = 1.0;
    double floor_share = 0.0;
    double min_coverage = 0.0;
    std::vector<target_handle> targets;
    std::vector<route_handle> routes;
    std::vector<version_handle> versions;
};

struct catalog_version
{
    version_handle self;
    service_handle service;
    std::string name;
    double weight = 1.0;
    double max_share = 1.0;
};

struct catalog_zone
{
    zone_handle self;
    std::string name;
    std::string region;
    bool out = false;
};

/// Immutable once built. Vectors are indexed by handle; unused entries have an
/// invalid `self`.
struct catalog
{
    std::uint64_t table_version = 0;
    std::vector<catalog_zone> zones;
    std::vector<catalog_service> services;
    std::vector<catalog_route> routes;
    std::vector<catalog_version> versions;
    std::vector<catalog_target> targets;
    std::vector<move_row> moves;
    /// Rows ("kind/key") left out because their registry is full. Names of
    /// removed rows count too: they keep their handles until the process
    /// restarts.
    std::vector<std::string> unregistered;
};

/// Compiles a table and adds its names to `names`. A row that refers to an
/// unknown row, and a target with an invalid address, is left out.
std::shared_ptr<const catalog>
build_catalog(const table& value, name_registries& names);

// The find functions return null if there is no such entry.

const catalog_target*
find_target(const catalog& c, target_handle h);

const catalog_service*
find_service(const catalog& c, std::string_view name);

const catalog_zone*
find_zone(const catalog& c, std::string_view name);

const catalog_version*
find_version(const catalog& c, service_handle service, std::string_view name);

const catalog_route*
find_route(const catalog& c, service_handle service, std::string_view name);

} // namespace bramleymux
