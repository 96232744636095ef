#include "sequences.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace bramleymux;
using namespace bramleymux::fuzz;

namespace
{

using kinds = std::vector<command_kind>;
using kind = command_kind;

struct known_breakage
{
    breakage fault;
    const char* name;
    invariant rule;
    std::uint64_t seed;         ///< of a run whose first violation is of `rule`
    const kinds& command_kinds; ///< that the run uses
};

const kinds lease_faults{kind::queries, kind::turn_cold, kind::pause_vm,
    kind::kill_vm, kind::start_vm, kind::stop_vm};
const kinds owner_deaths{
    kind::queries, kind::turn_cold, kind::kill_vm, kind::start_vm};
const kinds target_faults{kind::queries, kind::restart_target,
    kind::report_limit, kind::wait, kind::drain};
const kinds reply_faults{kind::queries, kind::lose_replies, kind::late_replies,
    kind::cross_replies, kind::truncate_replies, kind::stale_replies,
    kind::repartition};
const kinds edits{kind::edit_zone, kind::edit_drain, kind::edit_limit,
    kind::racing_edits, kind::bad_links};
const kinds write_commands{kind::once, kind::once_twice, kind::lose_claim,
    kind::lose_replies, kind::wait};
const kinds version_faults{kind::queries, kind::bad_version, kind::wait};

const known_breakage known_breakages[] = {
    {breakage::lease_clock_stops, "lease_clock_stops", invariant::limit, 43,
        lease_faults},
    {breakage::no_lease_check, "no_lease_check", invariant::limit, 7,
        lease_faults},
    {breakage::no_foreign_count, "no_foreign_count", invariant::limit, 5,
        lease_faults},
    {breakage::deadline_past_lease, "deadline_past_lease", invariant::limit, 66,
        owner_deaths},
    {breakage::restart_unnoticed, "restart_unnoticed", invariant::cold_limit, 2,
        target_faults},
    {breakage::reported_limit_lost, "reported_limit_lost", invariant::limit, 1,
        target_faults},
    {breakage::unchecked_snapshot, "unchecked_snapshot",
        invariant::one_snapshot, 1, reply_faults},
    {breakage::unchecked_id, "unchecked_id", invariant::own_request, 1,
        reply_faults},
    {breakage::counts_every_reply, "counts_every_reply",
        invariant::true_coverage, 1, reply_faults},
    {breakage::zone_out_ignored, "zone_out_ignored", invariant::zone_out, 1,
        edits},
    {breakage::drain_ignored, "drain_ignored", invariant::leaving_target, 1,
        edits},
    {breakage::report_ignored, "report_ignored", invariant::leaving_target, 1,
        target_faults},
    {breakage::lost_is_not_run, "lost_is_not_run", invariant::not_run_true, 1,
        reply_faults},
    {breakage::stop_without_wait, "stop_without_wait", invariant::graceful_stop,
        1, lease_faults},
    {breakage::any_version_adopted, "any_version_adopted",
        invariant::table_in_force, 1, edits},
    {breakage::offers_dropped, "offers_dropped", invariant::table_in_force, 1,
        edits},
    {breakage::unconditional_claim, "unconditional_claim",
        invariant::at_most_once, 1, write_commands},
    {breakage::lost_frees_key, "lost_frees_key", invariant::at_most_once, 18,
        write_commands},
    {breakage::no_evidence, "no_evidence", invariant::bad_version, 2,
        version_faults},
    {breakage::share_ignored, "share_ignored", invariant::bad_version, 1,
        version_faults},
};

std::vector<violation>
run_seed(const known_breakage& known, std::uint64_t seed, breakage fault)
{
    return run_world(seed, fault, sequence_for_seed(seed, known.command_kinds));
}

} // namespace

TEST_CASE("the oracle reports each deliberate breakage", "[fuzz]")
{
    // Guards against an oracle that no longer detects a violation.
    for (const known_breakage& known : known_breakages)
    {
        INFO(known.name << " with seed " << known.seed);
        const auto found = run_seed(known, known.seed, known.fault);
        CHECK(!found.empty());
        CHECK((found.empty() || found.front().rule == known.rule));
    }
}

TEST_CASE("the runs of the breakages have no violations without the breakages",
    "[fuzz]")
{
    // Guards against violations in the runs above that the breakage does not
    // cause.
    for (const known_breakage& known : known_breakages)
    {
        INFO(known.name << " with seed " << known.seed);
        const auto found = run_seed(known, known.seed, breakage::none);
        CHECK(found.empty());
    }
}

TEST_CASE("search for seeds of the breakages", "[.search]")
{
    // Prints the first seed that detects each breakage, to update
    // known_breakages. FUZZ_SEED (0 to 3) selects every fourth breakage from
    // that index on, so that four processes can share the search.
    const std::size_t count = std::size(known_breakages);
    for (std::size_t i = environment_number("FUZZ_SEED", 0); i < count; i += 4)
    {
        const known_breakage& known = known_breakages[i];
        std::uint64_t seed = 1;
        for (; seed <= 200; ++seed)
        {
            const auto found = run_seed(known, seed, known.fault);
            if (!found.empty() && found.front().rule == known.rule &&
                run_seed(known, seed, breakage::none).empty())
            {
                std::cout << known.name << ' ' << seed << ' '
                          << describe(found.front()) << std::endl;
                break;
            }
        }
        CHECK(seed <= 200);
    }
}
