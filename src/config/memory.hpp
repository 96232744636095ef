#pragma once

#include "config/units.hpp"

/// Limits on the memory and the connections that callers may use.
namespace bramleymux::config
{

} // namespace bramleymux::config
