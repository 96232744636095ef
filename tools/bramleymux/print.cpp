#include "bramleymux/print.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <iomanip>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

constexpr std::size_t column_gap = 2;

std::string
format_cell(const json& value)
{
    if (value.is_string())
    {
        return value.get<std::string>();
    }
    return value.is_null() ? std::string("-") : value.dump();
}

std::string
join(const json& names)
{
    std::string out;
    for (const json& name : names)
    {
        out += (out.empty() ? "" : ", ") + format_cell(name);
    }
    return out;
}

/// Formats a Unix time in milliseconds as ISO 8601 UTC; "-" if it is 0 s.
std::string
format_utc_time(const json& unix_ms)
{
    const std::time_t seconds = unix_ms.get<std::int64_t>() / 1000;
    if (seconds == 0)
    {
        return "-";
    }
    char text[32];
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

std::string
format_percent(const json& share)
{
    return std::to_string(std::lround(share.get<double>() * 100.0)) + "%";
}

} // namespace

void
print_table(std::ostream& out, const text_rows& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            const bool last = i + 1 == row.size();
            out << row[i]
                << std::string(
                       last ? 0 : widths[i] - row[i].size() + column_gap, ' ');
        }
        out << "\n";
    }
}

void
print_rows(std::ostream& out, const json& rows)
{
    if (rows.empty())
    {
        out << "no rows\n";
        return;
    }
    std::vector<std::string> fields;
    for (const json& row : rows)
    {
        for (const auto& [field, value] : row.items())
        {
            if (std::find(fields.begin(), fields.end(), field) == fields.end())
            {
                fields.push_back(field);
            }
        }
    }
    text_rows text{fields};
    for (const json& row : rows)
    {
        std::vector<std::string> cells;
        cells.reserve(fields.size());
        for (const std::string& field : fields)
        {
            cells.push_back(row.contains(field) ? format_cell(row[field])
                                                : std::string("-"));
        }
        text.push_back(std::move(cells));
    }
    print_table(out, text);
}

void
print_status(std::ostream& out, const json& status)
{
    out << "VM " << format_cell(status["vm"]) << ", table version "
        << status["table_version"] << ", platform "
        << (status["platform_reachable"].get<bool>() ? "reachable"
                                                     : "unreachable")
        << ", owner of targets: "
        << (status["may_act"].get<bool>() ? "yes" : "no")
        << ", view: " << join(status["view"]) << "\n\n";
    text_rows vms{{"VM", "ZONE", "PRESENCE", "STATE", "TABLE", "PLATFORM"}};
    for (const json& vm : status["vms"])
    {
        vms.push_back({format_cell(vm["id"]), format_cell(vm["zone"]),
            format_cell(vm["presence"]), format_cell(vm["state"]),
            format_cell(vm["table_version"]),
            vm["platform_reachable"].get<bool>() ? "reachable"
                                                 : "unreachable"});
    }
    print_table(out, vms);
    out << "\n";
    text_rows targets{{"TARGET", "LIMIT", "RUNNING", "WORST", "QUEUED", "SENDS",
        "COLD FALLS", "REACHABLE"}};
    for (const json& t : status["targets"])
    {
        targets.push_back({format_cell(t["name"]), format_cell(t["limit"]),
            format_cell(t["running"]), format_cell(t["worst_running"]),
            format_cell(t["queued"]), format_cell(t["sends"]),
            format_cell(t["cold_falls"]),
            t["unreachable"].get<bool>() ? "no" : "yes"});
    }
    print_table(out, targets);
    out << "\n";
    print_moves(out, status["moves"]);
}

void
print_moves(std::ostream& out, const json& moves)
{
    if (moves.empty())
    {
        out << "no moves\n";
        return;
    }
    for (const json& m : moves)
    {
        out << "move " << format_cell(m["name"]) << " of "
            << format_cell(m["service"]) << ": " << format_cell(m["from"])
            << " -> " << format_cell(m["to"]) << ", " << format_cell(m["state"])
            << ", share " << format_percent(m["share"]) << ", deadline "
            << format_utc_time(m["deadline_ms"]) << "\n";
        if (m.value("at_risk", false))
        {
            out << "  at risk: " << m.value("risk", "") << "\n";
        }
        if (!m.value("cause", std::string()).empty())
        {
            out << "  withdrawn: " << m.value("cause", "") << "\n";
        }
        if (!m.value("waits_for_detail", std::string()).empty())
        {
            out << "  next step waits for: " << m.value("waits_for_detail", "")
                << "\n";
        }
    }
}

void
print_in_force(std::ostream& out, const json& report)
{
    const bool everywhere = report["everywhere"].get<bool>();
    out << "table version " << report["version"]
        << (everywhere ? " is in force on every VM: "
                       : " is not yet in force everywhere; applied by: ")
        << join(report["applied"]) << "\n";
    for (const char* kind : {"pending", "cut_off", "unconfirmed"})
    {
        if (!report[kind].empty())
        {
            out << "  " << kind << ": " << join(report[kind]) << "\n";
        }
    }
}

void
print_edit(std::ostream& out, const json& result)
{
    out << "edit " << format_cell(result.value("edit_id", json("?"))) << ": "
        << format_cell(result.value("outcome", json("refused")));
    if (result.value("version", 0) != 0)
    {
        out << ", table version " << result["version"];
    }
    out << "\n";
    const std::string reason =
        result.value("reason", result.value("detail", std::string()));
    if (!reason.empty())
    {
        out << "  " << reason << "\n";
    }
    for (const json& f : result.value("findings", json::array()))
    {
        out << "  " << format_cell(f["place"]) << ": "
            << format_cell(f["message"]) << "\n";
    }
    for (const json& c : result.value("conflicts", json::array()))
    {
        out << "  " << format_cell(c["row"]) << " was changed by "
            << format_cell(c["author"]) << ": " << c["value"].dump() << "\n";
    }
}

} // namespace bramleymux::tools
