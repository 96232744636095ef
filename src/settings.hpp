#pragma once

#include "config.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The daemon's INI settings. docs/settings.md lists every key.
namespace bramleymux
{

/// `baseline` is the reference for measurements: round robin, no hedges, and
/// the same fixed limit for each VM.
enum class policy_kind
{
    baseline,
    adaptive,
    count
};

inline constexpr name_table<policy_kind> policy_kind_names{
    "baseline", "adaptive"};

struct tls_settings
{
    std::string caller_certificate; ///< PEM with certificate and key
    std::string admin_certificate;
    std::string admin_client_ca;
    std::string peer_certificate;
    std::string peer_key;
    std::string peer_ca;
};

/// A peer named in the settings, so that a VM can start during an outage of the
/// platform, which holds the list of VMs.
struct peer_seed
{
    std::string id;
    std::string zone;
    std::string address; ///< IP:port
};

struct settings
{
    std::string vm_id;
    std::string zone;

    std::string caller_listen; ///< IP:port
    std::string peer_listen;
    std::string admin_listen;
    std::string platform_address;
    std::vector<peer_seed> peer_seeds;

    std::string admin_token_file;
    tls_settings tls;

    policy_kind policy = policy_kind::adaptive;
    double extra_load_share = config::extra_load_share;
    std::uint32_t baseline_limit = 1; ///< concurrent sends of a VM to a target

    std::uint32_t caller_threads = 32;
    std::uint32_t worker_threads = 64;
    std::uint32_t default_deadline_ms = 1000;
    std::uint32_t max_body_bytes = 64 * 1024;

    std::uint32_t balancer_delay_ms = 2000;
    std::uint32_t drain_timeout_ms = 30000;

    std::string trace_file;      ///< OTLP/JSON, one line for each batch
    std::string trace_collector; ///< IP:port of an OTLP/HTTP collector
    double trace_sample = 0.01;  ///< share of new traces that are sampled

    std::string log_file; ///< empty: standard error
    std::string log_level = "info";
};

/// Parses and validates INI text. `name` is the file name used in findings. All
/// faults are reported in `found`, not only the first.
settings
parse_settings(
    const std::string& text, const std::string& name, findings& found);

/// Returns the text of a file, or nullopt and a finding if it cannot be read.
std::optional<std::string>
read_settings_file(const std::string& path, findings& found);

/// Reads, parses and validates a file.
settings
load_settings(const std::string& path, findings& found);

/// Returns true for "IP:port" with a numeric IPv4 address and a port from 1 to
/// 65535.
bool
is_ip_port(const std::string& text);

} // namespace bramleymux
