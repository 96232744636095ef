#pragma once

#include "version_evidence.hpp"

#include <bramleymux/types.hpp>

#include <array>

/// Sequential likelihood ratio tests (Wald 1945) of a new version against the
/// old one, restarted at regular intervals (Page 1954).
namespace bramleymux
{

/// Highest accepted rate of bad replies of the new version, given the old
/// version's rate p: factor * p + margin.
struct rate_bound
{
    double factor;
    double margin;
};

/// Replies and bad replies (errors or slow ones) of one version.
struct bad_counts
{
    double replies = 0;
    double bad = 0;
};

/// Returns the log-likelihood ratio of "the new rate is above its bound" to "it
/// is not", each with the maximum-likelihood rates. Returns 0 if the new rate
/// is not above its bound or there are no old replies.
double
excess_evidence(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound);

/// Returns the log-likelihood ratio of "the new rate is below its bound" to "it
/// is not". Returns 0 if it is not below or there are no new replies.
double
clear_evidence(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound);

enum class fault_kind
{
    none,
    errors,
    slow,
    count
};

inline constexpr name_table<fault_kind> fault_kind_names{
    "none", "errors", "slow replies"};

/// Weighted reply counts of the old version; see add_period.
struct matched_counts
{
    double replies = 0.0;
    double errors = 0.0;
    double slow = 0.0;
};

/// Replies of the new version on one route, and those of the old version from
/// the same periods.
struct route_counts
{
    evidence_cell new_version;
    matched_counts old;
};

/// Adds the counts of one short period. Old replies are weighted down to at
/// most `config::old_replies_per_new_reply` times the new ones. Without the
/// weight, a burst of overload that happens to hit a larger fraction of a
/// window's new replies than of its old ones would look like a fault of the new
/// version.
void
add_period(route_counts& counts, const evidence_cell& new_version,
    const evidence_counts& old);

route_counts&
operator+=(route_counts& a, const route_counts& b);

route_counts
operator-(const route_counts& a, const route_counts& b);

/// Start points of the tests. Level k restarts every L_k, where
/// L_k = shortest_test_window * test_window_ratio^k, and its window covers the
/// last L_k to 2 L_k, so that a long fault-free history does not dilute a late
/// fault.
struct test_windows
{
    static constexpr std::size_t levels = 5;
    struct level
    {
        route_counts current;  ///< totals at the last restart
        route_counts previous; ///< totals at the one before; window start
        monotonic_time rotated;
        monotonic_time previous_at;
    };
    std::array<level, levels> by_level;
    route_counts test_start; ///< totals when the windows were last started
    route_counts step_start; ///< totals when the present step began
};

/// Starts all windows at `counts`. Required whenever the share changes: in a
/// window that spans two shares, an overload during the larger one would affect
/// proportionally more of the new version's replies than of the old one's.
void
start_windows(test_windows& w, const route_counts& counts, monotonic_time now);

/// Restarts the levels whose length L_k has elapsed since their last restart.
void
rotate_windows(test_windows& w, const route_counts& counts, monotonic_time now);

/// Tests one window, for errors first.
fault_kind
test_counts(const route_counts& window);

/// Tests the window of each level and the one since `test_start`, all ending at
/// `counts`.
fault_kind
test_windows_at(const test_windows& w, const route_counts& counts);

/// Returns whether the evidence that the new version has no serious fault is at
/// least `needed`, a log-likelihood ratio.
bool
is_clear(const route_counts& window, double needed);

} // namespace bramleymux
