#include "oracle.hpp"

#include <algorithm>

namespace bramleymux::soak
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

// A close that takes longer did not cross the request on its way: the VM had
// time to read it.
constexpr auto longest_crossing = std::chrono::milliseconds(100);

/// Returns whether the status promises that the request never runs.
bool
is_refusal(int status)
{
    return status == status_unavailable || status == status_too_many ||
           status == status_timeout || status == status_misdirected ||
           status == status_unauthorized;
}

std::string
judge_answer(const attempt& a, const evidence& known)
{
    if (is_refusal(a.status) && known.runs > 0)
    {
        return "refused with " + std::to_string(a.status) +
               ", but a target saw the request";
    }
    if (a.status == status_ok && !a.own_body)
    {
        return "the answer is not the one to this request";
    }
    if (a.status == status_ok && known.runs == 0)
    {
        return "answered, but no target saw the request";
    }
    if (a.status == status_unauthorized && a.key == 0)
    {
        return "401 with a key of every desired state";
    }
    if (a.status == status_not_found && a.permanent_route)
    {
        return "404 on a route of every desired state";
    }
    return {};
}

verdict
judge_close(const attempt& a, const evidence& known)
{
    if (known.runs > 0)
    {
        return {false, "closed without an answer after a target saw it"};
    }
    if (!a.reset)
    {
        return {false, "closed without an answer after the VM read it"};
    }
    if (a.ended_at - a.sent_at - known.stalled > longest_crossing)
    {
        return {false, "closed unread, but too late to have crossed it"};
    }
    return {true, {}};
}

} // namespace

duration
covered_time(std::vector<interval> intervals, const interval& span)
{
    std::sort(intervals.begin(), intervals.end(),
        [](const interval& a, const interval& b) { return a.from < b.from; });
    duration out{};
    monotonic_time counted_to = span.from;
    for (const interval& i : intervals)
    {
        const monotonic_time from = std::max(i.from, counted_to);
        const monotonic_time to = std::min(i.to, span.to);
        if (to > from)
        {
            out += to - from;
            counted_to = to;
        }
    }
    return out;
}

verdict
judge(const attempt& a, const evidence& known)
{
    if (!a.idempotent && known.runs > 1)
    {
        return {false, "a non-idempotent request ran more than once"};
    }
    const bool key_expired =
        known.key_revoked_at != monotonic_time::max() &&
        a.sent_at > known.key_revoked_at + revocation_bound;
    if (key_expired && known.runs > 0)
    {
        return {false, "ran with a key that had been revoked"};
    }
    if (known.reached_left_target)
    {
        return {false, "sent to a target that had left"};
    }
    if (a.end == attempt_end::answered)
    {
        return {false, judge_answer(a, known)};
    }
    if (a.end == attempt_end::extra_bytes)
    {
        return {false, "bytes after a complete answer"};
    }
    if (a.end == attempt_end::malformed)
    {
        return {false, "the answer is not HTTP"};
    }
    if (known.vm_killed)
    {
        return {};
    }
    if (a.end == attempt_end::closed)
    {
        return judge_close(a, known);
    }
    return {false, a.end == attempt_end::closed_in_answer
                       ? "closed within an answer"
                       : "neither an answer nor a close"};
}

} // namespace bramleymux::soak
