#include "common/request_story.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace bramleymux;

// Guards against lines of other requests, a wrong order, and lines that are
// not JSON and end the command.
TEST_CASE("a request's log lines are printed by time", "[cli]")
{
    std::istringstream log(
        "not json\n"
        "{broken\n"
        "12.5 vm-1 {\"ts_ms\":30,\"event\":1602,\"name\":\"query_partial\","
        "\"vm\":\"vm-1\",\"request\":\"r1\",\"answered\":9}\n"
        "{\"ts_ms\":20,\"event\":1605,\"name\":\"sub_request_repeated\","
        "\"vm\":\"vm-1\",\"request\":\"r1\",\"why\":\"slow\"}\n"
        "{\"ts_ms\":25,\"event\":1602,\"vm\":\"vm-2\",\"request\":\"r2\"}\n"
        "[]\n");
    std::ostringstream out;
    CHECK(tools::print_request_story(log, "r1", out) == 2);
    CHECK(out.str() == "+0 ms vm-1 E1605 sub_request_repeated\n"
                       "    why = \"slow\"\n"
                       "+10 ms vm-1 E1602 query_partial\n"
                       "    answered = 9\n");
}
