#include "entry_fixture.hpp"
#include "platform_source.hpp"
#include "process_pause.hpp"
#include "soak/store.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;
using nlohmann::json;

namespace
{

constexpr const char* key_field = "X-Deadline-Ms: 4000\r\nApi-Key: key-a\r\n";

desired_state
keyed_state(std::uint64_t version)
{
    desired_state out;
    out.version = version;
    out.routes = {entry_vm::make_route("r", {"s"}, false, true)};
    out.workspaces.emplace();
    out.workspaces->workspaces.push_back({"one", std::nullopt});
    out.workspaces->entries.push_back({digest_of("key-a"), 0});
    return out;
}

/// Another VM that answers questions for the age of its proof.
struct answering_vm
{
    answering_vm(entry_vm& parts, std::uint64_t version)
        : server(parts.context, {200ms, 400ms}),
          proofs(parts.loop, parts.counters, parts.log,
              {[this, version] {
                   return state_in_force{true, version, {0, 1000}, 0, &payload};
               },
                  [](const freshness_answer&) {}})
    {
        REQUIRE(server.listen("127.0.0.1:0", "", "", "127.0.0.1:0"));
        proofs.set_bound(1h);
        server.set_peer_handler([this](const std::string& path,
                                    const proof_exchange::reply_handler& reply)
            { proofs.serve(path, reply); });
    }

    std::string payload;
    entry_server server;
    proof_exchange proofs;
};

json
state_spec(std::uint64_t version, const std::vector<std::string>& keys)
{
    return {{"version", version},
        {"routes",
            {{{"name", "r"}, {"host", "h.example"}, {"pathPrefix", "/r/"},
                {"routeType", "safe"}, {"timeoutMs", 3000},
                {"targetLatencyMs", 3000}, {"service", "s"}, {"attempts", 2}}}},
        {"services", {{{"name", "s"}, {"healthPath", "/health"},
                         {"maxConnections", 20}, {"warmupPerS", 1000}}}},
        {"tenants", {{{"name", "one"}, {"apiKeys", keys}}}}};
}

/// A VM that follows a store, and a target.
struct followed_store
{
    explicit followed_store(duration bound)
        : store(vm.loop, 1),
          target(vm.loop, "i-1",
              [](const parsed_request& request)
              {
                  return request.path == "/health"
                             ? scripted_reply{http_text(
                                   200, "X-Instance-Id: i-1\r\n", "")}
                             : good(request, "p", "body");
              }),
          other(vm, 2),
          source(vm.loop, store.address(0), {"vm-1", "north", "127.0.0.1:1"},
              rollout_limits{}, vm.context, vm.server)
    {
        source.set_revocation_bound(bound);
        store.put("servers", "i-1",
            {{"service", "s"}, {"address", target.address()}, {"zone", "north"},
                {"version", "v1"}, {"slots", 32}, {"state", "ready"},
                {"warmupLeftMs", 0}, {"sequence", 1}, {"born", 1700000000000}});
        store.put("config", "main", state_spec(1, {"key-a", "key-b"}));
        store.put("bramleymux-vms", "vm-2",
            {{"zone", "north"}, {"peer", other.server.addresses().at(1)}});
        source.start();
        tick();
    }

    void
    tick()
    {
        source.tick();
        timer.expires_after(10ms);
        timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    tick();
                }
            });
    }

    /// Sends requests until one gets the status, on one connection while the VM
    /// keeps it. Returns the time at which the last answered one was sent.
    monotonic_time
    request_until(int status)
    {
        monotonic_time last_answered{};
        for (int last = 0; last != status;)
        {
            if (callers.empty() || callers.back()->closed || ended)
            {
                callers.push_back(std::make_unique<test_caller>(
                    vm.loop, vm.caller_address()));
            }
            test_caller& caller = *callers.back();
            const auto sent_at = monotonic_clock::now();
            caller.send(get("/r/x", std::to_string(++requests), key_field));
            const http_reply reply = caller.reply();
            last = reply.status;
            last_answered = last == 200 ? sent_at : last_answered;
            ended = !reply.keep_alive;
            const auto pause = monotonic_clock::now() + 5ms;
            caller.run_until([&] { return monotonic_clock::now() >= pause; });
        }
        return last_answered;
    }

    entry_vm vm;
    soak::stand_in_store store;
    stand_in_target target;
    /// Another registered VM, without a proof at first.
    answering_vm other;
    platform::platform_source source;
    boost::asio::steady_timer timer{vm.loop};
    /// The last one is in use. A caller with a read in progress must not be
    /// destroyed while the loop runs.
    std::vector<std::unique_ptr<test_caller>> callers;
    bool ended = false; ///< the VM ended keep-alive
    int requests = 0;
};

} // namespace

// Guards against a VM that accepts a key without knowing whether it was
// revoked, that stays in the rotation meanwhile, or that does not serve again
// once another VM has told it how recent its knowledge is.
TEST_CASE("a VM without a proof refuses keys until it has one", "[revocation]")
{
    entry_vm vm;
    stand_in_target target(vm.loop, "i-1",
        [](const parsed_request& request)
        { return good(request, "p", "body"); });
    vm.pool.put(target.record("s", "north"));
    vm.server.adopt(std::make_shared<const desired_state>(keyed_state(3)));
    vm.server.set_synced(true);
    answering_vm other(vm, 3);
    answering_vm behind(vm, 2);
    behind.proofs.record_store_proof(boot_time(), 0);

    std::uint64_t adopted = 0;
    proof_exchange proofs(vm.loop, vm.counters, vm.log,
        {[&] {
             return state_in_force{true, vm.server.state()->version, 3};
         },
            [&](const freshness_answer&) { ++adopted; }});
    proofs.set_bound(1h);
    vm.server.set_key_guard([&] { return proofs.is_current(); });

    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/r/x", "1", key_field));
    const http_reply refusal = caller.reply();
    CHECK(refusal.status == 503);
    CHECK(find_field(refusal.fields, "Retry-After") != nullptr);
    CHECK(!refusal.keep_alive);
    CHECK(target.received.empty());
    test_caller balancer(vm.loop, vm.server.addresses().at(1));
    const auto readiness = [&]
    {
        balancer.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        return balancer.reply().status;
    };
    CHECK(readiness() == 503);

    // A VM that has an older state in force proves nothing, and neither does
    // one without a proof.
    const registered_vm self{"vm-1", "north", "127.0.0.1:1"};
    proofs.set_vms(
        {self, {"vm-2", "north", behind.server.addresses().at(1)}}, self);
    const auto asked = [&]
    { return vm.counters.read()[counter::freshness_failed]; };
    const auto ask_until = [&](const std::function<bool()>& done)
    {
        balancer.run_until(
            [&]
            {
                proofs.tick();
                return done();
            });
    };
    ask_until([&] { return asked() >= 1; });
    CHECK(!proofs.is_current());
    proofs.set_vms(
        {self, {"vm-3", "north", other.server.addresses().at(1)}}, self);
    ask_until([&] { return asked() >= 3; });
    CHECK(!proofs.is_current());

    other.proofs.record_store_proof(boot_time(), 0);
    ask_until([&] { return proofs.is_current(); });
    CHECK(adopted == 0);
    test_caller again(vm.loop, vm.caller_address());
    again.send(get("/r/x", "2", key_field));
    CHECK(again.reply().status == 200);
    balancer.run_until([&] { return readiness() == 200; });
}

// Guards against a revoked key that is accepted later than the bound on a
// connection that was open before, by a VM that the store leaves without
// replies; and against a VM that does not serve again afterwards.
TEST_CASE("a VM cut off from the store stops accepting keys", "[revocation]")
{
    constexpr duration bound = 2s;
    followed_store fleet(bound);
    fleet.request_until(200);
    fleet.store.set_cut(0, true);
    fleet.store.put("config", "main", state_spec(2, {"key-b"}));
    const auto revoked_at = monotonic_clock::now();
    const auto last_answered = fleet.request_until(503);
    CHECK(last_answered <= revoked_at + bound);
    CHECK(fleet.vm.counters.read()[counter::keys_not_current] > 0);

    fleet.store.set_cut(0, false);
    CHECK(fleet.request_until(401) == monotonic_time{});
    fleet.store.put("config", "main", state_spec(3, {"key-a"}));
    fleet.request_until(200);
}

// Guards against a VM that the store alone leaves without replies and that
// refuses all keys, or accepts revoked ones, though another VM could tell.
TEST_CASE("a VM learns of a revocation from another VM", "[revocation]")
{
    followed_store fleet(2s);
    fleet.request_until(200);
    fleet.store.set_cut(0, true);
    fleet.other.payload = state_spec(2, {to_hex(digest_of("key-b"))}).dump();
    fleet.other.proofs.record_store_proof(boot_time(), 0);
    fleet.request_until(401);
    CHECK(fleet.vm.server.state()->version == 2);
}

// Guards against a watch of the desired state that is too long to keep the
// proof young, and against short ones that cost calls without need.
TEST_CASE(
    "the state is watched briefly while keys are in force", "[revocation]")
{
    const auto watch_of = [](const json& spec)
    {
        entry_vm vm;
        std::string watch;
        stand_in_target store(vm.loop, "store",
            [&](const parsed_request& request)
            {
                const bool of_state =
                    request.path.find("/config") != std::string::npos;
                if (request.path.find("watch=") != std::string::npos)
                {
                    watch = of_state ? request.path : watch;
                    return unresponsive(request);
                }
                json items = json::array();
                if (of_state)
                {
                    items.push_back(
                        {{"meta", {{"name", "main"}, {"revision", 3}}},
                            {"spec", spec}});
                }
                return scripted_reply{http_text(200, "",
                    json{{"items", items}, {"hasMore", false}, {"at", 4}}
                        .dump())};
            });
        platform::platform_source source(vm.loop, store.address(),
            {"vm-1", "north", "127.0.0.1:1"}, rollout_limits{}, vm.context,
            vm.server);
        source.set_revocation_bound(2s);
        source.start();
        test_caller runner(vm.loop, vm.caller_address());
        runner.run_until([&] { return !watch.empty(); });
        return watch;
    };
    CHECK(watch_of(state_spec(1, {"key-a"})).find("waitMs=280") !=
          std::string::npos);
    json without = state_spec(1, {});
    without.erase("tenants");
    CHECK(watch_of(without).find("waitMs=4500") != std::string::npos);
}
