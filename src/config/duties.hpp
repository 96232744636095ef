#pragma once

#include "config/units.hpp"

/// Limits of the duties that one VM holds at a time.
namespace bramleymux::config
{

} // namespace bramleymux::config
