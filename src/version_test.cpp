#include "version_test.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>

namespace bramleymux
{

namespace
{

constexpr rate_bound error_bound{
    config::error_bound_factor, config::error_bound_margin};
constexpr rate_bound slow_bound{
    config::slow_bound_factor, config::slow_bound_margin};
constexpr rate_bound serious_error_bound{
    config::serious_bound_factor, config::serious_error_margin};
constexpr rate_bound serious_slow_bound{
    config::serious_bound_factor, config::serious_slow_margin};

/// Returns x ln(p), with 0 ln(0) = 0.
double
weighted_log(double x, double p)
{
    return x > 0.0 ? x * std::log(std::max(p, 1e-12)) : 0.0;
}

double
log_likelihood(const bad_counts& c, double p)
{
    return weighted_log(c.bad, p) + weighted_log(c.replies - c.bad, 1.0 - p);
}

double
rate(const bad_counts& c)
{
    return c.replies > 0.0 ? c.bad / c.replies : 0.0;
}

double
bound_of(const rate_bound& bound, double p)
{
    return std::min(bound.factor * p + bound.margin, 1.0);
}

/// Returns the maximum log-likelihood of both counts with the new rate at its
/// bound. It is concave in the old rate, so ternary search finds the maximum.
double
boundary_likelihood(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound)
{
    const auto at = [&](double p)
    {
        return log_likelihood(new_version, bound_of(bound, p)) +
               log_likelihood(old, p);
    };
    double low = 0.0;
    double high = std::max((1.0 - bound.margin) / bound.factor, 0.0);
    for (int i = 0; i < 40; ++i)
    {
        const double a = low + (high - low) / 3.0;
        const double b = high - (high - low) / 3.0;
        if (at(a) < at(b))
        {
            low = a;
        }
        else
        {
            high = b;
        }
    }
    return at((low + high) / 2.0);
}

/// Returns the log-likelihood ratio of unconstrained rates to rates with the
/// new one at its bound.
double
evidence_against_bound(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound)
{
    const double free = log_likelihood(new_version, rate(new_version)) +
                        log_likelihood(old, rate(old));
    return std::max(free - boundary_likelihood(new_version, old, bound), 0.0);
}

bad_counts
select(const matched_counts& c, fault_kind kind)
{
    return {c.replies, kind == fault_kind::errors ? c.errors : c.slow};
}

bad_counts
select(const evidence_counts& c, fault_kind kind)
{
    return {static_cast<double>(c.replies),
        static_cast<double>(kind == fault_kind::errors ? c.errors : c.slow)};
}

/// Returns the counts without the target group that has the most bad replies.
/// Sets `others` to the number of remaining groups with replies.
bad_counts
without_worst_group(
    const evidence_cell& cell, fault_kind kind, std::size_t& others)
{
    bad_counts total;
    bad_counts worst;
    others = 0;
    for (const evidence_counts& group : cell)
    {
        const bad_counts c = select(group, kind);
        total.replies += c.replies;
        total.bad += c.bad;
        others += c.replies > 0.0 ? 1 : 0;
        if (c.bad > worst.bad)
        {
            worst = c;
        }
    }
    others -= worst.replies > 0.0 ? 1 : 0;
    return {total.replies - worst.replies, total.bad - worst.bad};
}

/// Returns whether the new version's rate is above its bound. The remaining
/// target groups, if any, must confirm it without the worst one, because one
/// faulty target does not make the version faulty.
bool
is_faulty(const route_counts& window, fault_kind kind, const rate_bound& bound)
{
    const bad_counts new_counts = select(sum(window.new_version), kind);
    const bad_counts old = select(window.old, kind);
    if (new_counts.bad < config::min_bad_replies ||
        excess_evidence(new_counts, old, bound) < config::withdraw_evidence)
    {
        return false;
    }
    std::size_t others = 0;
    const bad_counts rest =
        without_worst_group(window.new_version, kind, others);
    return others == 0 ||
           excess_evidence(rest, old, bound) >= config::spread_evidence;
}

} // namespace

double
excess_evidence(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound)
{
    if (rate(new_version) <= bound_of(bound, rate(old)) || old.replies == 0.0)
    {
        return 0.0;
    }
    return evidence_against_bound(new_version, old, bound);
}

double
clear_evidence(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound)
{
    if (rate(new_version) >= bound_of(bound, rate(old)) ||
        new_version.replies == 0.0)
    {
        return 0.0;
    }
    return evidence_against_bound(new_version, old, bound);
}

void
add_period(route_counts& counts, const evidence_cell& new_version,
    const evidence_counts& old)
{
    const auto new_replies = static_cast<double>(sum(new_version).replies);
    const auto old_replies = static_cast<double>(old.replies);
    const double weight =
        std::min(1.0, config::old_replies_per_new_reply * new_replies /
                          std::max(old_replies, 1.0));
    const matched_counts matched{old_replies * weight,
        static_cast<double>(old.errors) * weight,
        static_cast<double>(old.slow) * weight};
    counts += {new_version, matched};
}

route_counts&
operator+=(route_counts& a, const route_counts& b)
{
    for (std::size_t g = 0; g < evidence_groups; ++g)
    {
        a.new_version[g] += b.new_version[g];
    }
    a.old.replies += b.old.replies;
    a.old.errors += b.old.errors;
    a.old.slow += b.old.slow;
    return a;
}

route_counts
operator-(const route_counts& a, const route_counts& b)
{
    // Rounding may make the difference of two sums slightly negative.
    return {a.new_version - b.new_version,
        {std::max(a.old.replies - b.old.replies, 0.0),
            std::max(a.old.errors - b.old.errors, 0.0),
            std::max(a.old.slow - b.old.slow, 0.0)}};
}

void
start_windows(test_windows& w, const route_counts& counts, monotonic_time now)
{
    for (test_windows::level& level : w.by_level)
    {
        level = {counts, counts, now, now};
    }
    w.test_start = counts;
}

void
rotate_windows(test_windows& w, const route_counts& counts, monotonic_time now)
{
    duration length = config::shortest_test_window;
    for (test_windows::level& level : w.by_level)
    {
        if (now - level.rotated >= length)
        {
            level = {counts, level.current, now, level.rotated};
        }
        length *= config::test_window_ratio;
    }
}

fault_kind
test_counts(const route_counts& window)
{
    if (is_faulty(window, fault_kind::errors, error_bound))
    {
        return fault_kind::errors;
    }
    return is_faulty(window, fault_kind::slow, slow_bound) ? fault_kind::slow
                                                           : fault_kind::none;
}

fault_kind
test_windows_at(const test_windows& w, const route_counts& counts)
{
    for (const test_windows::level& level : w.by_level)
    {
        const fault_kind found = test_counts(counts - level.previous);
        if (found != fault_kind::none)
        {
            return found;
        }
    }
    return test_counts(counts - w.test_start);
}

bool
is_clear(const route_counts& window, double needed)
{
    const evidence_counts new_counts = sum(window.new_version);
    for (const auto& [kind, bound] :
        {std::make_pair(fault_kind::errors, serious_error_bound),
            std::make_pair(fault_kind::slow, serious_slow_bound)})
    {
        if (clear_evidence(select(new_counts, kind), select(window.old, kind),
                bound) < needed)
        {
            return false;
        }
    }
    return true;
}

} // namespace bramleymux
