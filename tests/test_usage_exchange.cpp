#include "config/usage.hpp"
#include "entry_fixture.hpp"
#include "usage/usage_reporter.hpp"
#include "usage_api.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

scripted_reply
shed(const parsed_request& request)
{
    return {http_text(503,
        "X-Request-Id: " + header_value(request, "X-Request-Id") +
            "\r\nX-Not-Executed: true\r\n",
        "")};
}

void
adopt_with_workspace(entry_vm& vm, std::vector<route_rule> rules)
{
    desired_state state;
    state.version = 1;
    state.routes = std::move(rules);
    state.workspaces.emplace();
    state.workspaces->workspaces = {{"kami770", std::nullopt}};
    state.workspaces->entries = {{digest_of("key-a"), 0}};
    index_keys(*state.workspaces);
    vm.server.adopt(std::make_shared<const desired_state>(std::move(state)));
    vm.server.set_synced(true);
}

std::uint64_t
counted(usage_meter& meter)
{
    std::uint64_t out = 0;
    for (const auto& [id, window] : meter.counts().windows)
    {
        const auto found = window.counts.find("kami770");
        out += found == window.counts.end() ? 0 : found->second;
    }
    return out;
}

constexpr const char* with_key = "X-Deadline-Ms: 4000\r\nApi-Key: key-a\r\n";

/// A VM that counts usage, with a peer port of its own on the event loop of an
/// entry VM.
struct usage_vm
{
    usage_vm(entry_vm& host, const std::string& id, const usage_limits& limits)
        : meter(limits.window),
          exchange(host.loop, host.counters, host.log, meter, id, "north"),
          reporter(host.loop, host.counters, host.log, meter, exchange, id,
              limits, platform::usage_wire()),
          server(host.context, {200ms, 400ms}), vm_id(id)
    {
        REQUIRE(server.listen("", "", "", "127.0.0.1:0"));
        server.add_peer_handler(std::string(usage_path),
            [this](const parsed_request& request,
                const std::function<void(http_reply &&)>& reply)
            { exchange.serve(request, reply); });
    }

    registered_vm
    registration() const
    {
        return {vm_id, "north", server.addresses().back()};
    }

    void
    count(std::uint32_t requests)
    {
        for (std::uint32_t i = 0; i < requests; ++i)
        {
            request_usage r;
            meter.record("kami770", r, send_stage::written, 1, meter.now());
        }
    }

    usage_meter meter;
    usage_exchange exchange;
    usage_reporter reporter;
    entry_server server;
    std::string vm_id;
};

/// Runs the loop of `host` and the VMs until the condition holds.
void
run_until(entry_vm& host, const std::vector<usage_vm*>& vms,
    const std::function<bool()>& done)
{
    // Fails a test that hangs; no expectation depends on the limit.
    const auto limit = monotonic_clock::now() + 30s;
    while (!done() && monotonic_clock::now() < limit)
    {
        for (usage_vm* vm : vms)
        {
            vm->exchange.tick();
            vm->reporter.tick();
        }
        host.loop.run_one_for(5ms);
        host.loop.restart();
    }
    REQUIRE(done());
}

} // namespace

// Guards against requests that are counted for each send or without a run, and
// against usage of requests without a workspace.
TEST_CASE("an entry VM counts the requests that may have run", "[usage]")
{
    entry_vm vm;
    usage_meter meter(1h);
    vm.context.usage = &meter;
    stand_in_target a(vm.loop, "ta", shed);
    stand_in_target b(vm.loop, "tb",
        [](const parsed_request& r) { return good(r, "p", "x"); });
    vm.pool.put(a.record("s", "north"));
    vm.pool.put(b.record("s", "north"));
    route_rule open = entry_vm::make_route("open", {"s"}, false, true);
    open.is_public = true;
    adopt_with_workspace(
        vm, {entry_vm::make_route("r", {"s"}, false, true), open,
                entry_vm::make_route("refused", {"none"}, false, true)});
    std::vector<std::unique_ptr<test_caller>> callers;
    const auto ask = [&](const std::string& path, const std::string& fields)
    {
        callers.push_back(
            std::make_unique<test_caller>(vm.loop, vm.caller_address()));
        callers.back()->send(
            get(path, "r" + std::to_string(callers.size()), fields));
        return callers.back()->reply().status;
    };
    std::uint64_t answered = 0;
    for (int i = 0; i < 6; ++i)
    {
        answered += ask("/r/1", with_key) == 200 ? 1 : 0;
    }
    CHECK(answered == 6);
    CHECK(counted(meter) == answered);
    CHECK(ask("/refused/1", with_key) == 503);
    CHECK(ask("/open/1", "X-Deadline-Ms: 4000\r\n") == 200);
    CHECK(ask("/r/1", "X-Deadline-Ms: 4000\r\n") == 401);
    CHECK(counted(meter) == answered);

    // Its target gets the request and never replies.
    b.set_script(unresponsive);
    a.set_script(unresponsive);
    callers.push_back(
        std::make_unique<test_caller>(vm.loop, vm.caller_address()));
    callers.back()->send(get("/r/1", "rx", with_key));
    callers.back()->run_until([&] { return counted(meter) > answered; });
    callers.back()->close();
    callers.back()->run_until(
        [&] { return vm.counters.read()[counter::requests_gave_up] == 1; });
    CHECK(counted(meter) == answered + 1);
}

// Guards against counts that do not reach the holder of the duty, and against a
// report that waits for a VM that was killed.
TEST_CASE("the holder reports the counts of all VMs once", "[usage]")
{
    entry_vm host;
    const usage_limits limits{1s, 0.4, 4s};
    usage_vm a(host, "vm-a", limits);
    usage_vm b(host, "vm-b", limits);
    std::vector<registered_vm> vms{a.registration(), b.registration()};
    const auto set_vms = [&]
    {
        for (usage_vm* vm : {&a, &b})
        {
            vm->exchange.set_vms(vms);
            vm->reporter.set_vms(vms);
        }
    };
    set_vms();
    a.count(3);
    b.count(4);
    const duty_work work = a.reporter.work();
    work.acquired({0, 1, {}});
    std::map<std::string, std::string> sent;
    std::map<std::string, std::string> written;
    std::uint64_t total = 0;
    const auto take_step = [&]
    {
        const duty_step step = work.next({});
        if (step.kind == duty_step_kind::write_pending)
        {
            for (const duty_message& message : step.pending)
            {
                // The bytes of a window never change.
                const auto at = written.emplace(message.id, message.text).first;
                CHECK(at->second == message.text);
            }
            work.finished({duty_result_kind::pending_written, {}, 0});
        }
        else if (step.kind == duty_step_kind::send_call)
        {
            const std::string& body = step.call.body;
            CHECK(body == written.at(step.call.id));
            CHECK(sent.emplace(step.call.id, body).second);
            const auto at = body.find("\"kami770\":");
            total +=
                at == std::string::npos ? 0 : std::stoull(body.substr(at + 10));
            work.finished({duty_result_kind::call_accepted, step.call.id, 200});
        }
    };
    const auto run_until_sent = [&](const std::function<bool()>& done)
    {
        run_until(host, {&a, &b},
            [&]
            {
                take_step();
                return done();
            });
    };
    run_until_sent([&] { return total == 7; });

    // Its port accepts no connection, and it lacks half a second of counts.
    boost::asio::ip::tcp::acceptor unused(host.loop, {tcp::v4(), 0});
    const auto port = unused.local_endpoint().port();
    unused.close();
    vms.push_back({"vm-gone", "north", "127.0.0.1:" + std::to_string(port)});
    set_vms();
    const window_id next = window_of(a.meter.now(), limits.window) + 1;
    run_until_sent([&] { return sent.count(std::to_string(next)) != 0; });
}
