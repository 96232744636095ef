#include "journal.hpp"

#include <cstdio>

namespace bramleymux::soak
{

namespace
{

constexpr auto margin_before = std::chrono::seconds(4);
constexpr auto margin_after = std::chrono::milliseconds(300);

} // namespace

journal::journal(monotonic_time start) : start_(start) {}

void
journal::note(const std::string& vm, const std::string& text)
{
    entries_.push_back(
        {monotonic_clock::now(), (vm.empty() ? "all" : vm) + " " + text});
}

std::string
journal::seconds(monotonic_time at) const
{
    char text[32];
    std::snprintf(text, sizeof text, "%.4f",
        std::chrono::duration<double>(at - start_).count());
    return text;
}

std::string
journal::around(const interval& span) const
{
    std::string out;
    for (const entry& e : entries_)
    {
        if (e.at >= span.from - margin_before && e.at <= span.to + margin_after)
        {
            out += "    " + seconds(e.at) + " " + e.text + "\n";
        }
    }
    return out;
}

} // namespace bramleymux::soak
