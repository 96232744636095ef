#include "config.hpp"
#include "entry_fixture.hpp"
#include "raw_server.hpp"

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

const std::string part = std::string(15, '0') + '1';

/// Writes `chunk` until the peer closes the connection. Returns the bytes that
/// the socket accepted.
std::size_t
write_until_closed(int socket, const std::string& chunk)
{
    std::size_t written = 0;
    while (true)
    {
        const ssize_t n =
            ::send(socket, chunk.data(), chunk.size(), MSG_NOSIGNAL);
        if (n <= 0)
        {
            return written;
        }
        written += static_cast<std::size_t>(n);
    }
}

struct endless_stream
{
    std::string head;  ///< sent once
    std::string chunk; ///< repeated until the connection is closed
};

} // namespace

// Guards against a target that stays blocked for good because it accepted the
// connection of a health probe and never replied to it.
TEST_CASE("a health probe without a reply is repeated", "[entry]")
{
    entry_vm vm;
    stand_in_target a(vm.loop, "ta", unresponsive);
    vm.pool.put(a.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, true)});
    test_caller caller(vm.loop, vm.caller_address());
    caller.send(get("/q/1", "r1"));
    // The request is followed by a probe once it has been silent for too long.
    caller.run_until([&] { return a.received.size() >= 2; });
    CHECK(!vm.pool.is_served("s", {}));
    a.set_script([](const parsed_request& r) { return good(r, "p", part); });
    caller.run_until([&] { return vm.pool.is_served("s", {}); });
    CHECK(a.received.size() >= 3);
}

// Guards against bytes that are no answer and never end: they must neither
// fill the memory nor hold the connection, and the query goes on with another
// replica.
TEST_CASE("an endless reply ends its connection, not the query", "[entry]")
{
    const std::string filler(4096, 'x');
    const std::string good_head = "HTTP/1.1 200 OK\r\nX-Response-Stamp: p\r\n";
    const std::vector<endless_stream> streams{
        {"", filler},                                      // no status line
        {"HTTP/1.1 200 OK\r\nX-Pad: ", filler},            // header line
        {"HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n"},           // header fields
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},             // interim replies
        {good_head + "Transfer-Encoding: chunked\r\n\r\n", // chunk size
            "0000000000"},
        {good_head + "Transfer-Encoding: chunked\r\n\r\n", // chunked body
            "a\r\n0123456789\r\n"},
        {good_head + "\r\n", filler}, // body without a length
    };
    for (const endless_stream& stream : streams)
    {
        CAPTURE(stream.head, stream.chunk.substr(0, 20));
        entry_vm vm;
        std::atomic<std::size_t> written{0};
        test::raw_server endless(
            [&](int socket)
            {
                std::array<char, 4096> request{};
                ::recv(socket, request.data(), request.size(), 0);
                ::send(socket, stream.head.data(), stream.head.size(),
                    MSG_NOSIGNAL);
                written += write_until_closed(socket, stream.chunk);
            });
        stand_in_target healthy(vm.loop, "tb",
            [](const parsed_request& r) { return good(r, "pb", part); });
        target_record first = healthy.record("s", "north");
        first.id = "ta";
        first.address = "127.0.0.1:" + std::to_string(endless.address().port);
        vm.pool.put(first);
        vm.pool.put(healthy.record("s", "far"));
        vm.adopt(1, {entry_vm::make_route("q", {"s"}, true, true)});
        test_caller caller(vm.loop, vm.caller_address());
        caller.send(get("/q/1", "r1"));
        const http_reply reply = caller.reply();
        CHECK(reply.status == 200);
        CHECK(reply.body == part);
        // Interim replies are discarded as they arrive, so only the time of
        // their connection is bounded.
        caller.run_until([&] { return written.load() > 0; });
        const bool interim =
            stream.chunk.find("100 Continue") != std::string::npos;
        CHECK((interim || written.load() < 16 * config::mib));
    }
}
