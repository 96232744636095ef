#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages as plain structs, read incrementally from a byte stream.
namespace bramleymux
{

struct header_field
{
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// Null when absent. Names are compared without case.
const std::string*
find_field(const header_fields& fields, std::string_view name);

bool
equal_without_case(std::string_view a, std::string_view b);

/// Whether the field concerns one connection only, or frames the body.
bool
is_hop_field(const header_fields& all, std::string_view name);

struct http_request
{
    std::string method;
    std::string path; ///< with the query
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
    bool framed = true; ///< false when the body ends with the connection
};

enum class read_result
{
    need_more,
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

/// Reads one request after another from one connection.
class request_reader
{
public:
    request_reader();
    ~request_reader();

    /// Takes bytes off the front of `bytes`.
    read_result
    read(std::string& bytes, const read_limits& limits);

    /// Whether bytes of a request that is not complete have been read.
    bool
    started() const;

    bool
    header_done() const;

    /// Whether the caller waits for leave to send the body.
    bool
    expects_continue() const;

    /// The complete request; the reader is ready for the next one.
    http_request
    take();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Reads one reply after another from one connection.
class reply_reader
{
public:
    reply_reader();
    ~reply_reader();

    /// `bodiless` is for replies to HEAD requests.
    read_result
    read(std::string& bytes, const read_limits& limits, bool bodiless);

    /// The peer closed its side in order; completes a reply without length.
    read_result
    end_of_stream();

    http_reply
    take();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Head and body of a reply to a caller.
std::string
serialize(const http_reply& reply, bool bodiless);

/// Reason phrase of a status, or an empty text.
std::string_view
reason_of(int status);

} // namespace bramleymux
