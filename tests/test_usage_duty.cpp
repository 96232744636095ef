#include "config/usage.hpp"
#include "duty_holder.hpp"
#include "entry_fixture.hpp"
#include "raw_server.hpp"
#include "soak/store.hpp"
#include "usage/usage_reporter.hpp"
#include "usage_api.hpp"

#include <mutex>

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

/// The platform's API; answers 200, or drops the reply while `silent`.
struct usage_api
{
    std::mutex mutex;
    std::vector<std::string> requests;
    bool silent = false;
    test::raw_server server{[this](int socket) { serve(socket); }};

    void
    serve(int socket)
    {
        for (std::string request = test::read_request(socket); !request.empty();
             request = test::read_request(socket))
        {
            const std::lock_guard<std::mutex> lock(mutex);
            requests.push_back(request);
            if (!silent)
            {
                test::write_text(socket, test::reply_text(200, ""));
            }
        }
    }

    void
    set_silent(bool value)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        silent = value;
    }

    /// Returns the bodies received for each window.
    std::map<std::string, std::set<std::string>>
    bodies()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::map<std::string, std::set<std::string>> out;
        for (const std::string& request : requests)
        {
            const std::string body =
                request.substr(request.find("\r\n\r\n") + 4);
            out[body.substr(0, body.find(','))].insert(body);
        }
        return out;
    }
};

/// A VM that counts usage and takes part in the duty.
struct reporting_vm
{
    reporting_vm(entry_vm& host, const std::string& id,
        const usage_limits& limits, const std::string& store,
        const duty_settings& duty)
        : meter(limits.window),
          exchange(host.loop, host.counters, host.log, meter, id, "north"),
          reporter(host.loop, host.counters, host.log, meter, exchange, id,
              limits, platform::usage_wire()),
          server(host.context, {200ms, 400ms}),
          holder(host.loop, store, duty, "usage_report", id, reporter.work(),
              host.counters, host.log),
          vm_id(id)
    {
        REQUIRE(server.listen("", "", "", "127.0.0.1:0"));
        server.add_peer_handler(std::string(usage_path),
            [this](const parsed_request& request,
                const std::function<void(http_reply &&)>& reply)
            { exchange.serve(request, reply); });
    }

    usage_meter meter;
    usage_exchange exchange;
    usage_reporter reporter;
    entry_server server;
    platform::duty_holder holder;
    std::string vm_id;
    bool frozen = false;
};

} // namespace

// Guards against a report that is lost or sent with other counts when the API
// does not answer and the holder of the duty is replaced.
TEST_CASE("a successor repeats a report that was not answered", "[usage]")
{
    entry_vm host;
    soak::stand_in_store store{host.loop, 1};
    usage_api api;
    duty_settings duty;
    duty.api_address = "127.0.0.1:" + std::to_string(api.server.address().port);
    duty.calls_per_second = 50;
    duty.lease = 1s;
    const usage_limits limits{1s, 0.9, 4s};
    std::vector<std::unique_ptr<reporting_vm>> vms;
    std::vector<registered_vm> registered;
    for (const char* id : {"vm-a", "vm-b"})
    {
        vms.push_back(std::make_unique<reporting_vm>(
            host, id, limits, store.address(0), duty));
        registered.push_back({id, "north", vms.back()->server.addresses()[0]});
    }
    for (const auto& vm : vms)
    {
        vm->exchange.set_vms(registered);
        vm->reporter.set_vms(registered);
        vm->holder.set_vms(registered);
        request_usage request;
        vm->meter.record(
            "kami770", request, send_stage::written, 1, vm->meter.now());
    }
    const auto run_until = [&](const std::function<bool()>& done)
    {
        // Fails a test that hangs; no expectation depends on the limit.
        const auto limit = monotonic_clock::now() + 60s;
        while (!done() && monotonic_clock::now() < limit)
        {
            for (const auto& vm : vms)
            {
                vm->exchange.tick();
                if (!vm->frozen)
                {
                    vm->reporter.tick();
                    vm->holder.tick();
                }
            }
            host.loop.run_for(5ms);
            host.loop.restart();
        }
        REQUIRE(done());
    };
    api.set_silent(true);
    run_until([&] { return !api.bodies().empty(); });
    const auto first = api.bodies().begin()->first;
    const auto holder_of = [&](const std::string& request)
    {
        const std::string name = "X-Duty-Holder: ";
        const auto at = request.find(name) + name.size();
        return request.substr(at, request.find('\r', at) - at);
    };
    const std::string former = holder_of(api.requests.front());
    for (const auto& vm : vms)
    {
        vm->frozen = vm->vm_id == former;
    }
    api.set_silent(false);
    run_until(
        [&]
        {
            const std::lock_guard<std::mutex> lock(api.mutex);
            return std::any_of(api.requests.begin(), api.requests.end(),
                [&](const std::string& r) {
                    return holder_of(r) != former &&
                           r.find(first + ",") != std::string::npos;
                });
        });
    for (const auto& vm : vms)
    {
        vm->frozen = false;
    }
    const std::size_t windows = api.bodies().size();
    run_until([&] { return api.bodies().size() >= windows + 3; });
    std::uint64_t total = 0;
    for (const auto& [window, bodies] : api.bodies())
    {
        CHECK(bodies.size() == 1);
        const auto at = bodies.begin()->find("\"kami770\":");
        total += at == std::string::npos
                     ? 0
                     : std::stoull(bodies.begin()->substr(at + 10));
    }
    CHECK(total == 2);
}
