/// The two VMs that follow the store for the others are cut from it. A target
/// drains meanwhile; the other VMs reach the store all the while.

#include "../common/standin.hpp"

using namespace review;

namespace
{

constexpr int vm_count = 4;
constexpr int target_count = 4;
constexpr int slots = 4;
constexpr int callers_per_vm = 4;
constexpr int deadline_ms = 1500;
constexpr auto cut_length = milliseconds(5500);
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

/// CUT_DELAY_MS moves the cut, for trials of other moments.
milliseconds
cut_delay()
{
    const char* given = std::getenv("CUT_DELAY_MS");
    return milliseconds(given == nullptr ? 0 : std::atoi(given));
}

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
        s.put("servers", targets[i]->id, targets[i]->spec("ready", slots));
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
    // By then, only the VMs that follow the store for the others watch it.
    std::this_thread::sleep_until(begin + seconds(14));
    std::vector<int> before;
    for (const auto& p : paths)
    {
        before.push_back(p->watches);
    }
    std::this_thread::sleep_until(begin + seconds(20) + cut_delay());
    std::vector<int> followers;
    for (int i = 0; i < vm_count; ++i)
    {
        const bool watches = paths[i]->watches != before[i];
        out.note(vms[i]->id + (watches ? " follows" : " does not follow") +
                 " the store");
        if (!watches)
        {
            followers.push_back(i);
        }
        else if (has_trouble())
        {
            paths[i]->cut = true;
            out.note(vms[i]->id + " is cut from the store");
        }
    }
    const time_point cut_at = clock::now();
    std::this_thread::sleep_until(cut_at + milliseconds(300));
    const time_point acknowledged =
        s.put("servers", targets[0]->id, targets[0]->spec("draining", slots));
    out.note("the store has accepted that i-0 drains");
    std::this_thread::sleep_until(cut_at + cut_length);
    for (const auto& p : paths)
    {
        p->cut = false;
    }
    out.note("the cut has ended");
    for (std::thread& t : callers)
    {
        t.join();
    }
    std::size_t late = 0;
    double longest = 0;
    for (const arrival& a : w.arrivals)
    {
        bool in_touch = false;
        for (const int i : followers)
        {
            in_touch = in_touch || a.request.compare(0, 3,
                                       "c" + std::to_string(i) + "-") == 0;
        }
        const bool counted = in_touch && a.at > acknowledged + drain_bound &&
                             w.sent[a.request] > acknowledged + drain_bound;
        late += counted ? 1 : 0;
        longest =
            counted ? std::max(longest, since(acknowledged, a.at)) : longest;
    }
    std::string summary =
        "DRAIN " + std::to_string(late) +
        " requests reached i-0 from VMs that were not cut more than 3 s after "
        "its draining was acknowledged, the last after " +
        std::to_string(longest) + " s; answers:";
    for (const auto& [status, n] : w.statuses)
    {
        summary += " " + std::to_string(n) + " x " + std::to_string(status);
    }
    out.note(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    const bool played =
        w.statuses[200] > 0 && !followers.empty() && !w.arrivals.empty();
    vms.clear();
    std::_Exit(!played ? 2 : late > 0 ? 1 : 0);
}
