#include "common/bench_targets.hpp"

#include <cmath>
#include <limits>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

// "Stated benchmark targets" and requirements R4, R5, R8 and R11 of the design.
constexpr double straggler_p99_ratio = 0.3;
constexpr double extra_load_share = 0.05;
constexpr double quiet_p99_ratio = 1.05;
constexpr double own_cost_ms = 1.0;
constexpr double cold_replies = 10;
constexpr double zone_out_s = 2.0;
constexpr double edit_s = 2.0;
constexpr double served_worth_share = 0.9;
constexpr double bad_version_share = 0.05;
constexpr double bad_version_s = 1.0; ///< of work after its faults show
constexpr double good_moves = 1;      ///< of the scenario
constexpr double bad_moves = 2;

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

    std::vector<target_check>
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
    std::vector<target_check> checks_;
};

} // namespace

bool
passes(const target_check& check)
{
    return check.present && (check.at_least ? check.measured >= check.bound
                                            : check.measured <= check.bound);
}

std::vector<target_check>
checks_of(
    const std::string& scenario, const json& baseline, const json& adaptive)
{
    check_list list(baseline, adaptive);
    // R1, R2 and R6 hold in every scenario.
    list.at_most("row_faults", 0);
    if (scenario == "quiet")
    {
        list.ratio_at_most("p99_ms", quiet_p99_ratio);
        list.at_most("own_cost_p50_ms", own_cost_ms);
    }
    else if (scenario == "stragglers")
    {
        list.ratio_at_most("p99_ms", straggler_p99_ratio);
        list.at_most("extra_load", extra_load_share);
    }
    else if (scenario == "cold")
    {
        list.at_most("starts_above_cold_limit", cold_replies);
    }
    else if (scenario == "zone")
    {
        list.at_most("zone_out_s", zone_out_s);
        list.at_least("answered_share", 1);
    }
    else if (scenario == "replica" || scenario == "repartition")
    {
        list.at_least("coverage", 1);
    }
    else if (scenario == "rolling" || scenario == "outage")
    {
        list.at_most("interrupted", 0);
        list.at_most("duplicates", 0);
        list.at_most("false_not_run", 0);
    }
    else if (scenario == "edits")
    {
        list.at_most("edit_p99_s", edit_s);
    }
    else if (scenario == "overload")
    {
        list.at_least("served_worth_share", served_worth_share);
        list.at_most("most_above_limit", 0);
    }
    else if (scenario == "moves")
    {
        list.at_most("bad_version_share", bad_version_share);
        list.at_most("bad_version_s", bad_version_s);
        list.at_least("bad_moves_withdrawn", bad_moves);
        list.at_least("good_moves_done", good_moves);
    }
    return list.take();
}

} // namespace bramleymux::tools
