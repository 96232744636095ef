#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Incremental parsers for HTTP/1.1 requests and replies, and serialization of
/// replies.
namespace bramleymux
{

struct header_field
{
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// Returns the value of the first field with that name, compared without regard
/// to case, or null. The pointer refers to `fields`.
const std::string*
find_field(const header_fields& fields, std::string_view name);

/// Compares ASCII strings without regard to case.
bool
equal_ignoring_case(std::string_view a, std::string_view b);

/// Returns true for fields that must not be forwarded: hop-by-hop fields,
/// including those that a Connection field of `all` lists, and Content-Length.
bool
is_hop_by_hop_field(const header_fields& all, std::string_view name);

struct parsed_request
{
    std::string method;
    std::string path; ///< including the query string
    header_fields fields;
    std::string body;
    bool keep_alive = true;
};

struct http_reply
{
    int status = 0;
    header_fields fields;
    std::string body;
    bool keep_alive = true;
    bool framed = true; ///< false if the end of the connection ends the body
};

enum class read_result
{
    need_more, ///< message incomplete; call again with more bytes
    complete,
    bad, ///< not HTTP, or ambiguous framing
    header_too_long,
    body_too_long,
    count
};

struct read_limits
{
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
};

/// Parses the successive requests of one connection.
class request_reader
{
public:
    request_reader();
    ~request_reader();

    /// Parses and removes bytes from the front of `bytes`. The limits apply
    /// from the start of a request; later values are ignored until take().
    read_result
    read(std::string& bytes, const read_limits& limits);

    /// Returns true if bytes of a request have been read that take() has not
    /// returned yet.
    bool
    started() const;

    bool
    header_done() const;

    /// Returns true if the caller waits for "100 Continue" before it sends the
    /// body.
    bool
    expects_continue() const;

    /// Returns the size of the body received so far.
    std::size_t
    held_bytes() const;

    /// Discards the request that is being read.
    void
    reset();

    /// Returns the request after read() reported `complete`, and prepares for
    /// the next one.
    parsed_request
    take();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Parses the successive replies of one connection. Interim (1xx) replies are
/// skipped. A reply is `bad` as soon as its header is read if its status is
/// none of a final reply, which is from 200 to 599, and it is no interim reply:
/// one with a body or without a reply after it, or 101, which no request asks
/// for.
class reply_reader
{
public:
    reply_reader();
    ~reply_reader();

    /// Like request_reader::read(). `bodiless` marks the reply to a HEAD
    /// request.
    read_result
    read(std::string& bytes, const read_limits& limits, bool bodiless);

    /// Call when the peer has closed its side. Returns `complete` if that ends
    /// the body of a reply without a length, and `bad` otherwise.
    read_result
    end_of_stream();

    /// Returns the status of the reply that is being read, or that was found
    /// bad; 0 if it is unreadable.
    int
    status() const;

    /// Returns the size of the body received so far.
    std::size_t
    held_bytes() const;

    /// Returns the reply after read() or end_of_stream() reported `complete`,
    /// and prepares for the next one.
    http_reply
    take();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Formats a reply. Adds Content-Length unless the status excludes a body, and
/// leaves the body out if `bodiless`.
std::string
serialize(const http_reply& reply, bool bodiless);

/// Returns the reason phrase of a status code.
std::string_view
reason_phrase(int status);

} // namespace bramleymux
