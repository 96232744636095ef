#include "entry_settings.hpp"

#include "config.hpp"
#include "settings.hpp"

#include <ini.h>

#include <cmath>
#include <map>
#include <sstream>

namespace bramleymux
{

namespace
{

using values_by_key = std::map<std::string, std::string>;

/// Value handler of inih. Returns 1 to continue parsing.
int
store_value(void* user, const char* section, const char* key, const char* value)
{
    (*static_cast<values_by_key*>(user))[std::string(section) + "/" + key] =
        value;
    return 1;
}

/// Reads and checks single values. Faulty ones are added to `found`.
struct key_reader
{
    const values_by_key& values;
    const std::string& source_name;
    findings& found;

    void
    report(const std::string& key, const std::string& message) const
    {
        found.push_back({source_name + "/" + key, message});
    }

    std::string
    text(const std::string& key, bool required) const
    {
        const auto it = values.find(key);
        if (it != values.end() && !it->second.empty())
        {
            return it->second;
        }
        if (required)
        {
            report(key, "is required");
        }
        return {};
    }

    /// Returns the value as it is, also when it is not IP:port.
    std::string
    address(const std::string& key, bool required) const
    {
        std::string value = text(key, required);
        if (!value.empty() && !is_ip_port(value))
        {
            report(key, "must be IP:port");
        }
        return value;
    }

    /// Returns `fallback` for a value that is absent, malformed or out of
    /// range.
    double
    number(
        const std::string& key, double fallback, double low, double high) const
    {
        const std::string value = text(key, false);
        if (value.empty())
        {
            return fallback;
        }
        std::istringstream in(value);
        double parsed = 0;
        if (!(in >> parsed) || !in.eof() || !std::isfinite(parsed) ||
            parsed < low || parsed > high)
        {
            std::ostringstream message;
            message << "must be a number from " << low << " to " << high;
            report(key, message.str());
            return fallback;
        }
        return parsed;
    }
};

duration
seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

double
in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

constexpr double max_time_s = 3600;
constexpr double ms_per_s = 1000;

std::vector<std::string>
split_list(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');)
    {
        if (!item.empty())
        {
            out.push_back(item);
        }
    }
    return out;
}

void
read_revocation(const key_reader& keys, entry_settings& out)
{
    const std::string strict = keys.text("keys/strict_revocation", false);
    if (!strict.empty() && strict != "true" && strict != "false")
    {
        keys.report("keys/strict_revocation", "must be true or false");
    }
    const double bound_ms =
        keys.number("keys/revoke_ms", 0, 0, max_time_s * ms_per_s);
    if (strict == "true" && bound_ms > 0)
    {
        out.revocation_bound = seconds(bound_ms / ms_per_s);
    }
}

void
read_duty(const key_reader& keys, duty_settings& out)
{
    out.api_address = keys.address("duty/address", false);
    out.names = split_list(keys.text("duty/names", false));
    out.calls_per_second = keys.number("duty/calls_per_s", 0, 0, 1e6);
    out.lease = seconds(
        keys.number("duty/lease_ms", 0, 0, max_time_s * ms_per_s) / ms_per_s);
}

void
read_usage(const key_reader& keys, usage_settings& out)
{
    out.window = seconds(keys.number("usage/window_s", 0, 0, max_time_s));
    out.tolerance = keys.number("usage/tolerance", 0, 0, 1);
    out.due_after = seconds(keys.number("usage/late_s", 0, 0, max_time_s));
}

/// Returns a number that is absent, 0, or in the range.
double
optional_number(
    const key_reader& keys, const std::string& key, double low, double high)
{
    const double value = keys.number(key, 0, 0, high);
    if (value > 0 && value < low)
    {
        std::ostringstream message;
        message << "must be 0 or a number from " << low << " to " << high;
        keys.report(key, message.str());
        return 0;
    }
    return value;
}

void
read_memory(const key_reader& keys, memory_limits& out)
{
    const double limit_mb = optional_number(
        keys, "memory/limit_mb", config::min_memory_mb, config::max_memory_mb);
    const double callers_mb = optional_number(keys, "memory/callers_mb",
        static_cast<double>(config::min_caller_memory) /
            static_cast<double>(config::mib),
        config::max_memory_mb);
    if (callers_mb > 0)
    {
        out.caller_bytes = static_cast<std::size_t>(callers_mb) * config::mib;
    }
    else if (limit_mb > 0)
    {
        out.caller_bytes = caller_bytes_of(limit_mb);
    }
    if (callers_mb > limit_mb && limit_mb > 0)
    {
        keys.report("memory/callers_mb", "must not exceed memory/limit_mb");
    }
    const double descriptors = optional_number(keys, "memory/max_descriptors",
        config::min_descriptors, config::max_descriptors);
    const double connections =
        keys.number("memory/max_connections", 0, 0, config::max_descriptors);
    if (connections > 0)
    {
        out.max_connections = static_cast<std::size_t>(connections);
    }
    else if (descriptors > 0)
    {
        out.max_connections =
            max_connections_of(static_cast<std::size_t>(descriptors));
    }
    if (connections > descriptors && descriptors > 0)
    {
        keys.report(
            "memory/max_connections", "must not exceed memory/max_descriptors");
    }
    out.read_rate.bytes_per_second = keys.number(
        "memory/min_read_bytes_per_s", out.read_rate.bytes_per_second, 0, 1e9);
    out.read_rate.span = seconds(keys.number(
        "memory/read_span_s", in_seconds(out.read_rate.span), 0.1, max_time_s));
}

} // namespace

entry_settings
parse_entry_settings(
    const std::string& text, const std::string& source_name, findings& found)
{
    values_by_key values;
    const int line = ini_parse_string(text.c_str(), store_value, &values);
    if (line != 0)
    {
        found.push_back(
            {source_name + ":" + std::to_string(line), "is not an INI line"});
    }
    const key_reader keys{values, source_name, found};
    entry_settings out;
    out.vm_id = keys.text("vm/id", true);
    out.zone = keys.text("vm/zone", true);
    out.caller_listen = keys.address("listen/caller", true);
    out.readiness_listen = keys.address("listen/readiness", true);
    out.metrics_listen = keys.address("listen/metrics", false);
    out.peer_listen = keys.address("listen/peer", true);
    out.store_address = keys.address("store/address", true);
    out.extra_load.ratio =
        keys.number("extra_load/ratio", out.extra_load.ratio, 0, 10);
    out.extra_load.slack =
        keys.number("extra_load/slack", out.extra_load.slack, 0, 1e6);
    out.extra_load.window = seconds(keys.number("extra_load/window_s",
        in_seconds(out.extra_load.window), 0.1, max_time_s));
    out.leave_bound = seconds(
        keys.number("target/leave_ms", in_seconds(out.leave_bound) * ms_per_s,
            0, max_time_s * ms_per_s) /
        ms_per_s);
    out.rollout.share = keys.number("rollout/share", out.rollout.share, 0, 1);
    out.rollout.slack = keys.number("rollout/slack", out.rollout.slack, 0, 1e6);
    read_revocation(keys, out);
    read_duty(keys, out.duty);
    read_usage(keys, out.usage);
    read_memory(keys, out.memory);
    const double grace_s = keys.number("stop/grace_s",
        in_seconds(out.stop.exit_after + config::exit_margin), 0.5, max_time_s);
    out.stop.exit_after = std::max<duration>(
        seconds(grace_s) - config::exit_margin, seconds(grace_s / 2));
    out.stop.close_idle_after =
        std::min<duration>(out.stop.close_idle_after, out.stop.exit_after / 2);
    return out;
}

entry_settings
load_entry_settings(const std::string& path, findings& found)
{
    const auto text = read_settings_file(path, found);
    return text ? parse_entry_settings(*text, path, found) : entry_settings{};
}

} // namespace bramleymux
