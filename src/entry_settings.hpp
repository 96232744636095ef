#pragma once

#include "entry_server.hpp"
#include "extra_load_window.hpp"
#include "rollout.hpp"

#include <bramleymux/types.hpp>

#include <string>

/// INI settings of the entry VM's daemon. docs/settings.md lists every key.
namespace bramleymux
{

struct entry_settings
{
    std::string vm_id;
    std::string zone;

    std::string caller_listen;    ///< IP:port
    std::string readiness_listen; ///< IP:port
    std::string metrics_listen;   ///< IP:port; empty = no metrics endpoint
    std::string peer_listen;      ///< IP:port, for other VMs
    std::string store_address;    ///< IP:port of the platform's store

    extra_load_limits extra_load;
    /// A target that is leaving gets no new requests after this time.
    duration leave_bound = config::default_leave_bound;
    rollout_limits rollout;
    stop_times stop;
};

/// Parses and checks INI text. Appends every finding to `found`, at places that
/// begin with `source_name`; a number with a finding keeps its
/// default.
entry_settings
parse_entry_settings(
    const std::string& text, const std::string& source_name, findings& found);

/// Reads and parses a file. A file that cannot be read gives one finding and
/// default settings.
entry_settings
load_entry_settings(const std::string& path, findings& found);

} // namespace bramleymux
