#include "call_channel.hpp"
#include "manual_target.hpp"

#include <sstream>

// Streams that a reset ends while this side still writes. The kernel reports
// the reset to the write; a read after it finds an end of stream.

using namespace bramleymux;
using namespace bramleymux::fixture;

namespace
{

// More than the kernel takes of a request that nobody reads.
constexpr std::size_t request_bytes = 16 << 20;
// More than one read takes, and less than a receive window.
constexpr std::size_t body_bytes = 40000;

enum class framing
{
    none,
    length,
    chunked,
    count
};

constexpr framing framings[] = {
    framing::none, framing::length, framing::chunked};

std::string
reply_body()
{
    std::string out;
    for (std::size_t i = 0; out.size() < body_bytes; ++i)
    {
        out += "record " + std::to_string(i) + "\n";
    }
    out.resize(body_bytes);
    return out;
}

std::string
chunk(const std::string& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

/// Reply to the request `r1`; not whole, it lacks the second half of its body.
std::string
reply_bytes(framing f, bool whole)
{
    const std::string body = reply_body();
    const std::string half = body.substr(0, body_bytes / 2);
    const std::string head =
        "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Stamp: p\r\n";
    switch (f)
    {
    case framing::length:
        return head + "Content-Length: " + std::to_string(body_bytes) +
               "\r\n\r\n" + (whole ? body : half);
    case framing::chunked:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(half) +
               (whole ? chunk(body.substr(half.size())) + "0\r\n\r\n" : "");
    default:
        return head + "Connection: close\r\n\r\n" + (whole ? body : half);
    }
}

/// How a target ends its connection, with most of the request unread.
enum class ending
{
    reset,           ///< the kernel resets it
    closed_in_order, ///< end of stream; the reset comes after it
    end_of_stream,   ///< only its sending side
    count
};

/// Whether a caller can tell that nothing is missing.
bool
is_complete(framing f, bool whole, ending e)
{
    return whole && (f != framing::none || e != ending::reset);
}

/// Replies and ends the connection before this thread, and so the event loop,
/// goes on. Both events are then due at once.
void
reply_and_end(manual_target& target, framing f, bool whole, ending e)
{
    const std::size_t at = target.read();
    target.write(at, reply_bytes(f, whole));
    if (e != ending::reset)
    {
        target.shut_down_sending(at);
    }
    if (e != ending::end_of_stream)
    {
        target.reset(at);
    }
}

std::string
long_post(const std::string& id)
{
    return post("/q/1", id, std::string(request_bytes, 'b'));
}

caller_limits
wide_limits()
{
    caller_limits out;
    out.max_body_bytes = 2 * request_bytes;
    return out;
}

/// Calls `check` with each way to reply and to end. Without a length, half a
/// reply that ends in order is a whole one to any reader.
template <class Check>
void
for_each_reply(Check check)
{
    for (const framing f : framings)
    {
        for (const bool whole : {false, true})
        {
            for (const ending e :
                {ending::reset, ending::closed_in_order, ending::end_of_stream})
            {
                const bool ambiguous =
                    f == framing::none && !whole && e != ending::reset;
                if (!ambiguous)
                {
                    CAPTURE(static_cast<int>(f), whole, static_cast<int>(e));
                    check(f, whole, e);
                }
            }
        }
    }
}

} // namespace

// Guards against half an answer that passes for a whole one, and against a
// whole answer that is lost, when the target resets the connection while the
// request's body is still being sent.
TEST_CASE("an answer that a reset cuts off is not passed on as whole",
    "[entry][reset]")
{
    const bool idempotent = GENERATE(false, true);
    for_each_reply(
        [&](framing f, bool whole, ending e)
        {
            CAPTURE(idempotent);
            entry_vm vm;
            manual_target target(vm.loop);
            vm.pool.put(target.record("ta", "s"));
            vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, idempotent)},
                wide_limits());
            test_caller caller(vm.loop, vm.caller_address());
            caller.send_async(long_post("r1"));
            caller.run_until([&] { return target.has_input(); });
            reply_and_end(target, f, whole, e);
            const http_reply reply = caller.reply();
            if (is_complete(f, whole, e))
            {
                CHECK(reply.status == 200);
                CHECK(reply.body == reply_body());
            }
            else
            {
                CHECK(reply.status == 502);
            }
            CHECK(target.requests == 1);
        });
}

// Guards against half a part that is merged as a whole one.
TEST_CASE(
    "a part that a reset cuts off is not merged as whole", "[entry][reset]")
{
    for_each_reply(
        [](framing f, bool whole, ending e)
        {
            entry_vm vm;
            manual_target target(vm.loop);
            stand_in_target other(vm.loop, "tb",
                [](const parsed_request& r)
                { return good(r, "pb", std::string(16, '0')); });
            vm.pool.put(target.record("ta", "s0"));
            vm.pool.put(other.record("s1", "north"));
            vm.adopt(1, {entry_vm::make_route("q", {"s0", "s1"}, true, true)},
                wide_limits());
            test_caller caller(vm.loop, vm.caller_address());
            caller.send_async(long_post("r1"));
            caller.run_until([&] { return target.has_input(); });
            target.stop_accepting();
            reply_and_end(target, f, whole, e);
            const http_reply reply = caller.reply();
            REQUIRE(reply.status == 200);
            const std::string* proofs =
                find_field(reply.fields, "X-Part-Stamps");
            REQUIRE(proofs != nullptr);
            CHECK((*proofs == "pb") == !is_complete(f, whole, e));
        });
}

// Guards against half a reply of the store or of another VM that passes for a
// whole one.
TEST_CASE("a call whose reply a reset cuts off has no reply", "[entry][reset]")
{
    for_each_reply(
        [](framing f, bool whole, ending e)
        {
            entry_vm vm;
            manual_target server(vm.loop);
            call_channel channel(vm.loop, server.address());
            std::optional<call_reply> reply;
            call_request request{"PUT", "/", std::string(request_bytes, 'b')};
            // The fixture's own limit is shorter than this timeout.
            channel.call(
                request, 1h, [&](call_reply&& r) { reply = std::move(r); });
            test_caller runner(vm.loop, vm.caller_address());
            runner.run_until([&] { return server.has_input(); });
            reply_and_end(server, f, whole, e);
            runner.run_until([&] { return reply.has_value(); });
            CHECK((reply->status == 200) == is_complete(f, whole, e));
            CHECK((reply->body == reply_body()) == is_complete(f, whole, e));
            CHECK(!reply->unsent);
        });
}

// Guards against a request that is sent on for a caller whose reset was noticed
// only by the write of an interim reply.
TEST_CASE(
    "a caller that resets before its interim reply is gone", "[entry][reset]")
{
    entry_vm vm;
    stand_in_target target(vm.loop, "t",
        [](const parsed_request& r) { return good(r, "p", "done"); });
    vm.pool.put(target.record("s", "north"));
    vm.adopt(1, {entry_vm::make_route("q", {"s"}, false, false)});
    tcp::socket caller(vm.loop);
    const std::string address = vm.caller_address();
    caller.connect({boost::asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(
            std::stoi(address.substr(address.rfind(':') + 1)))});
    test_caller runner(vm.loop, address);
    vm.loop.run_for(20ms);
    // The VM's first read ends within the body.
    const std::string body(body_bytes, 'b');
    boost::asio::write(caller,
        boost::asio::buffer(
            "POST /q/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
            "X-Deadline-Ms: 4000\r\nExpect: 100-continue\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body));
    caller.set_option(tcp::socket::linger(true, 0));
    caller.close();
    runner.send(get("/q/1", "r2"));
    CHECK(runner.reply().body == "done");
    vm.loop.run_for(20ms);
    REQUIRE(target.received.size() == 1);
    CHECK(header_value(target.received.front(), "X-Request-Id") == "r2");
    CHECK(vm.counters.read()[counter::requests] == 1);
}
