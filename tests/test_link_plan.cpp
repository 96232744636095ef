#include "config.hpp"
#include "link_plan.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace bramleymux;

namespace
{

constexpr std::size_t other_zones = 3;

struct planned_total
{
    std::size_t links = 0;
    std::size_t least_in_zone = config::max_links_per_target;
};

/// Plans the connections of every VM to one target.
planned_total
plan_fleet(std::uint32_t connections, std::size_t in_zone,
    std::size_t elsewhere, std::mt19937_64& random)
{
    planned_total out;
    const double hash = std::uniform_real_distribution<>(0.0, 1.0)(random);
    const std::size_t others = elsewhere / other_zones;
    for (std::size_t i = 0; i < in_zone + others * other_zones; ++i)
    {
        link_plan plan;
        plan.connections = connections;
        plan.vms_in_zone = in_zone;
        plan.vms_elsewhere = others * other_zones;
        plan.same_zone = i < in_zone;
        const double position =
            plan.same_zone
                ? static_cast<double>(i) / static_cast<double>(in_zone)
                : static_cast<double>(i % others) / static_cast<double>(others);
        plan.position = std::fmod(position + hash, 1.0);
        const std::size_t links = planned_links(plan);
        out.links += links;
        if (plan.same_zone)
        {
            out.least_in_zone = std::min(out.least_in_zone, links);
        }
    }
    return out;
}

} // namespace

// Guards against a fleet that opens more connections to a target than it
// accepts: the target resets the surplus, and with it requests.
TEST_CASE("all VMs together keep within a target's connections", "[entry]")
{
    std::mt19937_64 random(5);
    for (const std::size_t vms : {4U, 8U, 30U, 80U, 300U, 1000U})
    {
        for (const std::uint32_t connections : {31U, 82U, 195U})
        {
            CAPTURE(vms, connections);
            for (int target = 0; target < 100; ++target)
            {
                const planned_total total =
                    plan_fleet(connections, vms / 4, vms - vms / 4, random);
                // Rounding adds one connection for each zone at most.
                CHECK(static_cast<double>(total.links) <=
                      std::ceil(connections * config::target_connection_share) +
                          1 + other_zones);
            }
        }
    }
}

// Guards against a VM that cannot reach a target of its own zone although the
// target accepts more connections than its zone has VMs.
TEST_CASE("every VM of the zone may connect where there is room", "[entry]")
{
    std::mt19937_64 random(6);
    CHECK(plan_fleet(82, 20, 60, random).least_in_zone >= 2);
    CHECK(plan_fleet(195, 49, 246, random).least_in_zone >= 2);
    CHECK(plan_fleet(31, 1, 0, random).least_in_zone ==
          config::max_links_per_target);
}

// Guards against an unknown limit that is taken for none at all.
TEST_CASE("a target without a stated limit may be connected to", "[entry]")
{
    CHECK(planned_links({}) == config::max_links_per_target);
}
