#pragma once

#include "target_standin/target.hpp"

/// All targets of one process and the control that scripts them.
namespace bramleymux::tools
{

class fleet
{
public:
    /// Throws nlohmann::json::exception or std::runtime_error.
    explicit fleet(const nlohmann::json& config);
    fleet(const fleet&) = delete;
    fleet&
    operator=(const fleet&) = delete;
    ~fleet();

    /// Opens the ports of all targets that are not "stopped" in the config.
    void
    start();

    server_response
    control(const server_request& request);

    std::size_t
    size() const
    {
        return targets_.size();
    }

private:
    void
    apply(const nlohmann::json& command);
    void
    apply_to_target(target& t, const nlohmann::json& command);
    nlohmann::json
    stats(bool with_keys) const;

    std::map<std::string, std::shared_ptr<service_data>> services_;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<bool> stopped_;
};

} // namespace bramleymux::tools
