#include "conduct.hpp"

#include "answers.hpp"

#include <iterator>
#include <sstream>

namespace bramleymux::soak
{

namespace
{

// Shares of behaviours, in thousandths; the others serve with a length.
constexpr std::uint64_t thousand = 1000;
constexpr std::uint64_t denied_runs = 20;
constexpr std::uint64_t rejections = 15;
constexpr std::uint64_t resets = 5;
constexpr std::uint64_t other_framings = 40;
constexpr std::uint64_t cuts = 15;
constexpr std::uint64_t early_replies = 600; // of long requests

// Without 421: a target that answers it is another process than the one meant,
// by which it states that it did not run the request.
constexpr int promises[] = {408, 429, 503};
constexpr int rejection_statuses[] = {429, 503};

std::string
chunk(const std::string& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

} // namespace

conduct_source::conduct_source(std::uint64_t seed) : random_(seed) {}

std::uint64_t
conduct_source::random(std::uint64_t low, std::uint64_t high)
{
    return std::uniform_int_distribution<std::uint64_t>(low, high)(random_);
}

framing
conduct_source::any_framing()
{
    return static_cast<framing>(
        random(0, static_cast<std::uint64_t>(framing::count) - 1));
}

conduct
conduct_source::next()
{
    conduct out;
    std::uint64_t share = random(1, thousand);
    const auto is_next = [&share](std::uint64_t size)
    {
        const bool hit = share <= size;
        share -= hit ? 0 : size;
        return hit;
    };
    if (is_next(denied_runs))
    {
        out.status = promises[random(0, std::size(promises) - 1)];
    }
    else if (is_next(rejections))
    {
        out.runs = false;
        out.status =
            rejection_statuses[random(0, std::size(rejection_statuses) - 1)];
    }
    else if (is_next(resets))
    {
        out.resets = true;
    }
    else if (is_next(other_framings))
    {
        out.body_framing = any_framing();
        out.ends_in_order = random(0, 1) == 1;
    }
    else if (is_next(cuts))
    {
        out.body_framing = any_framing();
        out.cut = true;
    }
    return out;
}

std::optional<conduct>
conduct_source::next_early()
{
    if (random(1, thousand) > early_replies)
    {
        return std::nullopt;
    }
    conduct out;
    out.body_framing = any_framing();
    out.cut = random(0, 1) == 1;
    out.ends_in_order = !out.cut;
    return out;
}

fixture::scripted_reply
reply_of(const conduct& c, const std::string& fields, const std::string& body)
{
    if (c.resets)
    {
        return {"", false, true};
    }
    constexpr int first_redirect = 300;
    if (c.status >= first_redirect)
    {
        const std::string more = c.runs ? "" : "X-Not-Executed: 1\r\n";
        return {fixture::http_text(c.status, fields + more, "failed")};
    }
    // Half a body, of whole records if it is a part.
    const std::string sent =
        c.cut ? body.substr(0, body.size() / 2 / record_bytes * record_bytes)
              : body;
    std::string bytes =
        "HTTP/1.1 " + std::to_string(c.status) + " X\r\n" + fields;
    switch (c.body_framing)
    {
    case framing::length:
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 sent;
        break;
    case framing::chunked:
        bytes += "Transfer-Encoding: chunked\r\n\r\n" +
                 (sent.empty() ? "" : chunk(sent)) + (c.cut ? "" : "0\r\n\r\n");
        break;
    default:
        bytes += "Connection: close\r\n\r\n" + sent;
    }
    const bool ends =
        c.ends_in_order || (!c.cut && c.body_framing == framing::none);
    return {bytes, ends, c.cut};
}

} // namespace bramleymux::soak
