#include "common/fanout_model.hpp"
#include "common/overload_model.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

/// Prints the tables of docs/notes: figures of the routing, hedging and
/// admission models on a virtual clock, and the time to plan one query.
namespace
{

using namespace bramleymux;
using namespace bramleymux::tools;

void
print_fanout_rows(fanout_options options)
{
    for (const auto policy :
        {routing_policy::baseline, routing_policy::adaptive})
    {
        for (const bool hedge : {false, true})
        {
            options.policy = policy;
            options.hedge = hedge;
            const auto r = run_fanout(options);
            std::printf("| %.0f | %.0f%% | %zu | %u | %s | %s | %.2f | %.2f | "
                        "%.3f | %.2f |\n",
                options.queries_per_s, options.straggler_share * 100,
                options.slow_targets, options.overlap,
                std::string(to_string(policy)).c_str(), hedge ? "yes" : "no",
                r.p50_ms, r.p99_ms, r.extra_load, r.batches);
        }
    }
}

void
print_fanout_table()
{
    std::puts("| queries/s | stragglers | slow targets | overlap | policy | "
              "hedges | p50 ms | p99 ms | extra load | batches |");
    for (const double rate : {600.0, 2700.0})
    {
        fanout_options options;
        options.queries_per_s = rate;
        print_fanout_rows(options);
        options.straggler_share = 0.01;
        print_fanout_rows(options);
    }
    fanout_options slow;
    slow.slow_targets = 1;
    print_fanout_rows(slow);
    fanout_options overlapping;
    overlapping.overlap = 1;
    print_fanout_rows(overlapping);
}

void
print_overload()
{
    std::puts("| VMs | load | admission | worth 10 | worth 3 | worth 1 | "
              "served worth / possible |");
    constexpr double capacity = 600.0;
    for (const std::size_t vms : {1, 2, 8})
    {
        for (const double load : {0.9, 1.5, 2.0, 4.0})
        {
            const double high = 0.2 * load * capacity;
            const double middle = 0.5 * load * capacity;
            const double low = 0.3 * load * capacity;
            const double high_fits = std::min(high, capacity);
            const double middle_fits = std::min(middle, capacity - high_fits);
            const double low_fits =
                std::min(low, capacity - high_fits - middle_fits);
            for (const bool admission : {true, false})
            {
                overload_options options;
                options.vms = vms;
                options.admission = admission;
                options.services = {{{10, high}, {3, middle}, {1, low}}};
                options.floors = {0};
                const auto r = run_overload(options);
                std::printf("| %zu | %.1f | %s | %.0f | %.0f | %.0f | %.3f |\n",
                    vms, load, admission ? "yes" : "no", r.served_per_s[0],
                    r.served_per_s[1], r.served_per_s[2],
                    r.worth_per_s /
                        (high_fits * 10 + middle_fits * 3 + low_fits));
            }
        }
    }
}

void
print_plan_times()
{
    constexpr int rounds = 1000;
    std::puts("| shards | searchers | batches | us for one plan |");
    for (const std::uint32_t searchers : {10U, 70U, 700U})
    {
        const auto f = make_fleet(searchers, 3, 700 / searchers);
        const auto index = build_routing_index(f.topology, f.reports);
        std::mt19937_64 random(1);
        std::size_t batches = 0;
        const auto begin = monotonic_clock::now();
        for (int i = 0; i < rounds; ++i)
        {
            const auto& s =
                *choose_snapshot(*index, service_handle{0}, {}, f.views);
            plan_request request;
            request.shards = all_shards(s);
            batches += plan_query(*index, s, request, f.views, begin, random)
                           .batches.size();
        }
        const std::chrono::duration<double, std::micro> spent =
            monotonic_clock::now() - begin;
        std::printf("| 700 | %u | %zu | %.1f |\n", searchers, batches / rounds,
            spent.count() / rounds);
    }
}

} // namespace

int
main()
{
    print_fanout_table();
    print_overload();
    print_plan_times();
    return 0;
}
