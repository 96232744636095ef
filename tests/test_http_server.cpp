#include "http_server.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace bramleymux;

namespace
{

constexpr std::size_t server_threads = 8;
constexpr std::size_t body_limit = 1024;
constexpr int hang_timeout_s = 60;
constexpr int waiting_connections = 4;
// Lets another thread get ahead in a race. No check depends on its length.
constexpr auto head_start = std::chrono::milliseconds(300);

std::uint16_t
port_of(int socket)
{
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    getsockname(socket, reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
}

sockaddr_in
loopback(std::uint16_t port)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(port);
    return name;
}

/// Returns a port that was free at the time of the call.
std::uint16_t
free_port()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in name = loopback(0);
    REQUIRE(bind(probe, reinterpret_cast<const sockaddr*>(&name),
                sizeof(name)) == 0);
    const std::uint16_t port = port_of(probe);
    close(probe);
    return port;
}

/// Blocking client connection that sends raw bytes. A read or write that hangs
/// fails after `hang_timeout_s`.
class connection
{
public:
    explicit connection(std::uint16_t port)
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval limit{hang_timeout_s, 0};
        setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        const sockaddr_in name = loopback(port);
        REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&name),
                    sizeof(name)) == 0);
    }

    ~connection()
    {
        close(socket_);
    }

    connection(const connection&) = delete;
    connection&
    operator=(const connection&) = delete;

    /// Returns early if the server closes the connection.
    void
    write(const std::string& text) const
    {
        std::size_t done = 0;
        while (done < text.size())
        {
            const ssize_t n = send(
                socket_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return;
            }
            done += static_cast<std::size_t>(n);
        }
    }

    void
    end_writing() const
    {
        shutdown(socket_, SHUT_WR);
    }

    /// Returns what the server sends until it closes the connection.
    std::string
    read_all() const
    {
        std::string text;
        char buffer[4096];
        for (;;)
        {
            const ssize_t n = recv(socket_, buffer, sizeof(buffer), 0);
            if (n <= 0)
            {
                return text;
            }
            text.append(buffer, static_cast<std::size_t>(n));
        }
    }

private:
    int socket_;
};

/// Server that echoes the body and closes the connection after each reply.
struct running_server
{
    running_server()
        : port(free_port()), server({"127.0.0.1:" + std::to_string(port),
                                        server_threads, body_limit, "", ""},
                                 [](const server_request& request)
                                 {
                                     server_response response;
                                     response.body = "echo " + request.body;
                                     response.close_connection = true;
                                     return response;
                                 })
    {
    }

    std::uint16_t port;
    http_server server;
};

/// Server whose handler holds each request until `release`. From the start of a
/// stop on, it closes the connection after each response, as the daemon does.
class holding_server
{
public:
    explicit holding_server(std::size_t threads = server_threads)
        : port(free_port()),
          server_({"127.0.0.1:" + std::to_string(port), threads, body_limit, "",
                      ""},
              [this](const server_request& request) { return hold(request); })
    {
    }

    ~holding_server()
    {
        release();
        finish_stop();
    }

    holding_server(const holding_server&) = delete;
    holding_server&
    operator=(const holding_server&) = delete;

    void
    wait_for_requests(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [&] { return handled_ >= count; });
    }

    void
    begin_stop()
    {
        stopping_ = true;
        stopper_ = std::thread([this] { server_.stop(); });
        std::this_thread::sleep_for(head_start);
    }

    void
    release()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            released_ = true;
        }
        changed_.notify_all();
    }

    void
    finish_stop()
    {
        if (stopper_.joinable())
        {
            stopper_.join();
        }
    }

    const std::uint16_t port;

private:
    server_response
    hold(const server_request& request)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ++handled_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return released_; });
        server_response response;
        response.body = "echo " + request.body;
        response.close_connection = stopping_;
        return response;
    }

    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t handled_ = 0;
    bool released_ = false;
    http_server server_;
    std::thread stopper_;
};

/// Formats a POST request; `length` goes into Content-Length unchecked.
std::string
post_text(const std::string& length, const std::string& body,
    const std::string& headers = "")
{
    return "POST /x HTTP/1.1\r\nHost: a\r\n" + headers +
           "Content-Length: " + length + "\r\n\r\n" + body;
}

/// Sends `text` on a connection of its own, ends the sending side and returns
/// the reply.
std::string
reply_to(std::uint16_t port, const std::string& text)
{
    const connection c(port);
    c.write(text);
    c.end_writing();
    return c.read_all();
}

/// Checks that a valid request still gets its reply.
void
check_serving(std::uint16_t port)
{
    const connection c(port);
    c.write(post_text("4", "good"));
    const std::string answer = c.read_all();
    CHECK(answer.rfind("HTTP/1.1 200 ", 0) == 0);
    CHECK(answer.find("echo good") != std::string::npos);
}

} // namespace

// Guards against a process or server thread that ends on input other than HTTP.
// There are more inputs than threads, so that losing a thread per input is
// detected.
TEST_CASE("the server survives random bytes", "[http_server]")
{
    const running_server s;
    std::mt19937 random(1);
    for (int i = 0; i < 64; ++i)
    {
        std::string bytes(1 + random() % 4096, ' ');
        for (char& c : bytes)
        {
            c = static_cast<char>(random() % 256);
        }
        reply_to(s.port, bytes);
        check_serving(s.port);
    }
}

// Guards against a thread that waits for the rest of a request after the caller
// has disconnected.
TEST_CASE("the server survives truncated requests", "[http_server]")
{
    const running_server s;
    const std::string request = post_text("4", "good");
    for (std::size_t size = 0; size < request.size(); ++size)
    {
        const std::string answer = reply_to(s.port, request.substr(0, size));
        CHECK(answer.find(" 200 ") == std::string::npos);
    }
    check_serving(s.port);
}

// Guards against passing a body to the handler that is truncated or was read
// with a wrong length.
TEST_CASE("the server refuses a wrong Content-Length", "[http_server]")
{
    const running_server s;
    for (const char* length : {"5", "1024", "-1", "four", "0x4", "4 4",
             "99999999999999999999999", "18446744073709551615"})
    {
        INFO("Content-Length " << length);
        const std::string answer = reply_to(s.port, post_text(length, "good"));
        CHECK(answer.find(" 200 ") == std::string::npos);
        check_serving(s.port);
    }
}

// Guards against unbounded memory for a body, and against a refusal that is not
// marked as not_run.
TEST_CASE("a body over the limit is refused as not_run", "[http_server]")
{
    const running_server s;
    const std::size_t size = body_limit + 1;
    const connection c(s.port);
    c.write(post_text(std::to_string(size), std::string(size, 'x')));
    const std::string answer = c.read_all();
    CHECK(answer.rfind("HTTP/1.1 413 ", 0) == 0);
    CHECK(answer.find(R"("run":"not_run")") != std::string::npos);
    check_serving(s.port);
    const std::string large(4'000'000, 'x');
    const std::string refused =
        reply_to(s.port, post_text(std::to_string(large.size()), large));
    CHECK(refused.find(" 200 ") == std::string::npos);
    check_serving(s.port);
    const std::string body(body_limit, 'x');
    const connection at_limit(s.port);
    at_limit.write(post_text(std::to_string(body_limit), body));
    CHECK(at_limit.read_all().find("echo " + body) != std::string::npos);
}

// Guards against a server thread that ends on headers longer than its buffer.
TEST_CASE("the server survives oversized headers", "[http_server]")
{
    const running_server s;
    for (const std::size_t size : {20'000U, 200'000U, 2'000'000U})
    {
        const std::string answer =
            reply_to(s.port, post_text("4", "good",
                                 "X-Long: " + std::string(size, 'h') + "\r\n"));
        CHECK(answer.find(" 200 ") == std::string::npos);
        check_serving(s.port);
    }
    std::string many;
    for (int i = 0; i < 1000; ++i)
    {
        many += "H" + std::to_string(i) + ": v\r\n";
    }
    reply_to(s.port, post_text("4", "good", many));
    check_serving(s.port);
}

// Guards against a server thread that stays occupied after its idle connection
// was closed.
TEST_CASE("the server survives idle connections", "[http_server]")
{
    const running_server s;
    for (int round = 0; round < 8; ++round)
    {
        std::vector<std::unique_ptr<connection>> idle;
        for (std::size_t i = 0; i + 1 < server_threads; ++i)
        {
            idle.push_back(std::make_unique<connection>(s.port));
        }
        check_serving(s.port);
    }
    check_serving(s.port);
}

// Guards against dropping the answer of a request that outlasts the grace time.
TEST_CASE("a request that runs during a stop is answered", "[http_server]")
{
    holding_server s;
    const connection c(s.port);
    c.write(post_text("4", "good"));
    s.wait_for_requests(1);
    s.begin_stop();
    s.release();
    CHECK(c.read_all().find("echo good") != std::string::npos);
}

// Guards against a stop that drops a request whose body is still arriving.
TEST_CASE("a request half read at a stop is answered", "[http_server]")
{
    holding_server s;
    s.release();
    const connection c(s.port);
    c.write(post_text("4", "go"));
    std::this_thread::sleep_for(head_start);
    s.begin_stop();
    c.write("od");
    CHECK(c.read_all().find("echo good") != std::string::npos);
}

// Guards against a stop that drops a request queued behind a running one.
TEST_CASE("a request queued behind a running one at a stop is answered",
    "[http_server]")
{
    holding_server s;
    const connection c(s.port);
    c.write(post_text("5", "first") + post_text("6", "second"));
    s.wait_for_requests(1);
    s.begin_stop();
    s.release();
    const std::string answers = c.read_all();
    CHECK(answers.find("echo first") != std::string::npos);
    CHECK(answers.find("echo second") != std::string::npos);
}

// Guards against a stop that drops connections which wait for a server thread.
TEST_CASE(
    "requests that wait for a thread at a stop are answered", "[http_server]")
{
    holding_server s(1);
    const connection running(s.port);
    running.write(post_text("4", "good"));
    s.wait_for_requests(1);
    std::vector<std::unique_ptr<connection>> waiting;
    for (int i = 0; i < waiting_connections; ++i)
    {
        waiting.push_back(std::make_unique<connection>(s.port));
        waiting.back()->write(post_text("4", "late"));
    }
    s.begin_stop();
    s.release();
    s.finish_stop();
    for (const auto& c : waiting)
    {
        CHECK(c->read_all().find("echo late") != std::string::npos);
    }
}

// Guards against a stop that closes a kept connection with an unread request.
TEST_CASE("a request sent just before a stop is answered", "[http_server]")
{
    holding_server s;
    s.release();
    const connection c(s.port);
    c.write(post_text("4", "good"));
    s.wait_for_requests(1);
    c.write(post_text("4", "late"));
    s.begin_stop();
    const std::string answers = c.read_all();
    CHECK(answers.find("echo good") != std::string::npos);
    CHECK(answers.find("echo late") != std::string::npos);
}

// Guards against a stop that closes a new connection before its first request.
TEST_CASE("a connection opened before a stop can send", "[http_server]")
{
    holding_server s;
    s.release();
    const connection c(s.port);
    s.begin_stop();
    c.write(post_text("4", "good"));
    CHECK(c.read_all().find("echo good") != std::string::npos);
}

// Guards against a stop that lasts for as long as callers send requests.
TEST_CASE("requests sent during a stop do not delay it", "[http_server]")
{
    holding_server s;
    s.release();
    const connection first(s.port);
    first.write(post_text("4", "go"));
    std::this_thread::sleep_for(head_start);
    s.begin_stop();
    const connection second(s.port);
    second.write(post_text("4", "go"));
    std::this_thread::sleep_for(head_start);
    first.write("od");
    CHECK(first.read_all().find("echo good") != std::string::npos);
    std::string answer;
    do
    {
        const connection further(s.port);
        further.write(post_text("4", "late"));
        answer = further.read_all();
    } while (answer.find("echo late") != std::string::npos);
    CHECK(answer.find(R"("run":"not_run")") != std::string::npos);
    second.write("od");
    CHECK(second.read_all().find("echo good") != std::string::npos);
}
