#pragma once

#include "http_codec.hpp"
#include "problem.hpp"

#include <random>
#include <string_view>

/// Refusals and failures of an entry VM.
namespace bramleymux
{

/// A refusal or failure of this VM, as a problem document. A refusal that ran
/// nothing names a time for the retry.
http_reply
make_entry_problem(problem_code code, run_state run, std::string_view detail,
    std::mt19937_64& random);

} // namespace bramleymux
