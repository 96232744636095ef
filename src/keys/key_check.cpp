#include "keys/key_check.hpp"

namespace bramleymux
{

key_decision
check_key(const desired_state& state, const route_rule& route,
    std::string_view key, bool is_current)
{
    if (!state.workspaces)
    {
        return {};
    }
    const workspace* owner =
        is_current ? find_workspace(*state.workspaces, key) : nullptr;
    if (route.is_public)
    {
        return {key_verdict::allowed, owner};
    }
    if (!is_current)
    {
        return {key_verdict::not_current, nullptr};
    }
    return {owner == nullptr ? key_verdict::unknown_key : key_verdict::allowed,
        owner};
}

} // namespace bramleymux
