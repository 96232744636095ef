#include "bramleymux/admin_client.hpp"

#include <fstream>

namespace bramleymux::tools
{

namespace
{

constexpr auto call_timeout = std::chrono::seconds(15);

/// Returns the first line of the file, or an empty string if it cannot be read.
std::string
read_token(const std::string& path)
{
    std::ifstream in(path);
    std::string token;
    std::getline(in, token);
    return token;
}

} // namespace

admin_reply
call_admin(const admin_options& options, const std::string& method,
    const std::string& path, const std::string& body)
{
    admin_reply out;
    auto address = parse_http_address(options.address);
    if (!address)
    {
        out.error =
            "\"" + options.address + "\" is not an address of the form IP:port";
        return out;
    }
    if (!options.certificate.empty())
    {
        address->tls = http_tls{options.certificate, "", address->host};
    }
    http_request request{method, path, {}, body};
    if (!body.empty())
    {
        request.headers.emplace_back("Content-Type", "application/json");
    }
    if (!options.token_file.empty())
    {
        request.headers.emplace_back(
            "Authorization", "Bearer " + read_token(options.token_file));
    }
    const monotonic_time until = monotonic_clock::now() + call_timeout;
    auto connection = http_connection::open(*address, until);
    if (!connection)
    {
        out.error = "cannot connect to " + options.address;
        return out;
    }
    const auto response = connection.value().exchange(request, until);
    out.sent = response || may_have_reached_server(response.error());
    if (!response)
    {
        out.error = "no response from " + options.address + ": " +
                    std::string(to_string(response.error()));
        return out;
    }
    out.status = response.value().status;
    out.body = nlohmann::json::parse(response.value().body, nullptr, false);
    return out;
}

} // namespace bramleymux::tools
