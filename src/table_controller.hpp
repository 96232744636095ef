#pragma once

#include "admission_gate.hpp"
#include "blackboard.hpp"
#include "metrics.hpp"
#include "target_executor.hpp"

#include <mutex>

/// Applies table versions to the blackboard.
namespace bramleymux
{

class table_controller
{
public:
    table_controller(blackboard& board, target_executor& executor,
        admission_gate& gate, metrics& counters);

    /// Parses, checks and publishes a table that is newer than the present
    /// one. False when it is older or has findings.
    bool
    apply_table(const nlohmann::json& value, std::uint64_t version);

    /// Version in force at this VM; 0 without a table.
    std::uint64_t
    version() const;

    target_handle
    find_target_name(const std::string& name) const;

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
