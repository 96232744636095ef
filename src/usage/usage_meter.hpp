#pragma once

#include "usage/true_clock.hpp"
#include "usage/usage_counts.hpp"

/// Counts and clock of this VM. Queries record their sends here.
namespace bramleymux
{

class usage_meter
{
public:
    /// `window` is the length of a window; zero counts nothing.
    explicit usage_meter(
        duration window, usage_rule rule = usage_rule::each_request);

    /// Returns the true time of day.
    duration
    now() const;

    /// Records a stage of `sends` sends, which were written at `written_at`
    /// (true time). Does nothing for a request without a workspace.
    void
    record(const std::string& workspace, request_usage& request,
        send_stage stage, std::uint32_t sends, duration written_at);

    /// Sets the clock to a median, see `correct_clock`.
    std::optional<duration>
    correct(const clock_median& median, duration sent, duration received);

    /// Returns the counts as of now; without windows if nothing is counted.
    const usage_counts&
    counts();

private:
    usage_rule rule_;
    true_clock clock_;
    usage_counts counts_;
};

} // namespace bramleymux
