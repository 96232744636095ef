#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>

namespace bramleymux::test
{

/// Returns true if a RapidCheck property holds in `runs` random cases drawn
/// from `seed`. Otherwise prints a counterexample, which is minimized first if
/// `shrink` is set.
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
