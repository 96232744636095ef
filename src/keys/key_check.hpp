#pragma once

#include "fleet_view.hpp"

#include <string_view>

/// Decides whether a request may run under the key that it carries.
namespace bramleymux
{

enum class key_verdict
{
    allowed,
    unknown_key, ///< no key, or one that no workspace has
    not_current, ///< the desired state may be too old to tell
    count
};

inline constexpr name_table<key_verdict> key_verdict_names{
    "allowed", "unknown_key", "not_current"};

struct key_decision
{
    key_verdict verdict = key_verdict::allowed;
    const workspace* owner = nullptr; ///< of the key; null without one
};

/// `is_current` tells whether the desired state is known to be so recent that a
/// revoked key is revoked in it. A VM that cannot tell refuses all keys: an
/// unknown one may have been added, a known one may have been revoked.
key_decision
check_key(const desired_state& state, const route_rule& route,
    std::string_view key, bool is_current);

} // namespace bramleymux
