#pragma once

#include "target_standin/target.hpp"

/// The simulated targets of one process and the control API that scripts their
/// faults.
namespace bramleymux::tools
{

class fleet
{
public:
    /// Throws nlohmann::json::exception or std::logic_error if the config is
    /// malformed, or std::runtime_error if a target names an unknown service.
    explicit fleet(const nlohmann::json& config);
    fleet(const fleet&) = delete;
    fleet&
    operator=(const fleet&) = delete;
    ~fleet();

    /// Opens the ports of all targets that are not "stopped" in the config.
    /// Throws std::runtime_error if a port cannot be opened.
    void
    start();

    /// Handles a request to the control API.
    server_response
    control(const server_request& request);

    std::size_t
    size() const
    {
        return targets_.size();
    }

private:
    /// Applies a command to a service or to all targets that match it. Throws
    /// if nothing matches or the command is invalid.
    void
    apply(const nlohmann::json& command);
    void
    apply_to_target(target& t, const nlohmann::json& command);
    nlohmann::json
    stats(bool with_keys) const;

    std::map<std::string, std::shared_ptr<service_data>> services_;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<bool> stopped_; ///< by target: left closed by start()
};

} // namespace bramleymux::tools
