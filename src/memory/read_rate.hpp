#pragma once

#include "config/memory.hpp"

#include <bramleymux/types.hpp>

#include <cstddef>

/// Least rate at which a caller must read its answer, measured over spans.
namespace bramleymux
{

struct read_rate_limit
{
    double bytes_per_second = config::default_min_read_rate;
    duration span = config::default_read_span;
};

/// Progress of one answer.
struct read_progress
{
    monotonic_time span_started_at{};
    std::size_t delivered_at_start = 0; ///< of the span, bytes
    std::size_t left_at_start = 0;      ///< bytes not delivered then
};

/// Begins a span with `delivered` bytes delivered and `left` bytes to deliver.
read_progress
begin_span(monotonic_time now, std::size_t delivered, std::size_t left);

/// Returns whether the caller read less in a whole span than the rate requires
/// and than there was to read. Begins a new span at the end of one. A caller
/// that has taken all bytes `in_transit` is not too slow: this process may not
/// have run and handed out more.
bool
reads_too_slowly(read_progress& progress, const read_rate_limit& limit,
    monotonic_time now, std::size_t delivered, std::size_t in_transit,
    std::size_t left);

} // namespace bramleymux
