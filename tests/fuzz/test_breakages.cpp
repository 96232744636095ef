#include "sequences.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace bramleymux;
using namespace bramleymux::fuzz;

namespace
{

struct known_breakage
{
    breakage fault;
    const char* name;
    invariant rule;
    std::uint64_t seed; ///< of a run in which the oracle reports the rule
};

constexpr known_breakage known_breakages[] = {
    {breakage::lease_from_ack, "lease_from_ack", invariant::limit, 1},
    {breakage::no_lease_check, "no_lease_check", invariant::limit, 1},
    {breakage::no_foreign_count, "no_foreign_count", invariant::limit, 1},
    {breakage::deadline_past_lease, "deadline_past_lease", invariant::limit, 1},
    {breakage::restart_unnoticed, "restart_unnoticed", invariant::cold_limit,
        1},
    {breakage::reported_limit_lost, "reported_limit_lost", invariant::limit, 1},
    {breakage::unchecked_snapshot, "unchecked_snapshot",
        invariant::one_snapshot, 1},
    {breakage::unchecked_id, "unchecked_id", invariant::own_request, 1},
    {breakage::counts_every_reply, "counts_every_reply",
        invariant::true_coverage, 1},
    {breakage::zone_out_ignored, "zone_out_ignored", invariant::zone_out, 1},
    {breakage::drain_ignored, "drain_ignored", invariant::leaving_target, 1},
    {breakage::report_ignored, "report_ignored", invariant::leaving_target, 1},
    {breakage::lost_is_not_run, "lost_is_not_run", invariant::not_run_true, 1},
    {breakage::stop_without_wait, "stop_without_wait", invariant::graceful_stop,
        1},
    {breakage::any_version_adopted, "any_version_adopted",
        invariant::table_in_force, 1},
    {breakage::offers_dropped, "offers_dropped", invariant::table_in_force, 1},
    {breakage::unconditional_claim, "unconditional_claim",
        invariant::at_most_once, 1},
    {breakage::lost_frees_key, "lost_frees_key", invariant::at_most_once, 1},
    {breakage::no_evidence, "no_evidence", invariant::bad_version, 1},
    {breakage::share_ignored, "share_ignored", invariant::bad_version, 1},
};

std::vector<violation>
run_seed(std::uint64_t seed, breakage fault)
{
    return run_world(seed, fault, sequence_of(seed));
}

} // namespace

TEST_CASE("the oracle reports each deliberate breakage", "[fuzz]")
{
    // Guards against an oracle that no longer sees a violation.
    for (const known_breakage& known : known_breakages)
    {
        INFO(known.name << " with seed " << known.seed);
        const auto found = run_seed(known.seed, known.fault);
        CHECK(!found.empty());
        CHECK((found.empty() || found.front().rule == known.rule));
    }
}

TEST_CASE("the runs of the breakages are clean without them", "[fuzz]")
{
    // Guards against a report that has another cause than the breakage.
    for (const known_breakage& known : known_breakages)
    {
        INFO(known.name << " with seed " << known.seed);
        const auto found = run_seed(known.seed, breakage::none);
        CHECK(found.empty());
    }
}

TEST_CASE("seeds for the breakages", "[.search]")
{
    // Prints the first seed by which each breakage is reported, for the list.
    for (const known_breakage& known : known_breakages)
    {
        std::uint64_t seed = 1;
        for (; seed <= 200; ++seed)
        {
            const auto found = run_seed(seed, known.fault);
            if (!found.empty() && found.front().rule == known.rule &&
                run_seed(seed, breakage::none).empty())
            {
                std::cout << known.name << ' ' << seed << ' '
                          << describe(found.front()) << '\n';
                break;
            }
        }
        CHECK(seed <= 200);
    }
}
