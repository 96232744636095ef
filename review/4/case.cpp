/// A VM that follows the store for the others is cut from it, a target leaves,
/// and another VM, which is never cut, starts again after a kill.

#include "../common/standin.hpp"

using namespace review;

namespace
{

constexpr int vm_count = 8;
constexpr int target_count = 4;
constexpr int slots = 4;
constexpr int callers_per_vm = 2;
constexpr int deadline_ms = 1500;
constexpr auto down_time = milliseconds(2000);
constexpr auto cut_length = milliseconds(5500);
constexpr auto stable_window = milliseconds(4000);
constexpr auto drain_bound = milliseconds(3000);

struct arrival
{
    std::string request;
    time_point at;
};

struct world
{
    std::mutex mutex;
    std::vector<arrival> arrivals; ///< at the draining target
    std::map<std::string, time_point> sent;
    std::map<int, int> statuses;
};

void
call_until(world& w, record& out, const std::string& address,
    const std::string& name, time_point end)
{
    caller c(address);
    for (int i = 0; clock::now() < end; ++i)
    {
        const std::string id = name + "-" + std::to_string(i);
        {
            const std::lock_guard<std::mutex> lock(w.mutex);
            w.sent[id] = clock::now();
        }
        const answer a = c.call("POST", "club.example", "/transfer/confirm", id,
            deadline_ms, "transfer " + id);
        {
            const std::lock_guard<std::mutex> lock(w.mutex);
            ++w.statuses[a.status];
        }
        out.note("caller got " + std::to_string(a.status) + " for " + id);
        std::this_thread::sleep_for(milliseconds(40));
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
    for (int i = 0; i < target_count; ++i)
    {
        targets.push_back(std::make_unique<target>("i-" + std::to_string(i),
            "club-portal", zones[i % 2], "v1",
            [&w, &out, &targets, i](const message& m, std::string&)
            {
                const std::string id = m.field("X-Request-Id");
                if (i == 0)
                {
                    const std::lock_guard<std::mutex> lock(w.mutex);
                    w.arrivals.push_back({id, clock::now()});
                }
                out.note(targets[i]->id + " runs " + id);
                std::this_thread::sleep_for(milliseconds(20));
                return ran(m, 200, targets[i]->id + "." + id, "body of " + id);
            }));
        if (i != 0)
        {
            s.put("servers", targets[i]->id, targets[i]->spec("ready", slots));
        }
    }
    const nlohmann::json route{{"name", "transfer"}, {"host", "club.example"},
        {"pathPrefix", "/transfer/"}, {"routeType", "unsafe"},
        {"timeoutMs", 1500}, {"targetLatencyMs", 600}, {"priority", 2},
        {"service", "club-portal"}, {"attempts", 2}};
    s.put("config", "main",
        nlohmann::json{{"version", 7}, {"routes", {route}},
            {"services", {service_rule("club-portal")}}, {"limits", limits()}}
            .dump());

    const std::string directory = work_directory();
    std::vector<std::unique_ptr<store::path>> paths;
    std::vector<std::unique_ptr<entry_process>> vms;
    for (int i = 0; i < vm_count; ++i)
    {
        paths.push_back(std::make_unique<store::path>(s));
        vms.push_back(
            std::make_unique<entry_process>("front-" + std::to_string(i),
                zones[i % 2], i, directory, paths[i]->address()));
        vms.back()->start();
    }
    if (!wait_ready(vms, seconds(20)))
    {
        out.note("the VMs did not become ready");
        vms.clear();
        std::_Exit(2);
    }
    const time_point begin = clock::now();
    const time_point end = begin + seconds(35);
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
    // i-0 starts after the VMs have read their first lists.
    std::this_thread::sleep_until(begin + seconds(3));
    s.put("servers", targets[0]->id, targets[0]->spec("ready", slots));
    out.note("i-0 has registered");
    // By then, only the VMs that follow the store for the others watch it.
    std::this_thread::sleep_until(begin + seconds(14));
    std::vector<int> before;
    for (const auto& p : paths)
    {
        before.push_back(p->watches);
    }
    std::this_thread::sleep_until(begin + seconds(20));
    int restarted = -1;
    int cut = -1;
    for (int i = 0; i < vm_count; ++i)
    {
        const bool watches = paths[i]->watches != before[i];
        out.note(vms[i]->id + (watches ? " follows" : " does not follow") +
                 " the store");
        const bool near = i % 2 == 0; // in the zone of i-0
        restarted = near && !watches ? i : restarted;
        cut = near && watches ? i : cut;
    }
    if (restarted < 0 || cut < 0)
    {
        out.note("no VM of the zone relies on others");
        vms.clear();
        std::_Exit(2);
    }
    vms[restarted]->kill_now();
    out.note(vms[restarted]->id + " is killed");
    const time_point cut_at = clock::now() + down_time;
    std::this_thread::sleep_until(cut_at);
    paths[cut]->cut = has_trouble();
    out.note(vms[cut]->id + (has_trouble() ? " is cut from the store" : ""));
    std::this_thread::sleep_until(cut_at + milliseconds(200));
    s.remove("servers", targets[0]->id);
    const time_point acknowledged = clock::now();
    out.note("the entry of i-0 is removed");
    std::this_thread::sleep_until(cut_at + milliseconds(500));
    vms[restarted]->start();
    const time_point started_at = clock::now();
    out.note(vms[restarted]->id + " starts again");
    std::this_thread::sleep_until(cut_at + cut_length);
    paths[cut]->cut = false;
    out.note("the cut has ended");
    for (std::thread& t : callers)
    {
        t.join();
    }
    std::size_t late = 0;
    double longest = 0;
    for (const arrival& a : w.arrivals)
    {
        const time_point from =
            std::max(acknowledged + drain_bound, started_at + stable_window);
        const bool counted = a.request.compare(0, 3,
                                 "c" + std::to_string(restarted) + "-") == 0 &&
                             a.at > from && w.sent[a.request] > from;
        late += counted ? 1 : 0;
        longest =
            counted ? std::max(longest, since(acknowledged, a.at)) : longest;
    }
    std::string summary =
        "DRAIN " + std::to_string(late) +
        " requests reached i-0 from the restarted VM, in touch again, more "
        "than "
        "3 s after the entry of i-0 was removed; the last after " +
        std::to_string(longest) + " s; answers:";
    for (const auto& [status, n] : w.statuses)
    {
        summary += " " + std::to_string(n) + " x " + std::to_string(status);
    }
    out.note(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    const bool played = w.statuses[200] > 0 && !w.arrivals.empty();
    vms.clear();
    std::_Exit(!played ? 2 : late > 0 ? 1 : 0);
}
