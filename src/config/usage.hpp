#pragma once

#include "config/units.hpp"

/// Limits of the usage counts of workspaces.
namespace bramleymux::config
{

} // namespace bramleymux::config
