#include "../common-3/standin.hpp"

// Requesters that read slowly: each reads nothing for four seconds after its
// answer has begun to arrive, well within its time limit, and then reads.
// Checks LOST: requests from kept connections that were passed on to a sound
// searcher and got no answer.

using namespace review;

namespace
{

constexpr int requesters = 8;
constexpr int stall_ms = 4000;
constexpr int time_limit_ms = 8000;
constexpr std::size_t answer_bytes = 9000; // the longest of the route
constexpr int receive_buffer_bytes = 4096;
constexpr int lost_allowed = 3;

void
serve(const connection_ptr& c, record_file& record)
{
    message request;
    while (c->read(request, 600000))
    {
        const std::string id = request.field("X-Request-Id");
        if (id.empty())
        {
            c->send(http_reply(200, "X-Instance-Id: s-1\r\n", ""));
            continue;
        }
        record.write("run " + id);
        sleep_ms(50);
        const bool answered = c->send(http_reply(200,
            "X-Request-Id: " + id + "\r\nX-Response-Stamp: 3e1b." + id + "\r\n",
            std::string(answer_bytes, 'r')));
        record.write("the searcher has " +
                     std::string(answered ? "answered " : "not answered ") +
                     id);
    }
}

/// A caller's connection with a small receive buffer.
connection_ptr
dial_slow_reader(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
        sizeof receive_buffer_bytes);
    const sockaddr_in to = loopback("127.0.0.1", port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<connection>(fd);
}

/// Returns whether a whole answer came.
bool
ask(connection& c, const std::string& id, int pause_ms, record_file& record)
{
    const auto start = steady::now();
    message reply;
    bool whole =
        c.send("GET /ficha12/2f HTTP/1.1\r\nHost: hufi27.example\r\n"
               "X-Request-Id: " +
               id + "\r\nX-Deadline-Ms: " + std::to_string(time_limit_ms) +
               "\r\n\r\n") &&
        c.wait_input(time_limit_ms);
    sleep_ms(whole ? pause_ms : 0);
    const int left_ms =
        time_limit_ms - static_cast<int>(seconds_since(start) * 1000);
    whole =
        whole && c.read(reply, left_ms) && reply.body.size() == answer_bytes;
    record.write(id + ": " + (whole ? "a whole answer" : "no whole answer") +
                 ", status " + std::to_string(reply.status()) + ", after " +
                 std::to_string(seconds_since(start)) + " s");
    return whole;
}

} // namespace

int
main(int argc, char** argv)
{
    if (argc < 4)
    {
        return cannot_run;
    }
    const std::string root = argv[1];
    const std::string scratch = argv[2];
    record_file record(std::string(argv[3]) + "/record.txt");
    const char* mode = std::getenv("TROUBLE");
    const bool trouble = mode == nullptr || std::string(mode) != "0";

    store platform;
    const listener searcher([&](const connection_ptr& c) { serve(c, record); });
    platform.put("config", "main",
        {{"version", 7},
            {"routes",
                {{{"name", "r-1"}, {"host", "hufi27.example"},
                    {"pathPrefix", "/ficha12/"}, {"routeType", "safe"},
                    {"timeoutMs", time_limit_ms}, {"targetLatencyMs", 800},
                    {"priority", 2}, {"service", "kafi81c"}, {"attempts", 2}}}},
            {"services", {service_entry("kafi81c", 560)}},
            {"limits", page_limits()}});
    platform.put(
        "servers", "s-1", searcher_entry("kafi81c", searcher.address(), 6));
    entry_process entry(root, scratch, platform.address(), {});
    if (!entry.wait_ready(15000))
    {
        record.write("the program is not ready");
        return cannot_run;
    }
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < requesters; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                const auto c = dial_slow_reader(entry.port());
                const std::string id = "q-" + std::to_string(i);
                // The first answer is read at once, and the connection kept.
                if (!c || !ask(*c, id + "-first", 0, record))
                {
                    return;
                }
                ++served;
                lost += ask(*c, id + "-slow", trouble ? stall_ms : 0, record)
                            ? 0
                            : 1;
            });
    }
    for (std::thread& t : threads)
    {
        t.join();
    }
    record.write("kept connections: " + std::to_string(served) +
                 ", requests without an answer: " + std::to_string(lost));
    const bool ended = entry.has_ended();
    entry.end();
    std::_Exit(lost > lost_allowed            ? broken
               : ended || served < requesters ? cannot_run
                                              : held);
}
