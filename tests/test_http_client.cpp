#include "raw_server.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::test;
using namespace std::chrono_literals;

namespace
{

monotonic_time
after(duration d)
{
    return monotonic_clock::now() + d;
}

/// Far enough that only a hang reaches it.
constexpr auto give_up = 60s;

http_errc
error_of(const std::function<void(int)>& script, duration limit = give_up)
{
    raw_server server(script);
    connection_pool pool(server.address(), 2);
    const auto reply = pool.request({"GET", "/", {}, ""}, after(limit));
    CHECK(pool.stats().open == 0);
    return reply ? http_errc::ok : reply.error();
}

std::function<void(int)>
send_and(const std::string& text, bool hang)
{
    return [=](int socket)
    {
        read_request(socket);
        write_text(socket, text);
        if (hang)
        {
            wait_for_close(socket);
        }
    };
}

} // namespace

// Guards against a new connection for each request, and against a body that
// is mixed with the next reply on the same connection.
TEST_CASE("replies on one kept connection stay apart", "[http]")
{
    raw_server server(
        answer_each([](const std::string& r) { return reply_text(200, r); }));
    connection_pool pool(server.address(), 4);
    for (int i = 0; i < 20; ++i)
    {
        const std::string body(static_cast<std::size_t>(i) * 5000, 'a');
        const auto reply = pool.request(
            {"POST", "/p", {{"X-N", std::to_string(i)}}, body}, after(give_up));
        REQUIRE(reply);
        CHECK(reply.value().body.find("X-N: " + std::to_string(i) + "\r\n") !=
              std::string::npos);
        CHECK(body_of(reply.value().body) == body);
    }
    CHECK(server.accepted() == 1);
}

// Guards against CivetWeb's own 30 s limit on the body of a reply, which
// would hold a thread long past the deadline.
TEST_CASE("a reply that stops half-way ends at the deadline", "[http]")
{
    const auto begin = monotonic_clock::now();
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
                       true),
              100ms) == http_errc::timeout);
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n5\r\nabc",
                       true),
              100ms) == http_errc::timeout);
    CHECK(
        error_of(send_and("HTTP/1.1 200", true), 100ms) == http_errc::timeout);
    CHECK(error_of(send_and("", true), 100ms) == http_errc::timeout);
    // 30 s is the library's limit for one of them.
    CHECK(monotonic_clock::now() - begin < 29s);
}

// Guards against a cut reply taken for a whole one.
TEST_CASE("a cut reply is an error that may have reached", "[http]")
{
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
              false)) == http_errc::truncated);
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n5\r\nabc",
              false)) == http_errc::truncated);
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\n",
              false)) == http_errc::truncated);
    CHECK(error_of(send_and("", false)) == http_errc::truncated);
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\n\r\nabc", false)) ==
          http_errc::malformed);
    CHECK(error_of(send_and("HTTP/1.1 200 OK\r\nContent-Length: "
                            "99999999\r\n\r\nabc",
              false)) == http_errc::too_large);
    CHECK(may_have_reached(http_errc::truncated));
    CHECK(may_have_reached(http_errc::timeout));
}

// Guards against a chunked body read wrongly.
TEST_CASE("a chunked reply is joined", "[http]")
{
    raw_server server(
        send_and("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            true));
    connection_pool pool(server.address(), 1);
    const auto reply = pool.request({"GET", "/", {}, ""}, after(give_up));
    REQUIRE(reply);
    CHECK(reply.value().body == "abcde");
}

// Guards against a request sent on a connection that the server closed while
// it was idle: such a request would count as possibly run.
TEST_CASE("an idle connection that the server closed is replaced", "[http]")
{
    raw_server server(send_and(reply_text(200, "x"), false));
    connection_pool pool(server.address(), 1);
    auto first = pool.acquire(after(give_up));
    REQUIRE(first);
    REQUIRE(first.value()->exchange({"GET", "/", {}, ""}, after(give_up)));
    while (first.value()->is_idle())
    {
        std::this_thread::yield();
    }
    const auto failed =
        first.value()->exchange({"POST", "/", {}, "x"}, after(give_up));
    REQUIRE_FALSE(failed);
    CHECK_FALSE(may_have_reached(failed.error()));
    {
        const auto given_back = std::move(first.value());
    }
    CHECK(pool.request({"POST", "/", {}, "x"}, after(give_up)));
    CHECK(server.accepted() == 2);
}

// Guards against a crossed answer: bytes that nobody asked for must not be
// read as the reply to the next request.
TEST_CASE("a connection with unasked bytes is not used again", "[http]")
{
    std::atomic<bool> stray{false};
    raw_server server(
        [&](int socket)
        {
            read_request(socket);
            write_text(socket, reply_text(200, "one"));
            while (!stray)
            {
                std::this_thread::yield();
            }
            write_text(socket, reply_text(200, "stray"));
            wait_for_close(socket);
        });
    connection_pool pool(server.address(), 1);
    const http_request request{"GET", "/", {}, ""};
    {
        auto lent = pool.acquire(after(give_up));
        REQUIRE(lent);
        CHECK(lent.value()->exchange(request, after(give_up)));
        stray = true;
        while (lent.value()->is_idle())
        {
            std::this_thread::yield();
        }
    }
    const auto reply = pool.request(request, after(give_up));
    REQUIRE(reply);
    CHECK(reply.value().body == "one");
    CHECK(pool.stats().stale == 1);
}

// Guards against an excess reply in CivetWeb's buffer read as the next one.
TEST_CASE("a second reply in the same packet is dropped", "[http]")
{
    int n = 0;
    raw_server server(answer_each(
        [&](const std::string&) {
            return reply_text(200, std::to_string(++n)) +
                   reply_text(200, "stray");
        }));
    connection_pool pool(server.address(), 1);
    for (const char* expected : {"1", "2"})
    {
        const auto reply = pool.request({"GET", "/", {}, ""}, after(give_up));
        REQUIRE(reply);
        CHECK(reply.value().body == expected);
    }
}

// Guards against a refused or never tried connection reported as possibly run.
TEST_CASE("no connection means that no byte was sent", "[http]")
{
    http_address address;
    {
        address = raw_server([](int) {}).address();
    }
    connection_pool pool(address, 1);
    const auto refused = pool.request({"GET", "/", {}, ""}, after(give_up));
    REQUIRE_FALSE(refused);
    CHECK(refused.error() == http_errc::connect_failed);
    CHECK_FALSE(may_have_reached(refused.error()));
    CHECK(pool.stats().open == 0);

    raw_server server(wait_for_close);
    connection_pool busy(server.address(), 1);
    const auto held = busy.acquire(after(give_up));
    REQUIRE(held);
    const auto waited = busy.request({"GET", "/", {}, ""}, after(20ms));
    REQUIRE_FALSE(waited);
    CHECK(waited.error() == http_errc::connect_failed);
}

// Guards against CivetWeb's own 10 s limit on a connect: a paused server with
// a full accept queue answers no further connects.
TEST_CASE("a connect without an answer ends at the deadline", "[http]")
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    auto* const generic = reinterpret_cast<sockaddr*>(&name);
    REQUIRE(bind(listener, generic, size) == 0);
    REQUIRE(listen(listener, 0) == 0);
    getsockname(listener, generic, &size);
    std::vector<int> fillers;
    for (int i = 0; i < 4; ++i)
    {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect(fillers.back(), generic, size);
    }
    connection_pool pool({"127.0.0.1", ntohs(name.sin_port), {}}, 1);
    const auto begin = monotonic_clock::now();
    const auto reply = pool.request({"GET", "/", {}, ""}, after(100ms));
    REQUIRE_FALSE(reply);
    CHECK(reply.error() == http_errc::connect_failed);
    CHECK(monotonic_clock::now() - begin < 9s);
    CHECK(pool.stats().open == 0);
    for (const int filler : fillers)
    {
        close(filler);
    }
    close(listener);
}

// Guards against a header of a caller's choice injected through a value.
TEST_CASE("CR, LF and NUL are refused in headers and paths", "[http]")
{
    raw_server server(
        answer_each([](const std::string&) { return reply_text(200, ""); }));
    connection_pool pool(server.address(), 1);
    const std::vector<http_request> bad{{"GET", "/", {{"X", "a\r\nY: b"}}, ""},
        {"GET", "/", {{"X", "a\nb"}}, ""}, {"GET", "/", {{"X\r\n", "a"}}, ""},
        {"GET", "/", {{"X", std::string("a\0b", 3)}}, ""},
        {"GET", "/a b", {}, ""}, {"GET", "/\r\nX: y", {}, ""},
        {"GET\r\n", "/", {}, ""}};
    for (const http_request& request : bad)
    {
        const auto reply = pool.request(request, after(give_up));
        REQUIRE_FALSE(reply);
        CHECK(reply.error() == http_errc::invalid_request);
    }
    CHECK(encode_path("idem/a b\r\n") == "idem/a%20b%0D%0A");
}

// Guards against more connections than the server's limit, and against one
// thread reading the reply of another.
TEST_CASE("threads share a bounded pool", "[http]")
{
    raw_server server(answer_each(
        [](const std::string& r) { return reply_text(200, body_of(r)); }));
    connection_pool pool(server.address(), 3);
    CHECK(pool.warm(8, after(give_up)) == 3);
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 8; ++t)
    {
        threads.emplace_back(
            [&, t]
            {
                for (int i = 0; i < 50; ++i)
                {
                    const auto body =
                        std::to_string(t) + "/" + std::to_string(i);
                    const auto reply =
                        pool.request({"POST", "/", {}, body}, after(give_up));
                    wrong += !reply || reply.value().body != body ? 1 : 0;
                }
            });
    }
    for (std::thread& t : threads)
    {
        t.join();
    }
    CHECK(wrong == 0);
    CHECK(server.accepted() == 3);
}
