#pragma once

#include <istream>
#include <ostream>
#include <string>

/// One request's lines of the decision logs of several VMs, in order.
namespace bramleymux::tools
{

/// Prints the lines of the request by time, and returns their number. Text in
/// front of the JSON object of a line, and lines without one, are skipped.
std::size_t
print_request_story(
    std::istream& log, const std::string& request_id, std::ostream& out);

} // namespace bramleymux::tools
