#pragma once

#include "entry_server.hpp"
#include "extra_load_window.hpp"
#include "memory/memory_limits.hpp"
#include "rollout.hpp"

#include <bramleymux/types.hpp>

#include <optional>
#include <string>
#include <vector>

/// INI settings of the entry VM's daemon. docs/settings.md lists every key.
namespace bramleymux
{

/// Calls to the platform's API that one VM at a time makes.
struct duty_settings
{
    std::string api_address;        ///< IP:port; empty = no duties
    std::vector<std::string> names; ///< of the duties
    double calls_per_second = 0;    ///< from all VMs together
    duration lease{};
};

/// Reports of the requests of each workspace; needs `duty_settings`.
struct usage_settings
{
    duration window{};    ///< zero = no reports
    double tolerance = 0; ///< share by which a count may be off
    duration due_after{}; ///< the end of its window
};

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

    /// Time after the removal of a key from which no VM accepts it; nullopt =
    /// the desired state's own propagation time is enough.
    std::optional<duration> revocation_bound;
    duty_settings duty;
    usage_settings usage;
    memory_limits memory;
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
