#include "platform_client.hpp"
#include "raw_server.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/// Client of a server that answers every request with `text`. With `cut`, the
/// server closes the connection after the text.
struct fixed_platform
{
    explicit fixed_platform(const std::string& text, bool cut = false)
        : server(
              cut ? std::function<void(int)>(
                        [text](int socket)
                        {
                            read_request(socket);
                            write_text(socket, text);
                        })
                  : answer_each([text](const std::string&) { return text; })),
          client(server.address())
    {
    }

    raw_server server;
    platform_client client;
};

/// Checks the errors of a read and of two writes that are answered with `text`.
void
check_errors(const std::string& text, platform_errc read, platform_errc write,
    bool cut = false)
{
    INFO(text);
    fixed_platform p(text, cut);
    const auto got = p.client.get("a");
    REQUIRE_FALSE(got);
    CHECK(got.error() == read);
    const auto put = p.client.put("a", 1, 0);
    REQUIRE_FALSE(put);
    CHECK(put.error() == write);
    const auto removed = p.client.remove("a", 1);
    REQUIRE_FALSE(removed);
    CHECK(removed.error() == write);
}

} // namespace

// Guards against reporting a lost reply as a write without effect, which would
// make the writer repeat it.
TEST_CASE("errors distinguish a lost reply from a refused call", "[platform]")
{
    using e = platform_errc;
    check_errors("", e::unavailable, e::reply_lost, true);
    check_errors("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
        e::unavailable, e::reply_lost, true);
    check_errors(reply_text(500, ""), e::unavailable, e::reply_lost);
    check_errors(reply_text(503, ""), e::unavailable, e::unavailable);
    check_errors(reply_text(429, ""), e::rate_limited, e::rate_limited);
    check_errors(reply_text(412, "{}"), e::conflict, e::conflict);
    check_errors(reply_text(404, ""), e::not_found, e::not_found);
    check_errors(reply_text(413, ""), e::too_large, e::too_large);
    check_errors(reply_text(400, ""), e::bad_reply, e::bad_reply);

    http_address gone;
    {
        gone = raw_server([](int) {}).address();
    }
    platform_client client(gone);
    CHECK(client.put("a", 1, 0).error() == e::unavailable);
    CHECK(client.vms().error() == e::unavailable);
}

// Guards against reading an object or a version from a malformed reply.
TEST_CASE("malformed replies are errors", "[platform]")
{
    using e = platform_errc;
    fixed_platform p(reply_text(200, R"({"version":"x"})"));
    CHECK(p.client.get("a").error() == e::bad_reply);
    CHECK(p.client.put("a", 1, 0).error() == e::reply_lost);
    CHECK(p.client.list("a").error() == e::bad_reply);
    CHECK(p.client.vms().error() == e::bad_reply);
    CHECK(p.client.watch("a", 0, 10ms).error() == e::bad_reply);
}
