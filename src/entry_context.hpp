#pragma once

#include "gather_delegates.hpp"
#include "route_stats.hpp"
#include "target_pool.hpp"
#include "usage/usage_meter.hpp"

#include <random>
#include <string>
#include <unordered_map>

/// Components of an entry VM that its queries share.
namespace bramleymux
{

/// References only: the components outlive every query. All of them run on
/// `loop`, so nothing is locked.
struct entry_context
{
    boost::asio::io_context& loop;
    target_pool& pool;
    gather_delegates& delegates;
    const entry_wire& wire;
    metrics& counters;
    decision_log& log;
    std::unordered_map<std::string, route_stats>& routes; ///< by route name
    std::mt19937_64& random;
    usage_meter* usage = nullptr; ///< null: nothing is counted
};

} // namespace bramleymux
