#include "certificate_authority.hpp"
#include "raw_server.hpp"

#include <catch2/catch.hpp>

#include <openssl/ssl.h>

#include <csignal>

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

/// Long enough that only a hang reaches it.
constexpr auto hang_timeout = 60s;

/// Returns the error of one request to a server that runs `script`, or `ok`.
http_errc
error_of(const std::function<void(int)>& script, duration limit = hang_timeout)
{
    raw_server server(script);
    connection_pool pool(server.address(), 2);
    const auto reply = pool.request({"GET", "/", {}, ""}, after(limit));
    CHECK(pool.stats().open == 0);
    return reply ? http_errc::ok : reply.error();
}

/// Returns a script that sends `text` after the request. If `hang` is set, the
/// connection stays open until the client closes it.
std::function<void(int)>
reply_with(const std::string& text, bool hang)
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

/// One stream of a server, with TLS or without.
class server_stream
{
public:
    server_stream(int socket, const tls_files* files)
        : socket_(socket), context_(nullptr, SSL_CTX_free),
          tls_(nullptr, SSL_free)
    {
        if (files != nullptr)
        {
            context_.reset(SSL_CTX_new(TLS_server_method()));
            SSL_CTX_use_certificate_file(context_.get(),
                files->certificate_file.c_str(), SSL_FILETYPE_PEM);
            SSL_CTX_use_PrivateKey_file(
                context_.get(), files->key_file.c_str(), SSL_FILETYPE_PEM);
            tls_.reset(SSL_new(context_.get()));
            SSL_set_fd(tls_.get(), socket_);
            SSL_accept(tls_.get());
        }
    }

    /// Returns the number of bytes read, 0 or less at an end.
    int
    read(char* to, int size)
    {
        return tls_ ? SSL_read(tls_.get(), to, size)
                    : static_cast<int>(
                          recv(socket_, to, static_cast<std::size_t>(size), 0));
    }

    void
    write(const std::string& text)
    {
        if (tls_)
        {
            SSL_write(tls_.get(), text.data(), static_cast<int>(text.size()));
            return;
        }
        write_text(socket_, text);
    }

    /// The close of the socket that follows resets the connection, or ends it
    /// with a close notice if there is TLS.
    void
    end(bool reset)
    {
        if (reset)
        {
            const linger at_once{1, 0};
            setsockopt(
                socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        else if (tls_)
        {
            SSL_shutdown(tls_.get());
        }
    }

private:
    int socket_;
    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context_;
    std::unique_ptr<SSL, decltype(&SSL_free)> tls_;
};

} // namespace

// Guards against a new connection for each request, and against mixing a body
// with the next reply on the same connection.
TEST_CASE("replies on one keep-alive connection are not mixed", "[http]")
{
    raw_server server(
        answer_each([](const std::string& r) { return reply_text(200, r); }));
    connection_pool pool(server.address(), 4);
    for (int i = 0; i < 20; ++i)
    {
        const std::string body(static_cast<std::size_t>(i) * 5000, 'a');
        const auto reply =
            pool.request({"POST", "/p", {{"X-N", std::to_string(i)}}, body},
                after(hang_timeout));
        REQUIRE(reply);
        CHECK(reply.value().body.find("X-N: " + std::to_string(i) + "\r\n") !=
              std::string::npos);
        CHECK(body_of(reply.value().body) == body);
    }
    CHECK(server.accepted() == 1);
}

// Guards against falling back to CivetWeb's own limit of 30 s on the body of a
// reply, which would block a thread long past the deadline.
TEST_CASE("an incomplete reply times out at the deadline", "[http]")
{
    const auto begin = monotonic_clock::now();
    CHECK(
        error_of(reply_with(
                     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true),
            100ms) == http_errc::timeout);
    CHECK(error_of(reply_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n5\r\nabc",
                       true),
              100ms) == http_errc::timeout);
    CHECK(error_of(reply_with("HTTP/1.1 200", true), 100ms) ==
          http_errc::timeout);
    CHECK(error_of(reply_with("", true), 100ms) == http_errc::timeout);
    // One reply that runs into CivetWeb's limit takes 30 s on its own.
    CHECK(monotonic_clock::now() - begin < 29s);
}

// Guards against accepting a truncated reply as a complete one, and against
// reporting its request as not sent.
TEST_CASE("a truncated reply is an error", "[http]")
{
    CHECK(
        error_of(reply_with("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            false)) == http_errc::truncated);
    CHECK(error_of(reply_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n5\r\nabc",
              false)) == http_errc::truncated);
    CHECK(error_of(reply_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n3\r\nabc\r\n",
              false)) == http_errc::truncated);
    CHECK(error_of(reply_with("", false)) == http_errc::truncated);
    CHECK(error_of(reply_with("HTTP/1.1 200 OK\r\n\r\nabc", false)) ==
          http_errc::malformed);
    CHECK(error_of(reply_with("HTTP/1.1 200 OK\r\nContent-Length: "
                              "99999999\r\n\r\nabc",
              false)) == http_errc::too_large);
    CHECK(may_have_reached_server(http_errc::truncated));
    CHECK(may_have_reached_server(http_errc::timeout));
}

// Guards against chunk framing left in the body, and against a wait for more
// after the last chunk.
TEST_CASE("the chunks of a reply are joined", "[http]")
{
    raw_server server(
        reply_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            true));
    connection_pool pool(server.address(), 1);
    const auto reply = pool.request({"GET", "/", {}, ""}, after(hang_timeout));
    REQUIRE(reply);
    CHECK(reply.value().body == "abcde");
}

// Guards against sending a request on a connection that the server closed while
// it was idle: the request would count as possibly run.
TEST_CASE("an idle connection that the server closed is replaced", "[http]")
{
    raw_server server(reply_with(reply_text(200, "x"), false));
    connection_pool pool(server.address(), 1);
    auto first = pool.acquire(after(hang_timeout));
    REQUIRE(first);
    REQUIRE(first.value()->exchange({"GET", "/", {}, ""}, after(hang_timeout)));
    while (first.value()->is_idle())
    {
        std::this_thread::yield();
    }
    const auto failed =
        first.value()->exchange({"POST", "/", {}, "x"}, after(hang_timeout));
    REQUIRE_FALSE(failed);
    CHECK_FALSE(may_have_reached_server(failed.error()));
    {
        const auto given_back = std::move(first.value());
    }
    CHECK(pool.request({"POST", "/", {}, "x"}, after(hang_timeout)));
    CHECK(server.accepted() == 2);
}

// Guards against reading bytes that the server sent without a request as the
// reply to the next request.
TEST_CASE("a connection with unrequested bytes is not reused", "[http]")
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
        auto connection = pool.acquire(after(hang_timeout));
        REQUIRE(connection);
        CHECK(connection.value()->exchange(request, after(hang_timeout)));
        stray = true;
        while (connection.value()->is_idle())
        {
            std::this_thread::yield();
        }
    }
    const auto reply = pool.request(request, after(hang_timeout));
    REQUIRE(reply);
    CHECK(reply.value().body == "one");
    CHECK(pool.stats().stale == 1);
}

// Guards against reading a surplus reply, left in CivetWeb's buffer, as the
// reply to the next request.
TEST_CASE("a second reply in the same packet is discarded", "[http]")
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
        const auto reply =
            pool.request({"GET", "/", {}, ""}, after(hang_timeout));
        REQUIRE(reply);
        CHECK(reply.value().body == expected);
    }
}

// Guards against reporting a request as possibly run when the connection was
// refused or the pool had none free.
TEST_CASE("a request without a connection is reported as not sent", "[http]")
{
    http_address address;
    {
        address = raw_server([](int) {}).address();
    }
    connection_pool pool(address, 1);
    const auto refused =
        pool.request({"GET", "/", {}, ""}, after(hang_timeout));
    REQUIRE_FALSE(refused);
    CHECK(refused.error() == http_errc::connect_failed);
    CHECK_FALSE(may_have_reached_server(refused.error()));
    CHECK(pool.stats().open == 0);

    raw_server server(wait_for_close);
    connection_pool busy(server.address(), 1);
    const auto held = busy.acquire(after(hang_timeout));
    REQUIRE(held);
    const auto waited = busy.request({"GET", "/", {}, ""}, after(20ms));
    REQUIRE_FALSE(waited);
    CHECK(waited.error() == http_errc::connect_failed);
}

// Guards against falling back to CivetWeb's own limit of 10 s on a connect. A
// server with a full accept queue, such as a paused one, does not respond to
// further connects.
TEST_CASE("an unanswered connect ends at the deadline", "[http]")
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    auto* const address = reinterpret_cast<sockaddr*>(&name);
    REQUIRE(bind(listener, address, size) == 0);
    REQUIRE(listen(listener, 0) == 0);
    getsockname(listener, address, &size);
    std::vector<int> fillers;
    for (int i = 0; i < 4; ++i)
    {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect(fillers.back(), address, size);
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

// Guards against header injection through a value, name, path or method.
TEST_CASE("CR, LF and NUL are refused in headers and paths", "[http]")
{
    raw_server server(
        answer_each([](const std::string&) { return reply_text(200, ""); }));
    connection_pool pool(server.address(), 1);
    const std::vector<http_request> invalid{
        {"GET", "/", {{"X", "a\r\nY: b"}}, ""},
        {"GET", "/", {{"X", "a\nb"}}, ""}, {"GET", "/", {{"X\r\n", "a"}}, ""},
        {"GET", "/", {{"X", std::string("a\0b", 3)}}, ""},
        {"GET", "/a b", {}, ""}, {"GET", "/\r\nX: y", {}, ""},
        {"GET\r\n", "/", {}, ""}};
    for (const http_request& request : invalid)
    {
        const auto reply = pool.request(request, after(hang_timeout));
        REQUIRE_FALSE(reply);
        CHECK(reply.error() == http_errc::invalid_request);
    }
    CHECK(encode_path("idem/a b\r\n") == "idem/a%20b%0D%0A");
}

// Guards against opening more connections than the server's limit, which the
// pool enforces, and against one thread reading the reply to another's request.
TEST_CASE("threads share a bounded pool", "[http]")
{
    raw_server server(answer_each(
        [](const std::string& r) { return reply_text(200, body_of(r)); }));
    connection_pool pool(server.address(), 3);
    CHECK(pool.warm(8, after(hang_timeout)) == 3);
    std::atomic<int> wrong_replies{0};
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
                    const auto reply = pool.request(
                        {"POST", "/", {}, body}, after(hang_timeout));
                    wrong_replies +=
                        !reply || reply.value().body != body ? 1 : 0;
                }
            });
    }
    for (std::thread& t : threads)
    {
        t.join();
    }
    CHECK(wrong_replies == 0);
    CHECK(server.accepted() == 3);
}

// Guards against a cut reply that passes for a whole one with a shorter body.
TEST_CASE("a reply that is cut in its head or body is an error", "[http]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Snapshot: 4\r\n";
    const std::string last_chunk = "0\r\n";
    const std::vector<std::string> replies{
        head + "Content-Length: 10\r\n\r\n0123456789",
        head +
            "Transfer-Encoding: chunked\r\n\r\n"
            "4\r\n0123\r\n6\r\n456789\r\n" +
            last_chunk,
        head +
            "Transfer-Encoding: chunked\r\n\r\n"
            "a\r\n0123456789\r\n" +
            last_chunk};
    for (const std::string& reply : replies)
    {
        for (std::size_t length = 0; length < reply.size(); ++length)
        {
            CAPTURE(reply, length);
            CHECK(error_of(reply_with(reply.substr(0, length), false)) !=
                  http_errc::ok);
        }
    }
}

// Guards against half a reply that passes for a whole one when the server ends
// or resets the connection, while the request is still being sent or after it,
// with TLS and without.
TEST_CASE("a reply that a reset cuts off is an error", "[http][reset]")
{
    const bool with_tls = GENERATE(false, true);
    const bool reset = GENERATE(false, true);
    const bool early = GENERATE(false, true);
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string reply = GENERATE_COPY(head + "\r\n01234",
        head + "Content-Length: 10\r\n\r\n01234",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n");
    CAPTURE(with_tls, reset, early, reply);
    // OpenSSL writes without MSG_NOSIGNAL; the programs ignore the signal, too.
    std::signal(SIGPIPE, SIG_IGN);
    authority issuer("http");
    const tls_files files = issuer.issue("server");
    std::atomic<std::size_t> received{0};
    raw_server server(
        [&](int socket)
        {
            server_stream stream(socket, with_tls ? &files : nullptr);
            std::array<char, 4096> buffer{};
            // Without `early`, all of the request.
            const std::size_t wanted = early ? 1 : 100;
            int n = 1;
            while (received < wanted && n > 0)
            {
                n = stream.read(buffer.data(), static_cast<int>(buffer.size()));
                received += static_cast<std::size_t>(std::max(0, n));
            }
            stream.write(reply);
            stream.end(reset);
        });
    http_address address = server.address();
    if (with_tls)
    {
        address.tls = http_tls{files.ca_file, "", "server"};
    }
    connection_pool pool(address, 1);
    constexpr std::size_t long_body_bytes = 16 << 20;
    const std::string body(early ? long_body_bytes : 100, 'b');
    const auto result =
        pool.request({"POST", "/", {}, body}, after(hang_timeout));
    CHECK(!result);
    CHECK(may_have_reached_server(result.error()));
    CHECK(received > 0);
    CHECK(pool.stats().open == 0);
}
