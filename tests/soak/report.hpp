#pragma once

#include "journal.hpp"
#include "schedule.hpp"

#include <array>
#include <map>
#include <string>

namespace bramleymux::soak
{

/// Counts of a run, and the requests and processes that ended wrongly.
class report
{
public:
    explicit report(const journal& events);

    /// Counts a request; prints it if its end is not allowed.
    void
    add(const attempt& a, const evidence& known, const verdict& judged,
        const std::string& vm);

    /// Counts and prints a fault of a process.
    void
    add_fault(const std::string& text);

    /// Counts a planned fault.
    void
    count_fault(fault_kind kind, bool applied);

    void
    print_summary(std::uint64_t seed) const;

    std::size_t
    faults_found() const
    {
        return found_;
    }

    std::size_t
    requests() const
    {
        return requests_;
    }

private:
    struct fault_count
    {
        std::size_t applied = 0;
        std::size_t skipped = 0;
    };

    const journal& journal_;
    std::size_t requests_ = 0;
    std::size_t reused_ = 0;
    std::size_t crossed_ = 0;
    std::size_t killed_ = 0;
    std::size_t found_ = 0;
    std::map<int, std::size_t> statuses_;
    std::array<fault_count, static_cast<std::size_t>(fault_kind::count)>
        faults_{};
};

} // namespace bramleymux::soak
