#include "catalog.hpp"

#include <catch2/catch.hpp>

#include "table_samples.hpp"

using namespace bramleymux;

namespace
{

table
sample()
{
    findings found;
    table t = parse_table(sample_table_json(), 3, found);
    REQUIRE(found.empty());
    return t;
}

} // namespace

TEST_CASE("a catalog holds the table's rows by handle", "[catalog]")
{
    // Guards against wrong products of weights and worths, and wrong limits.
    name_registries names;
    table t = sample();
    t.zones[1].weight = 0.5;
    t.zones[1].out = true;
    t.targets[1].limit = 2;
    const auto c = build_catalog(t, names);
    CHECK(c->table_version == 3);
    const catalog_service* service = find_service(*c, "exam-desk");
    REQUIRE(service != nullptr);
    REQUIRE(service->targets.size() == 2);
    const catalog_target* a = find_target(*c, service->targets[0]);
    const catalog_target* b = find_target(*c, service->targets[1]);
    REQUIRE((a != nullptr && b != nullptr));
    CHECK(a->slots == 4);
    CHECK(a->host == "127.0.0.1");
    CHECK(a->port == 9001);
    CHECK(b->slots == 2);
    CHECK(b->weight == Approx(0.25));
    CHECK(b->zone_out);
    const catalog_route* route = find_route(*c, service->self, "find");
    REQUIRE(route != nullptr);
    CHECK(route->worth == Approx(6.0));
    CHECK(find_version(*c, service->self, "v2")->self == b->version);
    CHECK(find_zone(*c, "z2")->self == b->zone);
    CHECK(find_service(*c, "absent") == nullptr);
    CHECK(find_route(*c, service->self, "absent") == nullptr);
    CHECK(find_route(*c, service_handle{}, "find") == nullptr);
    CHECK(find_target(*c, target_handle{}) == nullptr);
}

TEST_CASE("handles stay the same across table versions", "[catalog]")
{
    // Guards against confusing the state of two targets after rows are removed
    // or reordered.
    name_registries names;
    table t = sample();
    const auto before = build_catalog(t, names);
    const target_handle b = before->services[0].targets[1];
    t.targets.erase(t.targets.begin());
    const auto after = build_catalog(t, names);
    REQUIRE(after->services[0].targets.size() == 1);
    CHECK(after->services[0].targets[0] == b);
    CHECK(find_target(*after, before->services[0].targets[0]) == nullptr);
}

TEST_CASE("rows that exceed a registry are left out and listed", "[catalog]")
{
    // Guards against a handle index past the end of a fixed-size array.
    name_registry names(1);
    CHECK(names.intern("a") == 0);
    CHECK(names.intern("b") == zone_handle::invalid_index);
    CHECK(names.intern("a") == 0);
    name_registries all;
    all.targets = name_registry(1);
    const auto c = build_catalog(sample(), all);
    REQUIRE(c->unregistered.size() == 1);
    CHECK(c->unregistered[0] == "target/exam-1-b");
    CHECK(c->services[0].targets.size() == 1);
}
