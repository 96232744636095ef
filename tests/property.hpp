#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>

namespace bramleymux::test
{

/// Checks a RapidCheck property with a fixed seed; prints a counterexample,
/// with `shrink` a small one.
template <class Property>
bool
holds(std::uint64_t seed, int runs, Property property, bool shrink = false)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    params.disableShrinking = !shrink;
    const auto result =
        rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    if (!result.template is<rc::detail::SuccessResult>())
    {
        rc::detail::printResultMessage(result, std::cerr);
    }
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace bramleymux::test
