#pragma once

#include "config/units.hpp"

/// Limits of workspace keys and of the age of what a VM knows of them.
namespace bramleymux::config
{

// A workspace or key beyond these is left out, so that a faulty desired state
// cannot fill the memory of the smallest VM.
inline constexpr std::size_t max_workspaces = 8192;
inline constexpr std::size_t max_keys_per_workspace = 64;
inline constexpr std::size_t max_workspace_name_bytes = 256;
// A longer key is unknown without being hashed.
inline constexpr std::size_t max_key_bytes = 1024;

} // namespace bramleymux::config
