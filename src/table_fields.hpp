#pragma once

#include "table.hpp"

#include <string_view>
#include <tuple>

/// Field lists of the table's rows, used to parse and serialise them.
namespace bramleymux
{

/// A field by its JSON name and the member that holds it.
template <class Row, class Value>
struct row_field
{
    std::string_view name;
    Value Row::*member;
    bool required;
};

template <class Row, class Value>
constexpr row_field<Row, Value>
required(std::string_view name, Value Row::*member)
{
    return {name, member, true};
}

template <class Row, class Value>
constexpr row_field<Row, Value>
optional_field(std::string_view name, Value Row::*member)
{
    return {name, member, false};
}

constexpr auto
fields_of(const zone_row*)
{
    return std::make_tuple(required("name", &zone_row::name),
        optional_field("region", &zone_row::region),
        optional_field("weight", &zone_row::weight),
        optional_field("out", &zone_row::out));
}

constexpr auto
fields_of(const service_row*)
{
    return std::make_tuple(required("name", &service_row::name),
        optional_field("worth", &service_row::worth),
        optional_field("floor_share", &service_row::floor_share),
        optional_field("min_coverage", &service_row::min_coverage));
}

constexpr auto
fields_of(const route_row*)
{
    return std::make_tuple(required("service", &route_row::service),
        required("name", &route_row::name),
        optional_field("worth", &route_row::worth),
        optional_field("idempotent", &route_row::idempotent));
}

constexpr auto
fields_of(const searcher_row*)
{
    return std::make_tuple(required("service", &searcher_row::service),
        required("name", &searcher_row::name),
        optional_field("slots", &searcher_row::slots),
        optional_field("connections", &searcher_row::connections),
        optional_field("cold_limit", &searcher_row::cold_limit),
        optional_field("connect_cost_ms", &searcher_row::connect_cost_ms));
}

constexpr auto
fields_of(const version_row*)
{
    return std::make_tuple(required("service", &version_row::service),
        required("name", &version_row::name),
        optional_field("weight", &version_row::weight),
        optional_field("max_share", &version_row::max_share));
}

constexpr auto
fields_of(const target_row*)
{
    return std::make_tuple(required("name", &target_row::name),
        required("service", &target_row::service),
        required("searcher", &target_row::searcher),
        required("zone", &target_row::zone),
        required("version", &target_row::version),
        required("address", &target_row::address),
        optional_field("weight", &target_row::weight),
        optional_field("limit", &target_row::limit),
        optional_field("draining", &target_row::draining));
}

constexpr auto
fields_of(const move_row*)
{
    return std::make_tuple(required("name", &move_row::name),
        required("service", &move_row::service),
        required("from", &move_row::from), required("to", &move_row::to),
        required("start_ms", &move_row::start_ms),
        required("deadline_ms", &move_row::deadline_ms),
        optional_field("soak_ms", &move_row::soak_ms),
        optional_field("state", &move_row::state),
        optional_field("cause", &move_row::cause));
}

constexpr auto
fields_of(const edit_record*)
{
    return std::make_tuple(required("id", &edit_record::id),
        optional_field("author", &edit_record::author),
        optional_field("at_ms", &edit_record::at_ms),
        optional_field("base_version", &edit_record::base_version),
        optional_field("fingerprint", &edit_record::fingerprint),
        optional_field("rows", &edit_record::rows));
}

/// Calls `visit(field)` for each field of a row type, in the listed order.
template <class Row, class Visit>
void
for_each_field(Visit&& visit)
{
    std::apply([&](const auto&... field) { (visit(field), ...); },
        fields_of(static_cast<const Row*>(nullptr)));
}

/// Calls `visit(kind, rows)` for each kind of row. Edit records are not a kind.
template <class Table, class Visit>
void
for_each_kind(Table& value, Visit&& visit)
{
    visit(row_kind::zone, value.zones);
    visit(row_kind::service, value.services);
    visit(row_kind::route, value.routes);
    visit(row_kind::searcher, value.searchers);
    visit(row_kind::version, value.versions);
    visit(row_kind::target, value.targets);
    visit(row_kind::move, value.moves);
}

} // namespace bramleymux
