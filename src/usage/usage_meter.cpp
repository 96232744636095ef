#include "usage/usage_meter.hpp"

#include "process_pause.hpp"

namespace bramleymux
{

usage_meter::usage_meter(duration window, usage_rule rule)
    : rule_(rule),
      clock_(start_clock(
          std::chrono::system_clock::now().time_since_epoch(), boot_time()))
{
    counts_.length = window;
    counts();
}

duration
usage_meter::now() const
{
    return true_time(clock_, boot_time());
}

void
usage_meter::record(const std::string& workspace, request_usage& request,
    send_stage stage, std::uint32_t sends, duration written_at)
{
    if (counts_.length > duration::zero() && !workspace.empty())
    {
        add_usage(counts_, workspace,
            count_sends(rule_, request, stage, sends, written_at), now());
    }
}

std::optional<duration>
usage_meter::correct(
    const clock_median& median, duration sent, duration received)
{
    const auto correction = correct_clock(clock_, median, sent, received);
    if (correction && counts_.length > duration::zero())
    {
        mark_clock_corrected(counts_, now());
    }
    return correction;
}

const usage_counts&
usage_meter::counts()
{
    if (counts_.length > duration::zero())
    {
        advance_windows(counts_, now());
    }
    return counts_;
}

} // namespace bramleymux
