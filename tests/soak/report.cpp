#include "report.hpp"

#include <iostream>

namespace bramleymux::soak
{

namespace
{

constexpr const char* end_names[] = {"answered", "closed", "closed in answer",
    "malformed answer", "extra bytes", "no answer"};

double
in_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

report::report(const journal& events) : journal_(events) {}

void
report::add(const attempt& a, const evidence& known, const verdict& judged,
    const std::string& vm)
{
    ++requests_;
    reused_ += a.reused_connection ? 1 : 0;
    crossed_ += judged.crossed_close ? 1 : 0;
    if (a.end == attempt_end::answered)
    {
        ++statuses_[a.status];
    }
    else if (known.vm_killed && judged.fault.empty())
    {
        ++killed_;
    }
    if (judged.fault.empty())
    {
        return;
    }
    ++found_;
    std::cout << "FAULT " << journal_.seconds(a.sent_at) << " " << vm
              << " caller " << a.caller << " request " << a.id << " ("
              << (a.idempotent ? "GET" : "POST") << ", "
              << (a.reused_connection ? "reused" : "new")
              << " connection): " << judged.fault
              << "\n  seen: " << end_names[static_cast<std::size_t>(a.end)]
              << " after " << in_milliseconds(a.ended_at - a.sent_at)
              << " ms, of which " << in_milliseconds(known.stalled)
              << " ms stalled; status " << a.status << ", reset " << a.reset
              << ", own body " << a.own_body << ", runs " << known.runs << "\n"
              << journal_.around({a.sent_at, a.ended_at}) << std::flush;
}

void
report::add_fault(const std::string& text)
{
    ++found_;
    std::cout << "FAULT " << text << "\n" << std::flush;
}

void
report::count_fault(fault_kind kind, bool applied)
{
    fault_count& count = faults_[static_cast<std::size_t>(kind)];
    ++(applied ? count.applied : count.skipped);
}

void
report::print_summary(std::uint64_t seed) const
{
    std::cout << "seed " << seed << "\nrequests " << requests_ << ", "
              << reused_ << " on reused connections\nanswers";
    for (const auto& [status, count] : statuses_)
    {
        std::cout << " " << status << ": " << count;
    }
    std::cout << "\ncloses that crossed a request " << crossed_
              << "\nrequests cut by SIGKILL " << killed_
              << "\nfaults applied (skipped)";
    for (std::size_t i = 0; i < faults_.size(); ++i)
    {
        std::cout << " " << fault_names[i] << ": " << faults_[i].applied << " ("
                  << faults_[i].skipped << ")";
    }
    std::cout << "\nfailures found " << found_ << "\n";
}

} // namespace bramleymux::soak
