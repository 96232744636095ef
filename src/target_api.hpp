#pragma once

#include "catalog.hpp"
#include "sub_request.hpp"
#include "target_report.hpp"

#include <optional>
#include <string>

/// Targets as the owner's executor sees them. Calls block and may come from
/// several threads.
namespace bramleymux
{

class target_api
{
public:
    virtual ~target_api() = default;

    virtual sub_reply
    execute(const sub_request& request, const catalog_target& target,
        monotonic_time deadline, const std::string& wire_request_id) = 0;

    /// Best effort.
    virtual void
    cancel(
        const catalog_target& target, const std::string& wire_request_id) = 0;

    /// No value when the target did not answer or its answer is unusable.
    virtual std::optional<target_report>
    status(const catalog_target& target) = 0;
};

} // namespace bramleymux
