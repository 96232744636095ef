#include "config.hpp"
#include "entry_fixture.hpp"
#include "platform_source.hpp"
#include "store_objects.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

const std::string target_spec =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","warmupLeftMs":1500,"sequence":4,)"
    R"("born":1700000000000})";

std::string
object_json(
    const std::string& name, std::uint64_t revision, const std::string& spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" +
           std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

std::string
config_spec(int version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r","host":"H.example","pathPrefix":"/q/",)"
           R"("routeType":"safe","timeoutMs":1500,"targetLatencyMs":150,)"
           R"("service":"s","attempts":2}],"services":[{"name":"s",)"
           R"("healthPath":"/h","maxConnections":36,"warmupPerS":8.0}],)"
           R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,)"
           R"("headerTimeoutMs":2000,"idleTimeoutMs":9000}})";
}

scripted_reply
json_reply(const std::string& body)
{
    return {http_text(200, "Content-Type: application/json\r\n", body)};
}

} // namespace

// Guards against fields of a target that are decoded into the wrong member.
TEST_CASE("a target is decoded", "[platform]")
{
    const auto target = platform::decode_target("i-1", target_spec);
    REQUIRE(target.has_value());
    CHECK(target->id == "i-1");
    CHECK(target->service == "s");
    CHECK(target->slots == 4);
    CHECK(!target->leaving);
    CHECK(target->cold_start_left == 1500ms);
    CHECK(target->started_ms == 1700000000000);
}

// Guards against a malformed or foreign object that is used as a target.
TEST_CASE("malformed targets are refused", "[platform]")
{
    for (const std::string spec :
        {"", "[]", "null", "\"x\"", "{}", R"({"service":"s"})",
            R"({"service":7,"address":"10.0.0.1:80","state":"ready"})",
            R"({"service":"s","address":"nowhere","state":"ready"})",
            R"({"service":"s","address":"10.0.0.1:80","state":"resting"})"})
    {
        INFO(spec);
        CHECK(!platform::decode_target("i-1", spec).has_value());
    }
}

// Guards against a desired state that loses limits, timeouts or route types.
TEST_CASE("a desired state is decoded", "[platform]")
{
    findings found;
    const auto state = platform::decode_desired_state(config_spec(7), found);
    REQUIRE(state.has_value());
    CHECK(found.empty());
    CHECK(state->version == 7);
    const route_rule& route = state->routes.at(0);
    CHECK(route.host == "h.example");
    CHECK(route.idempotent);
    CHECK(route.timeout == 1500ms);
    CHECK(route.target_latency == 150ms);
    CHECK(route.attempts == 2);
    CHECK(state->services.at(0).max_connections == 36);
    CHECK(state->services.at(0).cold_rate == 8.0);
    CHECK(state->limits.max_body_bytes == 1000);
    CHECK(state->limits.idle_timeout == 9s);
}

// Guards against one bad route that disables the others without a finding.
TEST_CASE("a malformed route is reported and the others are used", "[platform]")
{
    findings found;
    const auto state = platform::decode_desired_state(
        R"({"version":1,"routes":[{"name":"x"},)"
        R"({"host":"h","pathPrefix":"/a/","timeoutMs":1,)"
        R"("trafficSplit":[{"service":"a","weight":3},)"
        R"({"service":"b","weight":1}]}]})",
        found);
    REQUIRE(state.has_value());
    CHECK(state->routes.size() == 1);
    CHECK(!state->routes[0].idempotent);
    CHECK(state->routes[0].shares.at(0).weight == 3);
    REQUIRE(found.size() == 1);
    CHECK(found[0].place == "routes/0");
    CHECK(!platform::decode_desired_state("{}", found).has_value());
}

// Guards against headers that are lost, sent twice or, if hop-by-hop,
// forwarded.
TEST_CASE("headers are translated between caller and target", "[platform]")
{
    parsed_request request;
    request.method = "GET";
    request.path = "/q/1?x=y";
    request.fields = {{"Host", "h"}, {"x-request-id", "r1"},
        {"X-Deadline-Ms", "250"}, {"X-Expect-Instance", "forged"},
        {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"},
        {"X-Other", "kept"}};
    const caller_message message =
        platform::wire().read_request(std::move(request));
    CHECK(message.id == "r1");
    CHECK(message.time_left == 250ms);
    const std::string bytes =
        platform::wire().write_request(message, "i-1", 200ms);
    CHECK(bytes == "GET /q/1?x=y HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
                   "X-Deadline-Ms: 200\r\nX-Expect-Instance: i-1\r\n"
                   "X-Other: kept\r\n\r\n");
    http_reply reply;
    reply.status = 503;
    reply.fields = {{"X-Not-Executed", "1"}, {"X-Server-Load", "3,2,4"},
        {"Keep-Alive", "timeout=7"}, {"X-Warmup-Ms", "900"}};
    const target_reply decoded = platform::wire().read_reply(std::move(reply));
    CHECK(decoded.not_run);
    CHECK(decoded.load->waiting == 2);
    CHECK(decoded.idle_limit == 7s);
    CHECK(decoded.cold_start_left == 900ms);
    CHECK(decoded.forwarded.empty());
}

namespace
{

/// A stand-in for the platform's store with one object, the desired state.
/// Lists of other kinds are empty, and watches of them stay open.
struct stand_in_store
{
    explicit stand_in_store(boost::asio::io_context& loop)
        : server(loop, "store",
              [this](const parsed_request& r) { return answer(r); })
    {
    }

    scripted_reply
    answer(const parsed_request& request)
    {
        const bool watch = request.path.find("watch=") != std::string::npos;
        if (request.path.find("/config") != std::string::npos)
        {
            return watch ? on_watch(request)
                         : json_reply(R"({"items":[)" + config +
                                      R"(],"hasMore":false,"at":)" +
                                      std::to_string(at) + "}");
        }
        if (watch)
        {
            return {"", false, false, true};
        }
        return json_reply(R"({"items":[],"hasMore":false,"at":5})");
    }

    std::function<scripted_reply(const parsed_request&)> on_watch =
        [](const parsed_request&) -> scripted_reply {
        return {"", false, false, true};
    };
    std::string config = object_json("main", 4, config_spec(4));
    int at = 4;
    stand_in_target server;
};

} // namespace

// Guards against a version that is missed because a watch returned no event for
// it and the next watch started after it (a VM kept version 4 for 5.3 s).
TEST_CASE("the range of a watch without events is watched again", "[platform]")
{
    entry_vm vm;
    stand_in_store store(vm.loop);
    bool first_watch_done = false;
    store.on_watch = [&](const parsed_request& request) -> scripted_reply
    {
        // The first watch misses version 7 at revision 6 and ends at 9.
        if (request.path.find("watch=9") != std::string::npos)
        {
            scripted_reply out = json_reply(R"({"events":[],"at":9})");
            out.wait = 5ms;
            return out;
        }
        if (!first_watch_done)
        {
            first_watch_done = true;
            return json_reply(R"({"events":[],"at":9})");
        }
        return json_reply(R"({"events":[{"deleted":false,"object":)" +
                          object_json("main", 6, config_spec(7)) +
                          R"(}],"at":9})");
    };
    platform::platform_source source(vm.loop, store.server.address(),
        {"vm-1", "north", "127.0.0.1:1"}, rollout_limits{}, vm.context,
        vm.server);
    source.start();
    test_caller runner(vm.loop, vm.caller_address());
    runner.run_until(
        [&]
        {
            source.tick();
            return vm.server.state() != nullptr &&
                   vm.server.state()->version == 7;
        });
}

// Guards against VMs that miss each other once the entries of VMs that are gone
// fill the first page of the list.
TEST_CASE("VMs on later pages of the list are found", "[platform]")
{
    entry_vm vm;
    stand_in_store empty(vm.loop);
    const auto entry = [](const std::string& id)
    { return object_json(id, 3, R"({"zone":"z","peer":"127.0.0.1:9"})"); };
    stand_in_target store(vm.loop, "store",
        [&](const parsed_request& request) -> scripted_reply
        {
            if (request.method != "GET" ||
                request.path.find("/bramleymux-vms?") == std::string::npos)
            {
                return empty.answer(request);
            }
            const bool later =
                request.path.find("after=vm-1") != std::string::npos;
            return json_reply(
                R"({"items":[)" +
                (later ? entry("vm-2") + "," + entry("vm-3") : entry("vm-1")) +
                R"(],"hasMore":)" + (later ? "false" : "true") + R"(,"at":5})");
        });
    std::size_t found = 0;
    platform::vm_registry registry(vm.loop, store.address(), vm.counters,
        {"vm-1", "z", "127.0.0.1:9"},
        [&](const std::vector<registered_vm>& vms)
        { found = std::max(found, vms.size()); });
    registry.start();
    test_caller runner(vm.loop, vm.caller_address());
    runner.run_until([&] { return found == 3; });
}

// Guards against probes that follow each other without a pause while the store
// refuses them, which it charges for.
TEST_CASE("a store that refuses calls is probed at intervals", "[platform]")
{
    entry_vm vm;
    std::size_t probes = 0;
    bool refuses = false;
    stand_in_store empty(vm.loop);
    stand_in_target store(vm.loop, "store",
        [&](const parsed_request& request) -> scripted_reply
        {
            const bool probe =
                request.method == "GET" &&
                request.path.find("vms/vm-1") != std::string::npos;
            probes += probe ? 1 : 0;
            return refuses || probe ? scripted_reply{http_text(503, "", "")}
                                    : empty.answer(request);
        });
    platform::platform_source source(vm.loop, store.address(),
        {"vm-1", "north", "127.0.0.1:1"}, rollout_limits{}, vm.context,
        vm.server);
    source.start();
    test_caller runner(vm.loop, vm.caller_address());
    const auto start = monotonic_clock::now();
    runner.run_until(
        [&]
        {
            source.tick();
            refuses = vm.server.state() != nullptr;
            return probes >= 3;
        });
    const std::chrono::duration<double> elapsed =
        monotonic_clock::now() - start;
    const std::chrono::duration<double> interval =
        vm.pool.options().leave_bound * config::store_probe_age_share;
    CHECK(static_cast<double>(probes) <= 1 + elapsed / interval);
}

// Guards against changes that are lost when the connection of a watch breaks
// and the store has dropped the history.
TEST_CASE("objects are listed again after a failed watch", "[platform]")
{
    entry_vm vm;
    stand_in_store store(vm.loop);
    store.on_watch = [&](const parsed_request&) -> scripted_reply
    {
        store.config = object_json("main", 8, config_spec(9));
        store.at = 20;
        return {"", false, true};
    };
    platform::platform_source source(vm.loop, store.server.address(),
        {"vm-1", "north", "127.0.0.1:1"}, rollout_limits{}, vm.context,
        vm.server);
    source.start();
    test_caller runner(vm.loop, vm.caller_address());
    runner.run_until(
        [&]
        {
            source.tick();
            return vm.server.state() != nullptr &&
                   vm.server.state()->version == 9;
        });
}
