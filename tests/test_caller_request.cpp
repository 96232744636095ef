#include "caller_request.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

const monotonic_time now{100s};

bool
has_place(const findings& found, const std::string& place)
{
    return std::any_of(found.begin(), found.end(),
        [&](const finding& f) { return f.place == place; });
}

} // namespace

// Guards against paths with an empty name, or with a slash within a name.
TEST_CASE("query paths with empty or nested names are refused", "[caller]")
{
    std::string service;
    std::string route;
    CHECK(parse_query_path("/v1/services/exam/routes/history", service, route));
    CHECK(service == "exam");
    CHECK(route == "history");
    CHECK_FALSE(parse_query_path("/v1/services//routes/x", service, route));
    CHECK_FALSE(parse_query_path("/v1/services/a/b/routes/x", service, route));
    CHECK_FALSE(parse_query_path("/v1/services/a/routes/", service, route));
    CHECK_FALSE(parse_query_path("/admin", service, route));
}

// Guards against a response that reports only the first invalid field.
TEST_CASE("every invalid field is reported", "[caller]")
{
    server_request r;
    r.headers = {{"x-deadline-ms", "-5"}, {"x-min-coverage", "1.5"},
        {"x-worth", "nan"}, {"x-wait-for-coverage", "yes"},
        {"idempotency-key", std::string(300, 'k')}};
    r.body = "[1";
    findings found;
    parse_caller_request(r, now, 1s, found);
    CHECK(found.size() == 6);
    CHECK(has_place(found, "header x-deadline-ms"));
    CHECK(has_place(found, "body"));
}

// Guards against a deeply nested body that overflows the daemon's stack.
TEST_CASE("a deeply nested body is refused", "[caller]")
{
    server_request r;
    r.body = R"({"a":)" + std::string(100000, '[');
    findings found;
    parse_caller_request(r, now, 1s, found);
    CHECK(has_place(found, "body"));
}

// Guards against ignoring the deadline header in favour of the default.
TEST_CASE("the deadline header sets the deadline", "[caller]")
{
    server_request r;
    r.body = "{}";
    r.headers = {{"x-deadline-ms", "250"}};
    findings found;
    const caller_request c = parse_caller_request(r, now, 1s, found);
    CHECK(found.empty());
    CHECK(c.deadline == now + 250ms);
}
