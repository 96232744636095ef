#pragma once

#include "http_client.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <thread>

/// TCP server on loopback for tests. Runs a script for each accepted socket on
/// a separate thread and then closes the socket.
namespace bramleymux::test
{

/// The destructor waits until all scripts have ended.
class raw_server
{
public:
    explicit raw_server(std::function<void(int)> script)
        : script_(std::move(script)), listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(name);
        bind(listener_, reinterpret_cast<sockaddr*>(&name), size);
        listen(listener_, 16);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
        port_ = ntohs(name.sin_port);
        acceptor_ = std::thread([this] { accept_all(); });
    }

    raw_server(const raw_server&) = delete;
    raw_server&
    operator=(const raw_server&) = delete;

    ~raw_server()
    {
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        close(listener_);
        for (std::thread& t : workers_)
        {
            t.join();
        }
    }

    http_address
    address() const
    {
        return {"127.0.0.1", port_, {}};
    }

    /// Number of connections accepted so far.
    int
    accepted() const
    {
        return accepted_;
    }

private:
    void
    accept_all()
    {
        for (;;)
        {
            const int client = accept(listener_, nullptr, nullptr);
            if (client < 0)
            {
                return;
            }
            ++accepted_;
            workers_.emplace_back(
                [this, client]
                {
                    script_(client);
                    close(client);
                });
        }
    }

    std::function<void(int)> script_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> accepted_{0};
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

/// Reads one request, headers and body. Returns an empty string if the client
/// closed the connection before the end of the headers.
inline std::string
read_request(int socket)
{
    std::string text;
    char c = 0;
    while (text.find("\r\n\r\n") == std::string::npos)
    {
        if (recv(socket, &c, 1, 0) != 1)
        {
            return {};
        }
        text += c;
    }
    const auto at = text.find("Content-Length: ");
    const std::size_t body =
        at == std::string::npos ? 0 : std::stoul(text.substr(at + 16));
    for (std::size_t i = 0; i < body && recv(socket, &c, 1, 0) == 1; ++i)
    {
        text += c;
    }
    return text;
}

inline std::string
body_of(const std::string& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

inline void
write_text(int socket, const std::string& text)
{
    send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

inline std::string
reply_text(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns a script that replies to each request on a connection with the
/// result of `answer`.
inline std::function<void(int)>
answer_each(std::function<std::string(const std::string&)> answer)
{
    return [answer = std::move(answer)](int socket)
    {
        for (;;)
        {
            const std::string request = read_request(socket);
            if (request.empty())
            {
                return;
            }
            write_text(socket, answer(request));
        }
    };
}

/// Discards input until the client closes the connection.
inline void
wait_for_close(int socket)
{
    char c = 0;
    while (recv(socket, &c, 1, 0) > 0)
    {
    }
}

} // namespace bramleymux::test
