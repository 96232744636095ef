#include "bramleymux_bench/report.hpp"

#include "bramleymux_bench/scenario.hpp"
#include "common/bench_checks.hpp"

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

const char* const policies[] = {"baseline", "adaptive"};

/// Column of the table of runs and the figure that it shows.
struct column
{
    const char* title;
    const char* figure;
};

const column columns[] = {{"p50 ms", "p50_ms"}, {"p99 ms", "p99_ms"},
    {"p99.9 ms", "p999_ms"}, {"queries", "queries"},
    {"answered", "answered_share"}, {"coverage", "coverage"},
    {"extra load", "extra_load"}, {"above limit", "most_above_limit"},
    {"served worth", "served_worth_share"}, {"cut", "interrupted"},
    {"row faults", "row_faults"}, {"doubled runs", "duplicates"},
    {"false not_run", "false_not_run"},
    {"control % of a core", "control_core_percent_mean"},
    {"peer B/s", "peer_bytes_per_s_mean"},
    {"platform calls/s", "platform_calls_per_s_mean"}};

json
read_result(const std::string& path)
{
    std::ifstream in(path);
    return in ? json::parse(in, nullptr, false) : json::object();
}

std::string
format_number(const json& value)
{
    if (!value.is_number())
    {
        return "-";
    }
    std::ostringstream out;
    const double number = value.get<double>();
    const bool whole =
        number == static_cast<double>(static_cast<long long>(number));
    out << std::fixed << std::setprecision(whole ? 0 : 3) << number;
    return out.str();
}

json
check_json(const figure_check& check)
{
    return {{"name", check.name},
        {"measured", check.present ? json(check.measured) : json(nullptr)},
        {"bound", check.bound}, {"at_least", check.at_least},
        {"passed", passes(check)}};
}

/// Returns a figure of the adaptive policy relative to the baseline, or 0 if
/// the baseline has none.
double
ratio(const json& scenario, const char* name)
{
    const double base = scenario.at("baseline").value(name, 0.0);
    return base > 0 ? scenario.at("adaptive").value(name, 0.0) / base : 0;
}

void
print_runs(const json& report, std::ostream& out)
{
    out << "| scenario | policy |";
    for (const column& c : columns)
    {
        out << ' ' << c.title << " |";
    }
    out << "\n|---|---|";
    for (std::size_t i = 0; i < std::size(columns); ++i)
    {
        out << "---|";
    }
    out << '\n';
    for (const json& scenario : report.at("scenarios"))
    {
        for (const char* policy : policies)
        {
            const json& run = scenario.at(policy);
            out << "| " << scenario.at("name").get<std::string>() << " | "
                << policy << " |";
            for (const column& c : columns)
            {
                out << ' ' << format_number(run.value(c.figure, json()))
                    << " |";
            }
            out << '\n';
        }
    }
}

void
print_checks(const json& report, std::ostream& out)
{
    out << "\n| scenario | figure (adaptive) | measured | bound | result |\n"
           "|---|---|---|---|---|\n";
    for (const json& scenario : report.at("scenarios"))
    {
        for (const json& check : scenario.at("checks"))
        {
            out << "| " << scenario.at("name").get<std::string>() << " | "
                << check.at("name").get<std::string>() << " | "
                << format_number(check.at("measured")) << " | "
                << (check.at("at_least").get<bool>() ? ">= " : "<= ")
                << format_number(check.at("bound")) << " | "
                << (check.at("passed").get<bool>() ? "pass" : "FAIL") << " |\n";
        }
    }
    out << "\n| scenario | p50 ratio | p99 ratio | p99.9 ratio |\n"
           "|---|---|---|---|\n";
    for (const json& scenario : report.at("scenarios"))
    {
        const json& ratios = scenario.at("ratios");
        out << "| " << scenario.at("name").get<std::string>() << " | "
            << format_number(ratios.at("p50")) << " | "
            << format_number(ratios.at("p99")) << " | "
            << format_number(ratios.at("p999")) << " |\n";
    }
}

} // namespace

json
make_report(const std::string& directory)
{
    json scenarios = json::array();
    for (const std::string_view view : scenario_names)
    {
        const std::string name(view);
        json scenario{{"name", name}};
        bool present = false;
        for (const char* policy : policies)
        {
            std::string path = directory;
            path.append("/").append(name).append(".").append(policy);
            scenario[policy] = read_result(path.append(".json"));
            present = present || !scenario[policy].empty();
        }
        if (!present)
        {
            continue;
        }
        scenario["ratios"] = {{"p50", ratio(scenario, "p50_ms")},
            {"p99", ratio(scenario, "p99_ms")},
            {"p999", ratio(scenario, "p999_ms")}};
        scenario["checks"] = json::array();
        for (const figure_check& check :
            checks_of(name, scenario.at("baseline"), scenario.at("adaptive")))
        {
            scenario["checks"].push_back(check_json(check));
        }
        scenarios.push_back(std::move(scenario));
    }
    return {{"scenarios", std::move(scenarios)}};
}

void
write_cdfs(const json& report, const std::string& directory)
{
    for (const json& scenario : report.at("scenarios"))
    {
        for (const char* policy : policies)
        {
            std::ofstream out(directory + "/" +
                              scenario.at("name").get<std::string>() + "." +
                              policy + ".dat");
            for (const json& point :
                scenario.at(policy).value("cdf", json::array()))
            {
                out << point.at(0) << ' ' << point.at(1) << '\n';
            }
        }
    }
}

void
print_markdown(const json& report, std::ostream& out)
{
    print_runs(report, out);
    print_checks(report, out);
}

bool
all_passed(const json& report)
{
    for (const json& scenario : report.at("scenarios"))
    {
        for (const json& check : scenario.at("checks"))
        {
            if (!check.at("passed").get<bool>())
            {
                return false;
            }
        }
    }
    return true;
}

} // namespace bramleymux::tools
