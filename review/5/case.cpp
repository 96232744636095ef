/// A rollout of a version that begins to fail a part of its requests halfway.
/// One VM freezes for 3.5 s before the verdict.

#include "../common/standin.hpp"

using namespace review;

namespace
{

constexpr int vm_count = 8;
constexpr int targets_per_version = 6;
constexpr int slots = 4;
constexpr int callers_per_vm = 3;
constexpr int deadline_ms = 6000;
constexpr auto think_time = milliseconds(170);
constexpr int duration_s = 12;
constexpr auto fails_after = milliseconds(4700); // since the order
constexpr double fail_share = 0.22;
// The VM is stopped this long after the order was acknowledged as running.
constexpr auto freeze_after = milliseconds(5600);
constexpr auto freeze_length = milliseconds(3500);
constexpr auto stable_window = milliseconds(4000);
constexpr double canary_share = 0.1;
constexpr double canary_slack = 50;

struct world
{
    std::mutex mutex;
    std::mt19937 random{11};
    std::string state; ///< of the rollout
    time_point running_at{};
    time_point ordered_at = time_point::max();
    std::size_t all = 0;   ///< requests until the time limit
    std::size_t fresh = 0; ///< of them to the new version, by VMs in touch
    bool frozen = false;   ///< VM 0 is frozen, or was less than 4 s ago

    double
    draw()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
};

std::string
serve(world& w, record& out, const target& t, const message& request)
{
    const std::string id = request.field("X-Request-Id");
    const time_point now = clock::now();
    const bool fresh = t.version == "v2";
    const double luck = w.draw();
    bool fails = false;
    {
        const std::lock_guard<std::mutex> lock(w.mutex);
        const bool counted =
            now >= w.ordered_at && now < w.ordered_at + seconds(duration_s);
        w.all += counted ? 1 : 0;
        const bool in_touch = !w.frozen || id.compare(0, 3, "c0-") != 0;
        w.fresh += counted && fresh && in_touch ? 1 : 0;
        fails = fresh && now - fails_after > w.ordered_at && luck < fail_share;
    }
    std::this_thread::sleep_for(milliseconds(20));
    out.note(
        t.id + " (" + t.version + ") " + (fails ? "fails " : "runs ") + id);
    return ran(request, fails ? 500 : 200, t.id + "." + id, "body of " + id);
}

void
call_until(world&, record& out, const std::string& address,
    const std::string& name, time_point end)
{
    caller c(address);
    for (int i = 0; clock::now() < end; ++i)
    {
        const std::string id = name + "-" + std::to_string(i);
        const answer a = c.call(
            "GET", "club.example", "/transfer/confirm", id, deadline_ms, "");
        out.note("caller got " + std::to_string(a.status) + " for " + id);
        std::this_thread::sleep_for(think_time);
    }
}

} // namespace

int
main()
{
    record out(record_path());
    world w;
    store s;
    std::vector<std::unique_ptr<target>> targets;
    const char* const zones[] = {"rennes-a", "brest"};
    const auto add_targets = [&](const std::string& version)
    {
        for (int i = 0; i < targets_per_version; ++i)
        {
            const std::size_t n = targets.size();
            targets.push_back(
                std::make_unique<target>("i-" + version + std::to_string(i),
                    "club-portal", zones[i % 2], version,
                    [&w, &out, &targets, n](const message& m, std::string&)
                    { return serve(w, out, *targets[n], m); }));
            s.put("servers", targets[n]->id, targets[n]->spec("ready", slots));
        }
    };
    targets.reserve(2 * targets_per_version);
    add_targets("v1");
    const nlohmann::json route{{"name", "transfer"}, {"host", "club.example"},
        {"pathPrefix", "/transfer/"}, {"routeType", "safe"},
        {"timeoutMs", 6000}, {"targetLatencyMs", 600}, {"priority", 2},
        {"service", "club-portal"}, {"attempts", 1}};
    s.put("config", "main",
        nlohmann::json{{"version", 7}, {"routes", {route}},
            {"services", {service_rule("club-portal")}}, {"limits", limits()}}
            .dump());
    s.on_status = [&](const std::string& kind, const std::string& name,
                      const std::string& status)
    {
        out.note(kind + "/" + name + " has the status " + status);
        const auto parsed = nlohmann::json::parse(status, nullptr, false);
        const std::lock_guard<std::mutex> lock(w.mutex);
        w.state = parsed.value("state", "");
        if (w.state == "running")
        {
            w.running_at = clock::now();
        }
        for (const auto& t : targets)
        {
            // The old targets stop at once.
            t->gone = t->gone || (w.state == "completed" && t->version == "v1");
        }
    };

    const std::string directory = work_directory();
    std::vector<std::unique_ptr<entry_process>> vms;
    for (int i = 0; i < vm_count; ++i)
    {
        vms.push_back(
            std::make_unique<entry_process>("front-" + std::to_string(i),
                zones[i % 2], i, directory, s.address()));
        vms.back()->start();
    }
    if (!wait_ready(vms, seconds(20)))
    {
        out.note("the VMs did not become ready");
        vms.clear();
        std::_Exit(2);
    }
    const time_point begin = clock::now();
    const time_point end = begin + seconds(25);
    std::vector<std::thread> callers;
    for (int i = 0; i < vm_count * callers_per_vm; ++i)
    {
        const std::string name =
            "c" + std::to_string(i % vm_count) + "-" + std::to_string(i);
        callers.emplace_back(
            [&, i, name] {
                call_until(
                    w, out, vms[i % vm_count]->caller_address(), name, end);
            });
    }
    std::this_thread::sleep_until(begin + seconds(5));
    {
        const time_point at = s.put("rollouts", "club-portal",
            R"({"service":"club-portal","targetVersion":"v2","durationS":)" +
                std::to_string(duration_s) + "}");
        const std::lock_guard<std::mutex> lock(w.mutex);
        w.ordered_at = at;
    }
    out.note("the rollout is ordered");
    std::this_thread::sleep_for(milliseconds(1800));
    add_targets("v2");
    out.note("the targets of the new version have started");
    time_point running_at{};
    while (running_at == time_point{} && clock::now() < end)
    {
        std::this_thread::sleep_for(milliseconds(10));
        const std::lock_guard<std::mutex> lock(w.mutex);
        running_at = w.running_at;
    }
    std::this_thread::sleep_until(running_at + freeze_after);
    if (has_trouble())
    {
        {
            const std::lock_guard<std::mutex> lock(w.mutex);
            w.frozen = true;
        }
        vms[0]->signal(SIGSTOP);
        out.note(vms[0]->id + " freezes");
    }
    std::this_thread::sleep_until(running_at + freeze_after + freeze_length);
    if (has_trouble())
    {
        vms[0]->signal(SIGCONT);
        out.note(vms[0]->id + " wakes");
        std::this_thread::sleep_for(stable_window);
        const std::lock_guard<std::mutex> lock(w.mutex);
        w.frozen = false;
    }
    for (std::thread& t : callers)
    {
        t.join();
    }
    const std::lock_guard<std::mutex> lock(w.mutex);
    const double allowed =
        canary_share * static_cast<double>(w.all) + canary_slack;
    const std::string summary = "EXPOSURE " + std::to_string(w.fresh) +
                                " requests to the bad version by VMs in "
                                "touch, " +
                                std::to_string(static_cast<int>(allowed)) +
                                " allowed of " + std::to_string(w.all) +
                                "; state at the end: " + w.state;
    out.note(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    const bool played = w.all > 0 && running_at != time_point{};
    vms.clear();
    std::_Exit(!played ? 2 : static_cast<double>(w.fresh) > allowed ? 1 : 0);
}
