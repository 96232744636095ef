#pragma once

#include "oracle.hpp"

#include <string>
#include <vector>

namespace bramleymux::soak
{

/// Record of the faults applied, printed around a request that ended wrongly.
class journal
{
public:
    explicit journal(monotonic_time start);

    /// Records an event; `vm` is empty if it concerns all.
    void
    note(const std::string& vm, const std::string& text);

    /// Returns the time since the start, as "12.345".
    std::string
    seconds(monotonic_time at) const;

    /// Returns the events from shortly before to shortly after a span, one a
    /// line.
    std::string
    around(const interval& span) const;

private:
    struct entry
    {
        monotonic_time at;
        std::string text;
    };

    monotonic_time start_;
    std::vector<entry> entries_;
};

} // namespace bramleymux::soak
