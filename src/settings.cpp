#include "settings.hpp"

#include <arpa/inet.h>
#include <ini.h>

#include <cmath>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace bramleymux
{

namespace
{

/// Parses a value into a setting. Returns an error message, or an empty string
/// on success.
using setter = std::function<std::string(settings&, const std::string&)>;

struct setting_key
{
    std::string_view section;
    std::string_view key;
    bool required;
    setter set;
};

setter
text_setting(std::string settings::*member)
{
    return [member](settings& s, const std::string& value)
    {
        s.*member = value;
        return std::string();
    };
}

setter
tls_setting(std::string tls_settings::*member)
{
    return [member](settings& s, const std::string& value)
    {
        s.tls.*member = value;
        return std::string();
    };
}

setter
name_setting(std::string settings::*member)
{
    return [member](settings& s, const std::string& value) -> std::string
    {
        const bool valid =
            !value.empty() && value.size() <= 64 &&
            value.find_first_not_of(
                "abcdefghijklmnopqrstuvwxyz"
                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
        s.*member = value;
        return valid ? "" : "must be 1 to 64 letters, digits, '-', '_' or '.'";
    };
}

setter
address_setting(std::string settings::*member)
{
    return [member](settings& s, const std::string& value) -> std::string
    {
        s.*member = value;
        return is_ip_port(value) ? "" : "must be IP:port";
    };
}

setter
number_setting(
    std::uint32_t settings::*member, std::uint32_t low, std::uint32_t high)
{
    return [member, low, high](
               settings& s, const std::string& value) -> std::string
    {
        std::string allowed = "must be a whole number from " +
                              std::to_string(low) + " to " +
                              std::to_string(high);
        if (value.empty() || value.size() > 10 ||
            value.find_first_not_of("0123456789") != std::string::npos)
        {
            return allowed;
        }
        const unsigned long long number = std::stoull(value);
        if (number < low || number > high)
        {
            return allowed;
        }
        s.*member = static_cast<std::uint32_t>(number);
        return "";
    };
}

setter
share_setting(double settings::*member)
{
    return [member](settings& s, const std::string& value) -> std::string
    {
        std::istringstream in(value);
        double number = 0;
        const bool parsed = static_cast<bool>(in >> number) && in.eof();
        if (!parsed || !std::isfinite(number) || number < 0 || number > 1)
        {
            return "must be a number from 0 to 1";
        }
        s.*member = number;
        return "";
    };
}

std::string
set_policy(settings& s, const std::string& value)
{
    const auto policy = from_name<policy_kind>(policy_kind_names, value);
    if (policy == policy_kind::count)
    {
        return "must be baseline or adaptive";
    }
    s.policy = policy;
    return "";
}

std::string
set_log_level(settings& s, const std::string& value)
{
    if (value != "info" && value != "warning" && value != "error")
    {
        return "must be info, warning or error";
    }
    s.log_level = value;
    return "";
}

std::string
set_seeds(settings& s, const std::string& value)
{
    std::istringstream in(value);
    std::string item;
    while (std::getline(in, item, ','))
    {
        item.erase(0, item.find_first_not_of(' '));
        item.erase(item.find_last_not_of(' ') + 1);
        const std::size_t first = item.find('/');
        const std::size_t second = item.find('/', first + 1);
        peer_seed seed;
        if (second != std::string::npos)
        {
            seed = {item.substr(0, first),
                item.substr(first + 1, second - first - 1),
                item.substr(second + 1)};
        }
        if (seed.id.empty() || seed.zone.empty() || !is_ip_port(seed.address))
        {
            return "must be id/zone/IP:port, separated by commas";
        }
        s.peer_seeds.push_back(seed);
    }
    return "";
}

const std::vector<setting_key>&
setting_keys()
{
    using s = settings;
    static const std::vector<setting_key> keys{
        {"vm", "id", true, name_setting(&s::vm_id)},
        {"vm", "zone", true, name_setting(&s::zone)},
        {"listen", "caller", true, address_setting(&s::caller_listen)},
        {"listen", "peer", true, address_setting(&s::peer_listen)},
        {"listen", "admin", true, address_setting(&s::admin_listen)},
        {"platform", "address", true, address_setting(&s::platform_address)},
        {"peers", "seeds", false, set_seeds},
        {"admin", "token_file", false, text_setting(&s::admin_token_file)},
        {"tls", "caller_certificate", false,
            tls_setting(&tls_settings::caller_certificate)},
        {"tls", "admin_certificate", false,
            tls_setting(&tls_settings::admin_certificate)},
        {"tls", "admin_client_ca", false,
            tls_setting(&tls_settings::admin_client_ca)},
        {"tls", "peer_certificate", false,
            tls_setting(&tls_settings::peer_certificate)},
        {"tls", "peer_key", false, tls_setting(&tls_settings::peer_key)},
        {"tls", "peer_ca", false, tls_setting(&tls_settings::peer_ca)},
        {"policy", "name", false, set_policy},
        {"policy", "extra_load_share", false,
            share_setting(&s::extra_load_share)},
        {"policy", "baseline_limit", false,
            number_setting(&s::baseline_limit, 1, 1000)},
        {"limits", "caller_threads", false,
            number_setting(&s::caller_threads, 1, config::max_caller_threads)},
        {"limits", "worker_threads", false,
            number_setting(&s::worker_threads, 1, config::max_worker_threads)},
        {"limits", "default_deadline_ms", false,
            number_setting(&s::default_deadline_ms, 1, 30000)},
        {"limits", "max_body_bytes", false,
            number_setting(&s::max_body_bytes, 1,
                static_cast<std::uint32_t>(config::max_request_body_bytes))},
        {"stop", "balancer_delay_ms", false,
            number_setting(&s::balancer_delay_ms, 0, 600000)},
        {"stop", "drain_timeout_ms", false,
            number_setting(&s::drain_timeout_ms, 0, 600000)},
        {"trace", "file", false, text_setting(&s::trace_file)},
        {"trace", "collector", false, address_setting(&s::trace_collector)},
        {"trace", "sample", false, share_setting(&s::trace_sample)},
        {"log", "file", false, text_setting(&s::log_file)},
        {"log", "level", false, set_log_level},
    };
    return keys;
}

struct parse_state
{
    settings values;
    std::string file;
    findings* found = nullptr;
    std::set<std::string> seen; ///< "section/key"
};

std::string
place_of(const parse_state& state, const std::string& section,
    const std::string& key)
{
    return state.file + ": [" + section + "] " + key;
}

/// Callback of inih; returns nonzero so that parsing goes on after a finding.
int
on_entry(void* user, const char* section, const char* key, const char* value)
{
    auto& state = *static_cast<parse_state*>(user);
    const std::string place = place_of(state, section, key);
    for (const setting_key& known : setting_keys())
    {
        if (known.section != section || known.key != key)
        {
            continue;
        }
        if (!state.seen.insert(std::string(section) + "/" + key).second)
        {
            state.found->push_back({place, "is given more than once"});
        }
        const std::string error = known.set(state.values, value);
        if (!error.empty())
        {
            state.found->push_back(
                {place, error + ", not \"" + std::string(value) + "\""});
        }
        return 1;
    }
    state.found->push_back({place, "is not a known setting"});
    return 1;
}

void
check_required(parse_state& state)
{
    for (const setting_key& known : setting_keys())
    {
        const std::string section(known.section);
        const std::string key(known.key);
        std::string name = section;
        name.append("/").append(key);
        if (known.required && state.seen.count(name) == 0)
        {
            state.found->push_back(
                {place_of(state, section, key), "is required"});
        }
    }
}

/// Checks settings that depend on each other.
void
check_dependencies(parse_state& state)
{
    const settings& s = state.values;
    const auto report = [&](const char* section, const char* key,
                            const char* message) {
        state.found->push_back({place_of(state, section, key), message});
    };
    if (!s.admin_listen.empty() && s.admin_listen == s.caller_listen)
    {
        report("listen", "admin", "must differ from the caller's address");
    }
    if (!s.peer_listen.empty() &&
        (s.peer_listen == s.caller_listen || s.peer_listen == s.admin_listen))
    {
        report("listen", "peer",
            "must differ from the caller's and the admin address");
    }
    const tls_settings& t = s.tls;
    const bool any = !t.peer_certificate.empty() || !t.peer_key.empty() ||
                     !t.peer_ca.empty();
    const bool all = !t.peer_certificate.empty() && !t.peer_key.empty() &&
                     !t.peer_ca.empty();
    if (any && !all)
    {
        report("tls", "peer_certificate",
            "needs peer_certificate, peer_key and peer_ca together");
    }
    if (!t.admin_client_ca.empty() && t.admin_certificate.empty())
    {
        report("tls", "admin_client_ca", "needs admin_certificate");
    }
}

} // namespace

bool
is_ip_port(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    const std::string host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    in_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || port.empty() ||
        port.size() > 5 ||
        port.find_first_not_of("0123456789") != std::string::npos)
    {
        return false;
    }
    const int number = std::stoi(port);
    return number >= 1 && number <= 65535;
}

settings
parse_settings(
    const std::string& text, const std::string& name, findings& found)
{
    parse_state state;
    state.file = name;
    state.found = &found;
    const int line = ini_parse_string(text.c_str(), on_entry, &state);
    if (line > 0)
    {
        found.push_back({name + ": line " + std::to_string(line),
            "is neither a section, a key=value pair nor a comment"});
    }
    check_required(state);
    check_dependencies(state);
    return state.values;
}

std::optional<std::string>
read_settings_file(const std::string& path, findings& found)
{
    std::ifstream in(path);
    if (!in)
    {
        found.push_back({path, "cannot be read"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

settings
load_settings(const std::string& path, findings& found)
{
    const auto text = read_settings_file(path, found);
    return text ? parse_settings(*text, path, found) : settings{};
}

} // namespace bramleymux
