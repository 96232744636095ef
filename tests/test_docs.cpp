#include "log_events.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

using namespace bramleymux;

namespace
{

std::string
read_file(const std::string& path)
{
    std::ifstream in(std::string(SOURCE_DIR) + "/" + path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string
level_name(event_level level)
{
    static const char* const names[] = {"info", "warning", "error"};
    return names[static_cast<std::size_t>(level)];
}

} // namespace

// Guards against events that are missing in docs/events.md or differ from it,
// which operators could not look up, and against numbers used twice.
TEST_CASE("docs/events.md lists every event as the code has it", "[docs]")
{
    const std::string page = read_file("docs/events.md");
    std::set<int> numbers;
    for (std::size_t i = 0; i < static_cast<std::size_t>(event::count); ++i)
    {
        const event_info& info = info_of(static_cast<event>(i));
        const std::string row = "| " + std::to_string(info.number) + " | " +
                                std::string(info.name) + " | " +
                                level_name(info.level) + " | " +
                                std::string(info.text) + " |\n";
        INFO(row);
        CHECK(page.find(row) != std::string::npos);
        CHECK(numbers.insert(info.number).second);
    }
    const auto rows = std::count(page.begin(), page.end(), '\n') - 6;
    CHECK(rows == static_cast<std::ptrdiff_t>(event::count));
}
