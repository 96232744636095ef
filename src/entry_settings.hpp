#pragma once

#include "entry_server.hpp"
#include "extra_load_window.hpp"
#include "rollout.hpp"

#include <bramleymux/types.hpp>

#include <string>

/// INI settings of the entry daemon. docs/settings.md lists every key.
namespace bramleymux
{

struct entry_settings
{
    std::string vm_id;
    std::string zone;

    std::string caller_listen;    ///< IP:port
    std::string readiness_listen; ///< IP:port
    std::string metrics_listen;   ///< IP:port; empty = none
    std::string peer_listen;      ///< IP:port for other VMs
    std::string store_address;    ///< IP:port of the platform's store

    extra_load_limits extra_load;
    duration leave_bound = config::default_leave_bound; ///< of targets
    rollout_limits rollout;
    stop_times stop;
};

/// Parses and checks INI text; all findings are collected.
entry_settings
parse_entry_settings(
    const std::string& text, const std::string& name, findings& found);

/// Reads a file; a file that cannot be read is one finding.
entry_settings
load_entry_settings(const std::string& path, findings& found);

} // namespace bramleymux
