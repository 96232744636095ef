#pragma once

#include <bramleymux/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Zones that operators took out of service. One that a restored store lacks
/// stays out for a while, so that its operator can write it again. Times are
/// those of the boot clock.
namespace bramleymux
{

struct evacuations
{
    /// By zone, the end of an evacuation that the store lacks.
    std::map<std::string, std::optional<duration>> zones;
};

/// Records that the store has the evacuation of the zone.
void
put(evacuations& state, const std::string& zone);

/// Ends the evacuation of the zone.
void
remove(evacuations& state, const std::string& zone);

/// Ends the evacuation of the zone at `end` unless it is put again before.
void
hold(evacuations& state, const std::string& zone, duration end);

/// Ends the evacuations whose end has come. Returns whether there were any.
bool
expire(evacuations& state, duration now);

/// Returns the zones that are out, sorted.
std::vector<std::string>
zones_out(const evacuations& state);

} // namespace bramleymux
