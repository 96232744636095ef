#include "http_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace bramleymux
{

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace
{

char
to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 9> hop_by_hop_names{"connection",
    "keep-alive", "proxy-connection", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"};

/// Returns true if `name` is an element of the comma-separated `list`.
bool
list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty())
    {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ')
        {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ')
        {
            item.remove_suffix(1);
        }
        if (equal_ignoring_case(item, name))
        {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

template <class Message>
header_fields
to_header_fields(const Message& message)
{
    header_fields out;
    for (const auto& field : message)
    {
        const auto name = field.name_string();
        const auto value = field.value();
        out.push_back({std::string(name.data(), name.size()),
            std::string(value.data(), value.size())});
    }
    return out;
}

read_result
to_read_result(error_code error)
{
    if (error == http::error::need_more)
    {
        return read_result::need_more;
    }
    if (error == http::error::header_limit)
    {
        return read_result::header_too_long;
    }
    if (error == http::error::body_limit)
    {
        return read_result::body_too_long;
    }
    return read_result::bad;
}

/// Parses `bytes` until the message is complete, and removes what was parsed.
/// What is left of an incomplete message is an unfinished line of a header, a
/// chunk size or a trailer; the parser limits only the header.
template <class Parser>
read_result
feed(Parser& parser, std::string& bytes, const read_limits& limits)
{
    std::size_t consumed = 0;
    read_result result = read_result::need_more;
    while (!parser.is_done() && consumed < bytes.size())
    {
        error_code error;
        const std::size_t n =
            parser.put(boost::asio::buffer(
                           bytes.data() + consumed, bytes.size() - consumed),
                error);
        consumed += n;
        if (error)
        {
            result = to_read_result(error);
            break;
        }
        if (n == 0)
        {
            break;
        }
    }
    bytes.erase(0, consumed);
    if (parser.is_done())
    {
        return read_result::complete;
    }
    const bool unfinished_line =
        result == read_result::need_more && bytes.size() > limits.header_bytes;
    return unfinished_line ? read_result::header_too_long : result;
}

/// Returns false for a transfer coding other than a single "chunked", with
/// which the length of the body is ambiguous, and for more than one Host field:
/// request smuggling exploits both.
template <class Message>
bool
has_unambiguous_framing(const Message& message)
{
    const auto [first, last] =
        message.equal_range(http::field::transfer_encoding);
    std::size_t codings = 0;
    for (auto it = first; it != last; ++it)
    {
        const auto value = it->value();
        if (!equal_ignoring_case({value.data(), value.size()}, "chunked"))
        {
            return false;
        }
        ++codings;
    }
    return codings <= 1 && message.count(http::field::host) <= 1;
}

} // namespace

bool
equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return to_lower(x) == to_lower(y); });
}

const std::string*
find_field(const header_fields& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(),
        [&](const header_field& f)
        { return equal_ignoring_case(f.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

bool
is_hop_by_hop_field(const header_fields& all, std::string_view name)
{
    if (equal_ignoring_case(name, "content-length") ||
        std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
            [&](std::string_view n) { return equal_ignoring_case(n, name); }))
    {
        return true;
    }
    return std::any_of(all.begin(), all.end(),
        [&](const header_field& f)
        {
            return equal_ignoring_case(f.name, "connection") &&
                   list_contains(f.value, name);
        });
}

struct request_reader::state
{
    std::optional<http::request_parser<http::string_body>> parser;
    bool received_any = false;
};

request_reader::request_reader() : state_(std::make_unique<state>()) {}

request_reader::~request_reader() = default;

read_result
request_reader::read(std::string& bytes, const read_limits& limits)
{
    if (!state_->parser)
    {
        state_->parser.emplace();
        state_->parser->eager(true);
        state_->parser->header_limit(
            static_cast<std::uint32_t>(limits.header_bytes));
        state_->parser->body_limit(limits.body_bytes);
        state_->received_any = false;
    }
    state_->received_any = state_->received_any || !bytes.empty();
    const read_result result = feed(*state_->parser, bytes, limits);
    if (state_->parser->is_header_done() &&
        !has_unambiguous_framing(state_->parser->get()))
    {
        return read_result::bad;
    }
    return result;
}

bool
request_reader::started() const
{
    return state_->parser && state_->received_any;
}

bool
request_reader::header_done() const
{
    return state_->parser && state_->parser->is_header_done();
}

bool
request_reader::expects_continue() const
{
    return header_done() &&
           boost::beast::iequals(
               state_->parser->get()[http::field::expect], "100-continue");
}

std::size_t
request_reader::held_bytes() const
{
    return state_->parser ? state_->parser->get().body().size() : 0;
}

void
request_reader::reset()
{
    state_->parser.reset();
}

parsed_request
request_reader::take()
{
    auto message = state_->parser->release();
    state_->parser.reset();
    parsed_request out;
    out.method = std::string(message.method_string());
    out.path = std::string(message.target());
    out.fields = to_header_fields(message);
    out.keep_alive = message.keep_alive();
    out.body = std::move(message.body());
    return out;
}

namespace
{

constexpr int first_final_status = 200;
constexpr int last_final_status = 599;
constexpr int first_interim_status = 100;
constexpr int switching_protocols = 101;

/// Returns whether another reply follows this one. An interim reply has no body
/// and does not end the connection; one that does was meant as the final reply.
template <class Message>
bool
is_interim(const Message& message)
{
    const auto status = static_cast<int>(message.result_int());
    return status >= first_interim_status && status < first_final_status &&
           status != switching_protocols && message.keep_alive() &&
           message.count(http::field::content_length) == 0 &&
           message.count(http::field::transfer_encoding) == 0;
}

template <class Message>
bool
is_final(const Message& message)
{
    const auto status = static_cast<int>(message.result_int());
    return status >= first_final_status && status <= last_final_status;
}

} // namespace

struct reply_reader::state
{
    std::optional<http::response_parser<http::string_body>> parser;
    bool ended_by_close = false;
};

reply_reader::reply_reader() : state_(std::make_unique<state>()) {}

reply_reader::~reply_reader() = default;

read_result
reply_reader::read(std::string& bytes, const read_limits& limits, bool bodiless)
{
    if (!state_->parser)
    {
        state_->parser.emplace();
        state_->parser->eager(true);
        state_->parser->header_limit(
            static_cast<std::uint32_t>(limits.header_bytes));
        state_->parser->body_limit(limits.body_bytes);
        state_->parser->skip(bodiless);
        state_->ended_by_close = false;
    }
    read_result result = feed(*state_->parser, bytes, limits);
    if (!state_->parser->is_header_done())
    {
        return result;
    }
    const auto& message = state_->parser->get();
    if (result == read_result::complete && is_interim(message))
    {
        state_->parser.reset();
        return bytes.empty() ? read_result::need_more
                             : read(bytes, limits, bodiless);
    }
    return is_final(message) && has_unambiguous_framing(message)
               ? result
               : read_result::bad;
}

read_result
reply_reader::end_of_stream()
{
    if (!state_->parser || !state_->parser->is_header_done())
    {
        return read_result::bad;
    }
    error_code error;
    state_->parser->put_eof(error);
    state_->ended_by_close = true;
    return error || !state_->parser->is_done() ? read_result::bad
                                               : read_result::complete;
}

int
reply_reader::status() const
{
    return state_->parser && state_->parser->is_header_done()
               ? static_cast<int>(state_->parser->get().result_int())
               : 0;
}

std::size_t
reply_reader::held_bytes() const
{
    return state_->parser ? state_->parser->get().body().size() : 0;
}

http_reply
reply_reader::take()
{
    auto message = state_->parser->release();
    state_->parser.reset();
    http_reply out;
    out.status = static_cast<int>(message.result_int());
    out.fields = to_header_fields(message);
    out.framed = !state_->ended_by_close;
    out.keep_alive = message.keep_alive() && out.framed;
    out.body = std::move(message.body());
    return out;
}

std::string_view
reason_phrase(int status)
{
    const auto text = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

std::string
serialize(const http_reply& reply, bool bodiless)
{
    std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " ";
    out += reason_phrase(reply.status);
    out += "\r\n";
    for (const header_field& field : reply.fields)
    {
        out += field.name + ": " + field.value + "\r\n";
    }
    if (reply.status != 204 && reply.status != 304)
    {
        out += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
    }
    if (!reply.keep_alive)
    {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    if (!bodiless && reply.status != 204 && reply.status != 304)
    {
        // Exactly, as growth by doubling would hold twice the answer.
        out.reserve(out.size() + reply.body.size());
        out += reply.body;
    }
    return out;
}

} // namespace bramleymux
