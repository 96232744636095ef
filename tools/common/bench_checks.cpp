#include "common/bench_checks.hpp"

#include <cmath>
#include <limits>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

// "Stated benchmark targets" and requirements R4, R5, R8 and R11 of the design.
constexpr double max_straggler_p99_ratio = 0.3;
constexpr double max_extra_load = 0.05;
constexpr double max_quiet_p99_ratio = 1.05;
constexpr double max_own_cost_ms = 1.0;
constexpr double max_starts_above_cold_limit = 10;
constexpr double max_zone_out_s = 2.0;
constexpr double max_edit_p99_s = 2.0;
constexpr double min_served_worth_share = 0.9;
constexpr double max_bad_version_share = 0.05;
/// Of work on a bad version after its faults become visible.
constexpr double max_bad_version_s = 1.0;
// Numbers of moves of either kind in the scenario.
constexpr double min_good_moves_done = 1;
constexpr double min_bad_moves_withdrawn = 2;

/// Returns NaN if the run has no such figure or it is not a number.
double
figure(const json& run, const char* name)
{
    const auto it = run.find(name);
    return it != run.end() && it->is_number()
               ? it->get<double>()
               : std::numeric_limits<double>::quiet_NaN();
}

class check_list
{
public:
    check_list(const json& baseline, const json& adaptive)
        : baseline_(baseline), adaptive_(adaptive)
    {
    }

    void
    at_most(const char* name, double bound)
    {
        add(name, figure(adaptive_, name), bound, false);
    }

    void
    at_least(const char* name, double bound)
    {
        add(name, figure(adaptive_, name), bound, true);
    }

    void
    ratio_at_most(const char* name, double bound)
    {
        const double base = figure(baseline_, name);
        add(std::string(name) + "_ratio",
            base > 0 ? figure(adaptive_, name) / base
                     : std::numeric_limits<double>::quiet_NaN(),
            bound, false);
    }

    std::vector<figure_check>
    take()
    {
        return std::move(checks_);
    }

private:
    void
    add(std::string name, double measured, double bound, bool at_least)
    {
        checks_.push_back({std::move(name), measured, bound, at_least,
            !std::isnan(measured)});
    }

    const json& baseline_;
    const json& adaptive_;
    std::vector<figure_check> checks_;
};

} // namespace

bool
passes(const figure_check& check)
{
    return check.present && (check.at_least ? check.measured >= check.bound
                                            : check.measured <= check.bound);
}

std::vector<figure_check>
checks_of(
    const std::string& scenario, const json& baseline, const json& adaptive)
{
    check_list checks(baseline, adaptive);
    // R1, R2 and R6 hold in every scenario.
    checks.at_most("row_faults", 0);
    if (scenario == "quiet")
    {
        checks.ratio_at_most("p99_ms", max_quiet_p99_ratio);
        checks.at_most("own_cost_p50_ms", max_own_cost_ms);
    }
    else if (scenario == "stragglers")
    {
        checks.ratio_at_most("p99_ms", max_straggler_p99_ratio);
        checks.at_most("extra_load", max_extra_load);
    }
    else if (scenario == "cold")
    {
        checks.at_most("starts_above_cold_limit", max_starts_above_cold_limit);
    }
    else if (scenario == "zone")
    {
        checks.at_most("zone_out_s", max_zone_out_s);
        checks.at_least("answered_share", 1);
    }
    else if (scenario == "replica" || scenario == "repartition")
    {
        checks.at_least("coverage", 1);
    }
    else if (scenario == "rolling" || scenario == "outage")
    {
        checks.at_most("interrupted", 0);
        checks.at_most("duplicates", 0);
        checks.at_most("false_not_run", 0);
    }
    else if (scenario == "edits")
    {
        checks.at_most("edit_p99_s", max_edit_p99_s);
    }
    else if (scenario == "overload")
    {
        checks.at_least("served_worth_share", min_served_worth_share);
        checks.at_most("most_above_limit", 0);
    }
    else if (scenario == "moves")
    {
        checks.at_most("bad_version_share", max_bad_version_share);
        checks.at_most("bad_version_s", max_bad_version_s);
        checks.at_least("bad_moves_withdrawn", min_bad_moves_withdrawn);
        checks.at_least("good_moves_done", min_good_moves_done);
    }
    return checks.take();
}

} // namespace bramleymux::tools
