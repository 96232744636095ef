#pragma once

#include "platform.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// Leader election by a lease object in the platform, and fenced writes: a
/// holder that was paused past the end of its lease cannot write.
namespace bramleymux
{

inline constexpr std::string_view controller_lease_key = "lease/controller";

enum class lease_state
{
    free,     ///< not held by any VM, or not read yet
    followed, ///< held by another VM
    held,
    count
};

inline constexpr name_table<lease_state> lease_state_names{
    "free", "followed", "held"};

struct platform_lease
{
    std::string key;
    std::string holder; ///< this VM's id and incarnation
    lease_state state = lease_state::free;
    std::string owner;         ///< holder that the object names
    std::uint64_t term = 0;    ///< of the object when last read or written
    std::uint64_t version = 0; ///< of the object
    /// When this VM first read the object at this version, or lost its own
    /// lease. Another VM's lease has ended once the version has stayed the same
    /// for the lease's duration by this VM's clock; clocks of different VMs are
    /// never compared.
    monotonic_time unchanged_since;
    monotonic_time valid_until; ///< if held; counts from the send
    monotonic_time next_renewal;
};

platform_lease
make_lease(std::string key, std::string holder);

/// Whether this VM may act as the holder. Check right before each write.
bool
holds(const platform_lease& lease, monotonic_time now);

using monotonic_source = std::function<monotonic_time()>;

/// Renews the lease if that is due; if this VM does not hold it, reads it and
/// takes it if it is free or has ended. Call at least every
/// `config::controller_lease_renewal_period` / 3.
lease_state
maintain_lease(platform_lease& lease, platform_api& platform,
    const monotonic_source& clock);

/// Releases the lease, so that another VM can take it at once.
void
release_lease(platform_lease& lease, platform_api& platform);

enum class fenced_outcome
{
    written,
    lease_lost,  ///< not held, or a later term wrote the object
    not_written, ///< the platform refused the write or is down
    unknown,     ///< the reply was lost
    count
};

inline constexpr name_table<fenced_outcome> fenced_outcome_names{
    "written", "lease_lost", "not_written", "unknown"};

/// Writes {"term", "value"} if this VM holds the lease and the object holds no
/// later term. The write is conditional on the version read just before. A new
/// holder writes each of its objects once at the start of its term, so that a
/// delayed write of a previous holder fails.
fenced_outcome
fenced_put(platform_lease& lease, platform_api& platform,
    const std::string& key, const nlohmann::json& value,
    const monotonic_source& clock);

} // namespace bramleymux
