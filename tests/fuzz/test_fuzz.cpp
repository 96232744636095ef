#include "sequences.hpp"

#include "property.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::fuzz;

TEST_CASE("the decision modules keep the invariants in random runs", "[fuzz]")
{
    // Guards against sequences of faults, edits and load in which the decision
    // modules violate an invariant of the oracle.
    const auto seed = environment_number("FUZZ_SEED", 1);
    const auto runs = static_cast<int>(environment_number("FUZZ_RUNS", 20));
    CHECK(test::holds(
        seed, runs,
        []
        {
            const auto world_seed =
                *rc::gen::noShrink(rc::gen::inRange(0U, 1'000'000U));
            const auto commands = *random_sequences();
            const auto found = run_world(world_seed, breakage::none, commands);
            if (!found.empty())
            {
                RC_FAIL("world seed " + std::to_string(world_seed) + ": " +
                        describe(found.front()));
            }
        },
        true));
}

TEST_CASE("a new owner knows that its target is leaving", "[fuzz]")
{
    // Guards against work sent to a target that starts to leave while it has no
    // owner: the bound of R9 counts from the time at which the target starts to
    // leave, not from the first report that the new owner receives.
    world w(161973, breakage::none);
    w.apply({command_kind::drain, 2, 0, 0});
    w.apply({command_kind::kill_vm, 0, 0, 50});
    w.settle();
    for (const violation& v : w.checker.violations())
    {
        FAIL_CHECK(describe(v));
    }
}
