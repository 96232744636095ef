#pragma once

#include <bramleymux/types.hpp>

#include <boost/outcome/result.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

/// Interface to the platform's object API: versioned JSON objects and the list
/// of VMs.
namespace bramleymux
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

enum class platform_errc
{
    ok,
    unavailable, ///< no effect: refused or never sent
    reply_lost,  ///< may have taken effect
    conflict,    ///< the expected version did not match
    not_found,
    rate_limited,
    too_large,
    bad_reply,
    count
};

inline constexpr name_table<platform_errc> platform_errc_names{"ok",
    "unavailable", "reply_lost", "conflict", "not_found", "rate_limited",
    "too_large", "bad_reply"};

struct object
{
    std::string key;
    std::uint64_t version = 0;
    nlohmann::json value;
};

enum class vm_list_state
{
    live,
    leaving,
    count
};

inline constexpr name_table<vm_list_state> vm_list_state_names{
    "live", "leaving"};

struct vm_list_entry
{
    std::string id;
    std::string zone;
    std::string peer_address; ///< IP:port
    vm_list_state state = vm_list_state::live;
};

template <class T>
using platform_result =
    outcome::basic_result<T, platform_errc, outcome::policy::all_narrow>;

/// Blocking calls. Each is bounded by `config::platform_timeout`, and `watch`
/// by its own timeout in addition.
class platform_api
{
public:
    virtual ~platform_api() = default;

    virtual platform_result<object>
    get(const std::string& key) = 0;

    /// Creates the object if `expected` is 0, else replaces that version of it.
    /// Returns the new version.
    virtual platform_result<std::uint64_t>
    put(const std::string& key, const nlohmann::json& value,
        std::uint64_t expected) = 0;

    virtual platform_result<void>
    remove(const std::string& key, std::uint64_t expected) = 0;

    virtual platform_result<std::vector<object>>
    list(const std::string& prefix) = 0;

    /// Waits for a version above `after`. Returns nullopt on timeout.
    virtual platform_result<std::optional<object>>
    watch(const std::string& key, std::uint64_t after, duration timeout) = 0;

    virtual platform_result<std::vector<vm_list_entry>>
    vms() = 0;
};

} // namespace bramleymux
