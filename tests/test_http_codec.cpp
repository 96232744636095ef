#include "http_codec.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;

namespace
{

constexpr read_limits limits{16 * 1024, 1024 * 1024};
constexpr std::string_view chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Parses `head` and then `repeated` without end, until the reader gives up or
/// has been given far more than its limits. Returns its last result.
template <class Read>
read_result
read_without_end(
    std::string head, const std::string& repeated, const Read& read)
{
    constexpr std::size_t far_more = 4;
    const std::size_t most =
        far_more * (limits.header_bytes + limits.body_bytes);
    std::string input = std::move(head);
    read_result result = read(input);
    for (std::size_t sent = 0; result == read_result::need_more && sent < most;
         sent += repeated.size())
    {
        input += repeated;
        result = read(input);
    }
    return result;
}

} // namespace

// Guards against a chunk size or a trailer without end that fills the memory.
TEST_CASE("an endless line of a chunked body is refused", "[entry]")
{
    const std::string filler(4096, '0');
    for (const std::string start : {"", "1;", "0\r\nX-Pad: "})
    {
        CAPTURE(start);
        reply_reader replies;
        const std::string reply_head = "HTTP/1.1 200 OK\r\n";
        CHECK(
            read_without_end(reply_head + std::string(chunked) + start, filler,
                [&](std::string& input) {
                    return replies.read(input, limits, false);
                }) != read_result::need_more);
        request_reader requests;
        const std::string request_head = "POST / HTTP/1.1\r\nHost: h\r\n";
        CHECK(read_without_end(request_head + std::string(chunked) + start,
                  filler,
                  [&](std::string& input) {
                      return requests.read(input, limits);
                  }) != read_result::need_more);
    }
}
