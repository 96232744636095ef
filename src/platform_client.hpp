#pragma once

#include "http_client.hpp"
#include "platform.hpp"

/// HTTP client of the platform's object API.
namespace bramleymux
{

class platform_client : public platform_api
{
public:
    explicit platform_client(const http_address& address);

    platform_result<object>
    get(const std::string& key) override;

    platform_result<std::uint64_t>
    put(const std::string& key, const nlohmann::json& value,
        std::uint64_t expected) override;

    platform_result<void>
    remove(const std::string& key, std::uint64_t expected) override;

    platform_result<std::vector<object>>
    list(const std::string& prefix) override;

    platform_result<std::optional<object>>
    watch(
        const std::string& key, std::uint64_t after, duration timeout) override;

    platform_result<std::vector<vm_list_entry>>
    vms() override;

private:
    connection_pool calls_;
    /// Separate from `calls_`, since a watch occupies its connection while it
    /// waits.
    connection_pool watches_;
};

} // namespace bramleymux
