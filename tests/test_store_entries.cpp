#include "entry_fixture.hpp"
#include "json_scan.hpp"
#include "platform_source.hpp"
#include "property.hpp"
#include "store_objects.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

const char* const kinds[] = {"servers", "config", "rollouts", "evacuations",
    "bramleymux-rollout-reports", "bramleymux-vms"};

std::string
nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string
target_spec(const std::string& address, const std::string& state = "ready")
{
    return R"({"service":"s","address":)" + address +
           R"(,"zone":"north","version":"v1","slots":4,"state":")" + state +
           R"(","warmupLeftMs":0,"sequence":4})";
}

std::string
object_text(const std::string& name, std::uint64_t revision,
    const std::string& spec, const std::string& status = "null")
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" +
           std::to_string(revision) + R"(,"createdRev":1},"spec":)" + spec +
           R"(,"status":)" + status + "}";
}

/// Specs that cannot be read, or that are no valid entry of any kind.
std::vector<std::string>
odd_specs()
{
    return {nested(200000), R"({"service":)" + nested(200000) + "}",
        target_spec("\"\\udcff\\udcfe\\udc80\""),
        target_spec("\"\xff\xfe\x80\""), target_spec("1e400"),
        target_spec("-1e400"), target_spec("\"10.0.0.1:0\""),
        target_spec("\"10.0.0.1:65536\""), target_spec("\"10.0.0.1:-1\""),
        target_spec("\"0.0.0.0:80\""), target_spec("\"nowhere\""),
        target_spec("\"" + std::string(900000, 'a') + "\""), target_spec("7"),
        target_spec("{\"a\":}"), "7", "\"x\"", "[]", "{}", "null",
        R"({"service":{},"entries":7,"routes":3,"version":-1})"};
}

std::string
list_of(const std::vector<std::string>& items)
{
    std::string out = R"({"items":[)";
    for (const std::string& item : items)
    {
        out += (&item == &items.front() ? "" : ",") + item;
    }
    return out + R"(],"hasMore":false,"at":50})";
}

std::string
events_of(const std::vector<std::string>& objects)
{
    std::string out = R"({"events":[)";
    for (const std::string& object : objects)
    {
        out += (&object == &objects.front() ? "" : ",");
        out += R"({"deleted":false,"object":)" + object + "}";
    }
    return out + R"(],"at":60})";
}

/// Decodes an object as every VM does, whether it comes from the store or from
/// a relay.
void
decode(const store_change& change)
{
    findings found;
    static_cast<void>(platform::decode_target(change.name, change.payload));
    static_cast<void>(platform::decode_desired_state(change.payload, found));
    static_cast<void>(platform::decode_rollout(change));
    static_cast<void>(platform::decode_rollout_report(change.payload));
    static_cast<void>(platform::decode_vm(change.name, change.payload));
}

} // namespace

// Guards against an entry of another program that ends every VM or hides the
// other entries of its list.
TEST_CASE("an odd entry of a list costs itself alone", "[platform]")
{
    const std::string good = target_spec("\"10.0.0.1:80\"");
    for (const char* kind : kinds)
    {
        for (const std::string& odd : odd_specs())
        {
            INFO(kind << ": " << odd.substr(0, 100));
            const auto page = platform::decode_object_page(kind,
                list_of({object_text("a", 5, good), object_text("b", 6, odd),
                    object_text("c", 7, good, odd)}));
            REQUIRE(page.has_value());
            REQUIRE(page->objects.size() == 3);
            CHECK(page->unreadable.empty());
            CHECK(page->revision == store_revision{0, 50});
            CHECK(page->objects[0].payload.find("10.0.0.1:80") !=
                  std::string::npos);
            CHECK(page->objects[1].name == "b");
            CHECK(page->objects[1].revision == store_revision{0, 6});
            for (const store_change& object : page->objects)
            {
                decode(object);
            }
            CHECK(!platform::decode_target("b", page->objects[1].payload));
        }
    }
}

// Guards against an odd entry that arrives by a watch.
TEST_CASE("an odd entry of a watch costs itself alone", "[platform]")
{
    const std::string good = target_spec("\"10.0.0.1:80\"");
    for (const char* kind : kinds)
    {
        for (const std::string& odd : odd_specs())
        {
            INFO(kind << ": " << odd.substr(0, 100));
            const auto page = platform::decode_change_page(kind,
                events_of(
                    {object_text("b", 55, odd), object_text("a", 56, good)}));
            REQUIRE(page.has_value());
            REQUIRE(page->changes.size() == 2);
            CHECK(page->revision == store_revision{0, 60});
            CHECK(page->changes[1].name == "a");
            decode(page->changes[0]);
        }
    }
}

// Guards against an entry without a readable name that hides the others or is
// ignored without a word.
TEST_CASE("an entry without a readable name is left out and named by its place",
    "[platform]")
{
    const std::string good =
        object_text("a", 5, target_spec("\"10.0.0.1:80\""));
    const std::string unnamed[] = {"7", "null", "[]", "{}", nested(200000),
        R"({"meta":{},"spec":{}})", R"({"meta":{"name":7},"spec":{}})",
        R"({"meta":{"name":"\udcff"},"spec":{}})",
        R"({"meta":)" + nested(200000) + "}",
        R"({"meta":{"name":")" + std::string(5000, 'n') + R"("},"spec":{}})"};
    for (const std::string& odd : unnamed)
    {
        INFO(odd.substr(0, 100));
        const auto page =
            platform::decode_object_page("servers", list_of({odd, good}));
        REQUIRE(page.has_value());
        REQUIRE(page->objects.size() == 1);
        CHECK(page->objects[0].name == "a");
        REQUIRE(page->unreadable.size() == 1);
        CHECK(page->unreadable[0].place == "servers/items/0");
    }
}

// Guards against a deep or huge payload that another VM passes on.
TEST_CASE("an odd payload from a relay is refused", "[platform]")
{
    for (const std::string& odd : odd_specs())
    {
        INFO(odd.substr(0, 100));
        change_delta delta;
        delta.full = true;
        delta.changes = {{"servers", "b", {0, 6}, false, odd}};
        const auto back = decode_delta(encode_delta(delta));
        REQUIRE(back.has_value());
        decode(back->changes.at(0));
        CHECK(!platform::decode_target("b", back->changes[0].payload));
    }
}

// Guards against entries that lack fields and are used as targets.
TEST_CASE("a target without one of its fields is not used", "[platform]")
{
    const auto whole = nlohmann::json::parse(target_spec("\"10.0.0.1:80\""));
    REQUIRE(platform::decode_target("i", whole.dump()));
    for (const auto& [name, value] : whole.items())
    {
        INFO(name);
        nlohmann::json part = whole;
        part.erase(name);
        CHECK(!platform::decode_target("i", part.dump()));
        part[name] = nlohmann::json::array({1});
        CHECK(!platform::decode_target("i", part.dump()));
    }
}

// Guards against an order of another program that takes the place of the order
// of a service, or completes a rollout at once.
TEST_CASE("a rollout order must be the one of its service", "[platform]")
{
    const auto decoded = [](const std::string& name, const std::string& spec)
    {
        return platform::decode_rollout(
            {"rollouts", name, {0, 1}, false, R"({"spec":)" + spec + "}"});
    };
    CHECK(
        decoded("s", R"({"service":"s","targetVersion":"v2","durationS":12})"));
    CHECK(!decoded(
        "t", R"({"service":"s","targetVersion":"v2","durationS":12})"));
    CHECK(
        !decoded("s", R"({"service":"s","targetVersion":"v2","durationS":0})"));
}

// Guards against counts of another program that distort the evidence.
TEST_CASE("impossible counts of a rollout report are refused", "[platform]")
{
    const auto decoded = [](const std::string& counts)
    {
        return platform::decode_rollout_report(
            R"({"entries":[{"service":"s","version":"v","order":1,"fresh":)" +
            counts + R"(,"former":[0,0]}]})");
    };
    CHECK(decoded("[5,2]"));
    for (const char* counts : {"[2,5]", "[-1,-2]", "[1e300,1]", "[1e400,1]",
             "[1]", "7", "[\"5\",2]", "[5,2,1]"})
    {
        INFO(counts);
        CHECK(!decoded(counts));
    }
}

// Guards against names that change the path or the query of a call.
TEST_CASE("names are encoded in calls to the store", "[platform]")
{
    CHECK(platform::encode_query_value("i-7f.a_b~1") == "i-7f.a_b~1");
    CHECK(platform::encode_query_value("a&b c/\r\n\xff") ==
          "a%26b%20c%2F%0D%0A%FF");
}

// Guards against text that the splitting reads beyond its end or takes apart
// wrongly, whatever stands in the entries.
TEST_CASE("any bytes in one entry leave the others readable", "[platform]")
{
    const auto property = [](const std::string& bytes)
    {
        static_cast<void>(split_array(bytes));
        static_cast<void>(split_object(bytes));
        static_cast<void>(parse_readable_json(bytes));
        std::string quoted;
        for (const char c : bytes)
        {
            quoted += c == '"' || c == '\\' ? std::string("\\") + c
                                            : std::string(1, c);
        }
        const auto page = platform::decode_object_page("servers",
            list_of({object_text("b", 6, "\"" + quoted + "\""),
                object_text("a", 5, target_spec("\"10.0.0.1:80\""))}));
        RC_ASSERT(page.has_value());
        RC_ASSERT(page->objects.size() == 2);
        RC_ASSERT(
            platform::decode_target("a", page->objects[1].payload).has_value());
    };
    CHECK(test::holds(31, 500, property));
}

// Guards against a body that is no page and passes for an empty one.
TEST_CASE("a body that is no page is refused", "[platform]")
{
    for (const char* body :
        {"", "[]", "{}", R"({"items":[]})", R"({"items":{},"at":1})",
            R"({"items":[1,"at":1})", R"({"items":["],"at":1})",
            R"({"items":[]],"at":1})", R"({"items":[],"at":1)"})
    {
        INFO(body);
        CHECK(!platform::decode_object_page("servers", body));
    }
    CHECK(platform::decode_object_page("servers", R"({"items":[],"at":1})"));
    CHECK(!platform::decode_change_page("servers", R"({"events":7,"at":1})"));
}

// Guards against VMs that no longer follow the targets while an odd entry is in
// the store.
TEST_CASE("targets are followed beside odd entries of every kind", "[platform]")
{
    entry_vm vm;
    bool drains = false;
    const auto reply = [](const std::string& body)
    { return scripted_reply{http_text(200, "", body)}; };
    stand_in_target store(vm.loop, "store",
        [&](const parsed_request& request) -> scripted_reply
        {
            const bool watch = request.path.find("watch=") != std::string::npos;
            std::vector<std::string> entries;
            for (const std::string& odd : odd_specs())
            {
                entries.push_back(object_text(
                    "odd-" + std::to_string(entries.size()), 9, odd));
            }
            if (request.path.find("/servers") != std::string::npos)
            {
                entries.push_back(object_text("i-1", drains ? 11 : 10,
                    target_spec(
                        "\"127.0.0.1:9\"", drains ? "draining" : "ready")));
            }
            if (!watch)
            {
                return reply(list_of(entries));
            }
            scripted_reply out =
                reply(events_of(drains ? entries : std::vector<std::string>{}));
            out.wait = 20ms;
            return out;
        });
    platform::platform_source source(vm.loop, store.address(),
        {"vm-1", "north", "127.0.0.1:1"}, rollout_limits{}, vm.context,
        vm.server);
    source.start();
    test_caller runner(vm.loop, vm.caller_address());
    const auto run_until = [&](const std::function<bool()>& done)
    {
        runner.run_until(
            [&]
            {
                source.tick();
                return done();
            });
    };
    const auto usable = [&] { return vm.pool.choose("s", {}) != nullptr; };
    run_until(usable);
    CHECK(vm.pool.size() == 1);
    drains = true;
    run_until([&] { return !usable(); });
}
