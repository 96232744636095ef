#pragma once

#include "platform.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// Election of one VM by a lease object in the platform, and writes that a
/// holder paused past its lease cannot make.
namespace bramleymux
{

inline constexpr std::string_view controller_lease_key = "lease/controller";

enum class lease_state
{
    free,     ///< held by nobody, or not read yet
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
    std::string owner;         ///< holder named by the object
    std::uint64_t term = 0;    ///< of the object as last read or written
    std::uint64_t version = 0; ///< of the object
    /// When the object was first seen at this version. Another VM's lease has
    /// ended once the version has not changed for the lease's duration, by
    /// this VM's clock; clocks of different VMs are never compared.
    monotonic_time seen;
    monotonic_time valid_until; ///< when held: from the send of the renewal
    monotonic_time next_renewal;
};

platform_lease
make_lease(std::string key, std::string holder);

/// Whether the VM may act as the holder. Check it right before each write.
bool
holds(const platform_lease& lease, monotonic_time now);

using monotonic_source = std::function<monotonic_time()>;

/// Reads, takes or renews the lease when that is due. Call it every
/// `config::controller_lease_renewal_period` / 3 or more often.
lease_state
maintain_lease(platform_lease& lease, platform_api& platform,
    const monotonic_source& clock);

/// Gives the lease up, so that another VM can take it at once.
void
release_lease(platform_lease& lease, platform_api& platform);

enum class fenced_outcome
{
    written,
    lease_lost,  ///< not held, or a later term wrote the object
    not_written, ///< the platform refused or is down
    unknown,     ///< the reply was lost
    count
};

inline constexpr name_table<fenced_outcome> fenced_outcome_names{
    "written", "lease_lost", "not_written", "unknown"};

/// Writes {"term", "value"}. The write is conditional on the version read
/// before, and refused when the object holds a later term. A new holder writes
/// each object that it cares for once at the start of its term; a write that a
/// former holder decided on before then fails.
fenced_outcome
fenced_put(platform_lease& lease, platform_api& platform,
    const std::string& key, const nlohmann::json& value,
    const monotonic_source& clock);

} // namespace bramleymux
