#pragma once

#include "http_codec.hpp"
#include "problem.hpp"

#include <random>
#include <string_view>

/// Error replies of an entry VM.
namespace bramleymux
{

/// Returns a problem document (RFC 9457). A 503 for a request that ran nowhere
/// has a `Retry-After` field of at least `retry_after`, with a random part that
/// spreads the retries.
http_reply
make_entry_problem(problem_code code, run_state run, std::string_view detail,
    std::mt19937_64& random, duration retry_after = duration::zero());

} // namespace bramleymux
