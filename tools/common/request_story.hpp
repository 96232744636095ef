#pragma once

#include <istream>
#include <ostream>
#include <string>

/// Extracts the log lines of one request from the decision logs of several VMs.
namespace bramleymux::tools
{

/// Prints the log lines of the request ordered by time and returns their
/// number. Ignores text in front of the JSON object of a line and lines without
/// a valid JSON object.
std::size_t
print_request_story(
    std::istream& log, const std::string& request_id, std::ostream& out);

} // namespace bramleymux::tools
