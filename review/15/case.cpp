#include "../common-3/standin.hpp"

#include <deque>
#include <random>

// A service's traffic is to be moved to a version that turns out to be bad,
// while the store's serializable reads are seconds old. Counts the requests
// that the bad version gets, against both bounds of EXPOSURE.

using namespace review;

namespace
{

constexpr double stale_by_s = 5;
constexpr double stale_for_s = 12; // from half a second before the order
constexpr int machines = 2;
constexpr int searchers_per_version = 3;
constexpr int requests_per_s = 135;
constexpr double duration_s = 12; // of the order
constexpr double start_s = 1;     // in which the new searchers start
constexpr double bad_after_s = 5; // since the new searchers started
constexpr double bad_share = 0.4;
constexpr double work_ms = 20;
constexpr double canary_share = 0.1;
constexpr double canary_slack = 50;
constexpr double rollback_s = 5;
constexpr std::size_t bad_answers_counted = 50;

/// What the searchers and the requesters have seen.
struct counts
{
    std::mutex mutex;
    std::map<std::string, double> sent_at; ///< by request id
    std::size_t arrivals = 0;              ///< between order and time limit
    std::size_t bad_version = 0;           ///< of these at the bad version
    std::size_t bad_answers = 0;
    double fiftieth_bad_at = -1;
    std::size_t too_late = 0; ///< sent after the bound, at the bad version
    double ordered_at = -1;
};

struct searcher
{
    searcher(std::string i, std::string v, counts& c, record_file& r)
        : id(std::move(i)), version(std::move(v)), seen(c), record(r),
          random(std::hash<std::string>()(id)),
          server([this](const connection_ptr& conn) { serve(conn); })
    {
    }

    void
    serve(const connection_ptr& c)
    {
        message request;
        while (c->read(request, 600000))
        {
            const std::string request_id = request.field("X-Request-Id");
            if (request_id.empty())
            {
                c->send(http_reply(200, "X-Instance-Id: " + id + "\r\n", ""));
                continue;
            }
            const bool bad = arrive(request_id);
            sleep_ms(static_cast<int>(work_ms));
            c->send(http_reply(bad ? 500 : 200,
                "X-Request-Id: " + request_id + "\r\nX-Response-Stamp: " + id +
                    "." + request_id + "\r\n",
                "answer"));
        }
    }

    /// Returns whether the answer is a failure.
    bool
    arrive(const std::string& request_id)
    {
        const std::lock_guard<std::mutex> lock(seen.mutex);
        const double now = seconds_since(record.start());
        const bool is_new = version == "v2";
        const bool counted =
            seen.ordered_at >= 0 && now < seen.ordered_at + duration_s;
        seen.arrivals += counted ? 1 : 0;
        seen.bad_version += counted && is_new ? 1 : 0;
        if (!is_new)
        {
            return false;
        }
        const bool late =
            seen.fiftieth_bad_at >= 0 &&
            seen.sent_at[request_id] > seen.fiftieth_bad_at + rollback_s;
        seen.too_late += late ? 1 : 0;
        const bool bad =
            now - seen.ordered_at > start_s + bad_after_s &&
            std::uniform_real_distribution<double>(0, 1)(random) < bad_share;
        seen.bad_answers += bad ? 1 : 0;
        if (bad && seen.bad_answers == bad_answers_counted)
        {
            seen.fiftieth_bad_at = now;
        }
        record.write("run " + request_id + " by " + id + " of v2" +
                     (bad ? ", a failure" : "") + (late ? ", too late" : ""));
        return bad;
    }

    std::string id;
    std::string version;
    counts& seen;
    record_file& record;
    std::mt19937 random;
    listener server;
};

void
ask(int port, const std::string& id, counts& seen, record_file& record)
{
    {
        const std::lock_guard<std::mutex> lock(seen.mutex);
        seen.sent_at[id] = seconds_since(record.start());
    }
    const auto c = dial("127.0.0.1", port);
    message reply;
    const bool answered =
        c &&
        c->send("GET /goka902/2f HTTP/1.1\r\nHost: hufi27.example\r\n"
                "X-Request-Id: " +
                id + "\r\nX-Deadline-Ms: 1500\r\n\r\n") &&
        c->read(reply, 2000);
    if (!answered || reply.status() != 200)
    {
        record.write("answer to " + id + ": " +
                     (answered ? std::to_string(reply.status()) : "none"));
    }
}

} // namespace

int
main(int argc, char** argv)
{
    if (argc < 4)
    {
        return cannot_run;
    }
    const std::string root = argv[1];
    const std::string scratch = argv[2];
    record_file record(std::string(argv[3]) + "/record.txt");
    const char* mode = std::getenv("TROUBLE");
    const bool trouble = mode == nullptr || std::string(mode) != "0";

    counts seen;
    store platform;
    std::deque<searcher> searchers;
    const auto start_searchers = [&](const std::string& version)
    {
        for (int i = 0; i < searchers_per_version; ++i)
        {
            const std::string id = version + "-" + std::to_string(i);
            searcher& s = searchers.emplace_back(id, version, seen, record);
            json entry = searcher_entry("kafi81c", s.server.address(), 4,
                i % 2 == 0 ? "rennes-a" : "brest");
            entry["version"] = version;
            platform.put("servers", id, entry);
        }
    };
    platform.put("config", "main",
        {{"version", 7},
            {"routes",
                {{{"name", "r-1"}, {"host", "hufi27.example"},
                    {"pathPrefix", "/goka902/"}, {"routeType", "safe"},
                    {"timeoutMs", 1500}, {"targetLatencyMs", 150},
                    {"priority", 1}, {"service", "kafi81c"}, {"attempts", 2}}}},
            {"services", {service_entry("kafi81c", 110)}},
            {"limits", page_limits()}});
    start_searchers("v1");
    std::vector<std::unique_ptr<entry_process>> entries;
    for (int i = 0; i < machines; ++i)
    {
        const std::string zone = i % 2 == 0 ? "rennes-a" : "brest";
        entries.push_back(
            std::make_unique<entry_process>(root, scratch, platform.address(),
                std::map<std::string, std::string>{
                    {"node", "front-" + zone + "-1"}, {"zone", zone}}));
    }
    for (const auto& entry : entries)
    {
        if (!entry->wait_ready(15000))
        {
            record.write("a program is not ready");
            return cannot_run;
        }
    }
    // Traffic begins 10 s before the order, when everything is steady.
    constexpr double lead_s = 10;
    constexpr double end_s = lead_s + duration_s + 8;
    const auto start = steady::now();
    bool ordered = false;
    bool started = false;
    for (int i = 0; seconds_since(start) < end_s; ++i)
    {
        const double now = seconds_since(start);
        const bool stale =
            trouble && now >= lead_s - 0.5 && now < lead_s - 0.5 + stale_for_s;
        platform.set_stale_by(stale ? stale_by_s : 0);
        if (!ordered && now >= lead_s)
        {
            ordered = true;
            platform.put("rollouts", "kafi81c",
                {{"service", "kafi81c"}, {"targetVersion", "v2"},
                    {"durationS", duration_s}});
            const std::lock_guard<std::mutex> lock(seen.mutex);
            seen.ordered_at = seconds_since(record.start());
            record.write("order: move kafi81c to v2");
        }
        if (!started && now >= lead_s + start_s)
        {
            started = true;
            start_searchers("v2");
            record.write("the searchers of v2 are registered");
        }
        const int port =
            entries[static_cast<std::size_t>(i) % machines]->port();
        std::thread([&seen, &record, port, i]
            { ask(port, "q-" + std::to_string(i), seen, record); })
            .detach();
        const double due = static_cast<double>(i + 1) / requests_per_s;
        sleep_ms(
            std::max(static_cast<int>((due - seconds_since(start)) * 1000), 0));
    }
    sleep_ms(500);
    const std::lock_guard<std::mutex> lock(seen.mutex);
    const double allowed =
        canary_share * static_cast<double>(seen.arrivals) + canary_slack;
    const json order = platform.get("rollouts", "kafi81c");
    record.write("status in the store: " + order["status"].dump());
    record.write("requests that reached the service between the order and its "
                 "time limit: " +
                 std::to_string(seen.arrivals) +
                 ", of these v2: " + std::to_string(seen.bad_version) +
                 ", allowed: " + std::to_string(allowed));
    record.write("failures of v2: " + std::to_string(seen.bad_answers) +
                 ", the 50th at " + std::to_string(seen.fiftieth_bad_at) +
                 " s, order at " + std::to_string(seen.ordered_at) +
                 " s, requests too late: " + std::to_string(seen.too_late));
    bool ended = false;
    for (const auto& entry : entries)
    {
        ended = ended || entry->has_ended();
        entry->end();
    }
    const bool rule_broken =
        static_cast<double>(seen.bad_version) > allowed || seen.too_late > 0;
    std::_Exit(ended ? cannot_run : rule_broken ? broken : held);
}
