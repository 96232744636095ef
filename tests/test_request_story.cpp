#include "common/request_story.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace bramleymux;

// Guards against printing lines of other requests or in the wrong order, and
// against stopping at a line that is not JSON.
TEST_CASE("log lines of a request are printed in order of time", "[cli]")
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
