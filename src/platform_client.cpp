#include "platform_client.hpp"

#include "config.hpp"

namespace bramleymux
{

using nlohmann::json;

namespace
{

enum class call_kind
{
    read,
    write,
    count
};

platform_errc
transport_error(http_errc error, call_kind kind)
{
    if (kind == call_kind::write && may_have_reached_server(error))
    {
        return platform_errc::reply_lost;
    }
    switch (error)
    {
    case http_errc::too_large:
        return platform_errc::too_large;
    case http_errc::malformed:
        return platform_errc::bad_reply;
    default:
        return platform_errc::unavailable;
    }
}

/// Maps an HTTP status; 2xx is `ok`. A 503 means that the platform refused the
/// call without effect; other server errors may follow a write that was
/// applied.
platform_errc
status_error(int status, call_kind kind)
{
    if (status >= 200 && status < 300)
    {
        return platform_errc::ok;
    }
    switch (status)
    {
    case 404:
        return platform_errc::not_found;
    case 412:
        return platform_errc::conflict;
    case 413:
        return platform_errc::too_large;
    case 429:
        return platform_errc::rate_limited;
    case 503:
        return platform_errc::unavailable;
    default:
        break;
    }
    if (status < 500)
    {
        return platform_errc::bad_reply;
    }
    return kind == call_kind::write ? platform_errc::reply_lost
                                    : platform_errc::unavailable;
}

platform_result<http_response>
call(connection_pool& pool, const http_request& request, call_kind kind,
    duration timeout = config::platform_timeout)
{
    const auto deadline = monotonic_clock::now() + timeout;
    auto response = pool.request(request, deadline);
    if (!response)
    {
        return transport_error(response.error(), kind);
    }
    const platform_errc error = status_error(response.value().status, kind);
    if (error != platform_errc::ok)
    {
        return error;
    }
    return std::move(response.value());
}

/// Calls `read` on the parsed body. Returns `parse_error` if the body is not
/// JSON or does not have the fields that `read` expects.
template <class T, class Read>
platform_result<T>
parse_reply(const http_response& response, platform_errc parse_error, Read read)
{
    try
    {
        return read(json::parse(response.body));
    }
    catch (const json::exception&)
    {
        return parse_error;
    }
}

object
read_object(const json& body)
{
    return {body.at("key").get<std::string>(),
        body.at("version").get<std::uint64_t>(), body.at("value")};
}

vm_list_entry
read_vm(const json& body)
{
    vm_list_entry out;
    body.at("id").get_to(out.id);
    body.at("zone").get_to(out.zone);
    body.at("peer_address").get_to(out.peer_address);
    out.state = body.at("state").get<std::string>() == "leaving"
                    ? vm_list_state::leaving
                    : vm_list_state::live;
    return out;
}

std::string
object_path(const std::string& key)
{
    return "/v1/objects/" + encode_path(key);
}

} // namespace

platform_client::platform_client(const http_address& address)
    : calls_(address, config::platform_connections),
      watches_(address, config::platform_connections)
{
}

platform_result<object>
platform_client::get(const std::string& key)
{
    const auto response =
        call(calls_, {"GET", object_path(key), {}, ""}, call_kind::read);
    if (!response)
    {
        return response.error();
    }
    return parse_reply<object>(
        response.value(), platform_errc::bad_reply, read_object);
}

platform_result<std::uint64_t>
platform_client::put(
    const std::string& key, const json& value, std::uint64_t expected)
{
    http_request request{"PUT", object_path(key),
        {{"Content-Type", "application/json"}},
        value.dump(-1, ' ', false, json::error_handler_t::replace)};
    if (expected == 0)
    {
        request.headers.emplace_back("If-None-Match", "*");
    }
    else
    {
        request.headers.emplace_back("If-Match", std::to_string(expected));
    }
    const auto response = call(calls_, request, call_kind::write);
    if (!response)
    {
        return response.error();
    }
    return parse_reply<std::uint64_t>(response.value(),
        platform_errc::reply_lost,
        [](const json& body)
        { return body.at("version").get<std::uint64_t>(); });
}

platform_result<void>
platform_client::remove(const std::string& key, std::uint64_t expected)
{
    const auto response = call(calls_,
        {"DELETE", object_path(key), {{"If-Match", std::to_string(expected)}},
            ""},
        call_kind::write);
    if (!response)
    {
        return response.error();
    }
    return outcome::success();
}

platform_result<std::vector<object>>
platform_client::list(const std::string& prefix)
{
    const auto response =
        call(calls_, {"GET", "/v1/list?prefix=" + encode_path(prefix), {}, ""},
            call_kind::read);
    if (!response)
    {
        return response.error();
    }
    return parse_reply<std::vector<object>>(response.value(),
        platform_errc::bad_reply,
        [](const json& body)
        {
            std::vector<object> out;
            for (const json& item : body.at("objects"))
            {
                out.push_back(read_object(item));
            }
            return out;
        });
}

platform_result<std::optional<object>>
platform_client::watch(
    const std::string& key, std::uint64_t after, duration timeout)
{
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    const auto response = call(watches_,
        {"GET",
            "/v1/watch/" + encode_path(key) +
                "?after=" + std::to_string(after) +
                "&timeout_ms=" + std::to_string(wait.count()),
            {}, ""},
        call_kind::read, timeout + config::platform_timeout);
    if (!response)
    {
        return response.error();
    }
    if (response.value().status == 204)
    {
        return std::optional<object>();
    }
    return parse_reply<std::optional<object>>(response.value(),
        platform_errc::bad_reply,
        [](const json& body) { return std::optional(read_object(body)); });
}

platform_result<std::vector<vm_list_entry>>
platform_client::vms()
{
    const auto response =
        call(calls_, {"GET", "/v1/vms", {}, ""}, call_kind::read);
    if (!response)
    {
        return response.error();
    }
    return parse_reply<std::vector<vm_list_entry>>(response.value(),
        platform_errc::bad_reply,
        [](const json& body)
        {
            std::vector<vm_list_entry> out;
            for (const json& item : body.at("vms"))
            {
                out.push_back(read_vm(item));
            }
            return out;
        });
}

} // namespace bramleymux
