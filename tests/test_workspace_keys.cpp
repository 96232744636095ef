#include "gather_order.hpp"
#include "keys/key_check.hpp"
#include "platform_wire.hpp"
#include "property.hpp"
#include "store_objects.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;

namespace
{

const char* const state_page =
    R"({"items":[{"meta":{"name":"main","revision":7},"spec":{"version":3,)"
    R"("routes":[{"name":"open","host":"h","pathPrefix":"/open/","routeType":)"
    R"("safe","timeoutMs":100,"service":"s","public":true},{"name":"r",)"
    R"("host":"h","pathPrefix":"/","routeType":"safe","timeoutMs":100,)"
    R"("service":"s","priority":2}],"tenants":[{"name":"one","apiKeys":)"
    R"(["key-a","key-b"],"priority":0},{"name":"two","apiKeys":["key-c",)"
    R"("key-a"]},{"apiKeys":["key-d"]}]}}],"hasMore":false,"at":9})";

std::string
state_payload()
{
    const auto page = platform::decode_object_page("config", state_page);
    REQUIRE(page);
    REQUIRE(page->objects.size() == 1);
    return page->objects[0].payload;
}

desired_state
read_state(findings& found)
{
    const auto state = platform::decode_desired_state(state_payload(), found);
    REQUIRE(state);
    return *state;
}

parsed_request
request_with(header_fields fields)
{
    parsed_request out;
    out.method = "GET";
    out.path = "/x";
    out.fields = std::move(fields);
    return out;
}

} // namespace

// Guards against keys that stay readable in this VM's copy of the store, from
// which they would reach the messages to other VMs.
TEST_CASE("the copy of a desired state holds no key", "[keys]")
{
    const std::string payload = state_payload();
    CHECK(payload.find("key-") == std::string::npos);
    CHECK(payload.find(to_hex(digest_of("key-a"))) != std::string::npos);
}

// Guards against a request that runs under the wrong workspace or without a
// key, and against a faulty workspace that costs the others.
TEST_CASE("keys name their workspace", "[keys]")
{
    findings found;
    const desired_state state = read_state(found);
    CHECK(found.size() == 2); // the unnamed workspace, and the shared key
    const route_rule* route = find_route(state, "h", "/x");
    const route_rule* open = find_route(state, "h", "/open/x");
    REQUIRE(route != nullptr);
    REQUIRE(open != nullptr);
    const auto check = [&](const route_rule* r, const char* key, bool current)
    { return check_key(state, *r, key, current); };
    CHECK(check(route, "key-a", true).owner->name == "one");
    CHECK(check(route, "key-a", true).owner->priority == 0U);
    CHECK(check(route, "key-c", true).owner->name == "two");
    CHECK(!check(route, "key-c", true).owner->priority);
    for (const char* key : {"", "key-d", "key-", "key-a ", "one"})
    {
        CHECK(check(route, key, true).verdict == key_verdict::unknown_key);
        CHECK(check(open, key, true).verdict == key_verdict::allowed);
        CHECK(check(open, key, true).owner == nullptr);
    }
    // Without current knowledge neither a known nor an unknown key decides.
    CHECK(check(route, "key-a", false).verdict == key_verdict::not_current);
    CHECK(check(route, "key-d", false).verdict == key_verdict::not_current);
    CHECK(check(open, "key-a", false).verdict == key_verdict::allowed);
    CHECK(check(open, "key-a", false).owner == nullptr);
}

// Guards against a lookup that depends on the number or order of the keys.
TEST_CASE("each of many keys finds its workspace", "[keys]")
{
    workspace_keys keys;
    constexpr std::uint32_t count = 3000;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        keys.workspaces.push_back({"w" + std::to_string(i), std::nullopt});
        keys.entries.push_back({digest_of("k" + std::to_string(i)), i});
    }
    CHECK(index_keys(keys) == 0);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const auto* owner = find_workspace(keys, "k" + std::to_string(i));
        REQUIRE(owner != nullptr);
        REQUIRE(owner->name == "w" + std::to_string(i));
    }
    CHECK(find_workspace(keys, "k" + std::to_string(count)) == nullptr);
}

// Guards against a key, or a workspace that the caller named itself, that
// reaches a target.
TEST_CASE("targets get the workspace in place of the key", "[keys]")
{
    const entry_wire& wire = platform::wire();
    caller_message message = wire.read_request(request_with(
        {{"Host", "h"}, {"api-key", "key-a"}, {"x-tenant-id", "forged"},
            {"X-Tenant-Id", "forged"}, {"Accept", "*/*"}}));
    CHECK(wire.take_key(message) == "key-a");
    message.workspace = "one";
    const std::string bytes =
        wire.write_request(message, "t-1", std::chrono::seconds(1));
    CHECK(bytes.find("key-a") == std::string::npos);
    CHECK(bytes.find("forged") == std::string::npos);
    CHECK(bytes.find("X-Tenant-Id: one\r\n") != std::string::npos);
    CHECK(bytes.find("Accept: */*\r\n") != std::string::npos);

    gather_order order;
    order.message = message;
    order.shards = {"s"};
    const std::string encoded = encode_order(order);
    CHECK(encoded.find("key-a") == std::string::npos);
    const auto decoded = decode_order(encoded);
    REQUIRE(decoded);
    CHECK(decoded->message.workspace == "one");
}

// Guards against a request with two keys, of which a proxy before this VM may
// have checked the other one.
TEST_CASE("a request with several keys has none", "[keys]")
{
    const entry_wire& wire = platform::wire();
    caller_message message = wire.read_request(
        request_with({{"Api-Key", "key-a"}, {"Api-Key", "key-c"}}));
    CHECK(wire.take_key(message).empty());
    CHECK(message.forwarded.empty());
}

// Guards against a change of what deployments without workspaces send.
TEST_CASE("a state without workspaces needs no key", "[keys]")
{
    desired_state state;
    CHECK(check_key(state, route_rule{}, "", false).verdict ==
          key_verdict::allowed);
    findings found;
    const auto decoded =
        platform::decode_desired_state(R"({"version":1,"routes":[]})", found);
    REQUIRE(decoded);
    CHECK(!decoded->workspaces);
}
