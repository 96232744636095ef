#pragma once

#include "admission_gate.hpp"
#include "blackboard.hpp"
#include "metrics.hpp"
#include "target_executor.hpp"

#include <mutex>

/// Puts new versions of the operators' table into force on this VM.
namespace bramleymux
{

/// Thread-safe.
class table_controller
{
public:
    table_controller(blackboard& board, target_executor& executor,
        admission_gate& gate, metrics& counters);

    /// Parses, validates and publishes a table that is newer than the one in
    /// force. Returns false, and changes nothing, if it is not newer or has
    /// findings; these are logged.
    bool
    apply_table(const nlohmann::json& value, std::uint64_t version);

    /// Returns the version in force on this VM, or 0 if there is none yet.
    std::uint64_t
    version() const;

    /// Returns the handle registered for a target's name.
    target_handle
    find_target_handle(const std::string& name) const;

private:
    blackboard& board_;
    target_executor& executor_;
    admission_gate& gate_;
    metrics& metrics_;
    mutable std::mutex mutex_;
    name_registries names_;
    std::uint64_t version_ = 0;
};

} // namespace bramleymux
