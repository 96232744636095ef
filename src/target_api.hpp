#pragma once

#include "catalog.hpp"
#include "sub_request.hpp"
#include "target_report.hpp"

#include <optional>
#include <string>

/// Interface through which the executor of an owner calls its targets. Calls
/// block; implementations must be thread-safe.
namespace bramleymux
{

class target_api
{
public:
    virtual ~target_api() = default;

    /// Runs the request on the target and returns its reply. Failures, such as
    /// a passed deadline, are reported in the reply. `wire_request_id`
    /// identifies the request to the target and must be unique to this send.
    virtual sub_reply
    execute(const sub_request& request, const catalog_target& target,
        monotonic_time deadline, const std::string& wire_request_id) = 0;

    /// Asks the target to stop a running request. Best effort.
    virtual void
    cancel(
        const catalog_target& target, const std::string& wire_request_id) = 0;

    /// Polls the target. Returns nullopt if it does not answer or its answer is
    /// invalid.
    virtual std::optional<target_report>
    status(const catalog_target& target) = 0;
};

} // namespace bramleymux
