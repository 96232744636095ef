#pragma once

#include "version_evidence.hpp"

#include <bramleymux/types.hpp>

#include <array>

/// Sequential tests of a new version against the old one (Wald 1945), started
/// again at regular times (Page 1954).
namespace bramleymux
{

/// Bound of the new version's rate of bad replies for an old rate p:
/// factor * p + margin.
struct rate_bound
{
    double factor;
    double margin;
};

struct bad_counts
{
    double replies = 0;
    double bad = 0;
};

/// Log-likelihood ratio of "the new rate is above its bound" to "it is not",
/// each at the rates most likely under it. 0 when the new rate is not above.
double
excess_evidence(const bad_counts& new_version, const bad_counts& old,
    const rate_bound& bound);

/// The reverse: evidence that the new rate is below the bound.
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

/// Weighted replies of the old version.
struct matched_counts
{
    double replies = 0.0;
    double errors = 0.0;
    double slow = 0.0;
};

/// Replies of the new version on one route, and those of the old one that were
/// given at the same times.
struct route_counts
{
    evidence_cell new_version;
    matched_counts old;
};

/// Adds one short period. The old replies get such a weight that they number
/// at most `config::controls_per_reply` times the new ones. Without this, a
/// burst of overload that by chance meets more of the new replies of a window
/// than of the old would look like a fault of the new version.
void
add_period(route_counts& counts, const evidence_cell& new_version,
    const evidence_counts& old);

route_counts&
operator+=(route_counts& a, const route_counts& b);

route_counts
operator-(const route_counts& a, const route_counts& b);

/// Start points of the test. Level k restarts every L_k, and its window covers
/// L_k to 2 L_k, so that a long good history does not dilute a late fault.
struct test_windows
{
    static constexpr std::size_t levels = 5;
    struct level
    {
        route_counts current;
        route_counts previous;
        monotonic_time rotated;
        monotonic_time previous_at;
    };
    std::array<level, levels> by_level;
    route_counts test_start; ///< when the windows were last started
    route_counts step_start; ///< when the present step began
};

/// Starts all windows. Needed whenever the share changes: in a window over two
/// shares, an overload that falls into the larger one would weigh more on the
/// new version than on the old.
void
start_windows(test_windows& w, const route_counts& counts, monotonic_time now);

void
rotate_windows(test_windows& w, const route_counts& counts, monotonic_time now);

/// Tests one window.
fault_kind
test_counts(const route_counts& window);

/// Tests all windows that end now.
fault_kind
test_windows_at(const test_windows& w, const route_counts& counts);

/// Whether the counts show that the new version is free of serious faults.
bool
is_clear(const route_counts& window, double needed);

} // namespace bramleymux
