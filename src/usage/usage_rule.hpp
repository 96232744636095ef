#pragma once

#include <bramleymux/types.hpp>

#include <cstdint>

/// What a request adds to the usage of its workspace. This is the only place
/// that decides it.
namespace bramleymux
{

enum class usage_rule
{
    each_request, ///< once, however many sends it makes
    each_run,     ///< every send that may have run, also those of a delegate
    count
};

enum class send_stage
{
    written, ///< passed to the network; it runs unless the target denies it
    not_run, ///< ended with proof that the target ran nothing
    count
};

/// State of one request.
struct request_usage
{
    std::uint32_t possible_runs = 0; ///< sends that run or may have run
    duration counted_at{};           ///< true time
};

/// Change of a workspace's count in the window that contains `at`.
struct usage_change
{
    std::int64_t runs = 0;
    duration at{}; ///< true time
};

/// Returns the change of the count when `sends` sends of a request reach a
/// stage. `at` is the true time at which they were written, for both stages. A
/// send counts while it is in progress: its target runs it, and the reply may
/// never come.
usage_change
count_sends(usage_rule rule, request_usage& request, send_stage stage,
    std::uint32_t sends, duration at);

} // namespace bramleymux
