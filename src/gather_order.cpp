#include "gather_order.hpp"

#include "config.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr const char* rest_query = "?rest=";

std::int64_t
microseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

duration
duration_of(const json& value)
{
    return std::chrono::microseconds(std::clamp<std::int64_t>(
        value.get<std::int64_t>(), 0, microseconds(config::max_order_time)));
}

json
binary(const std::string& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string
bytes_of(const json& value)
{
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string
rest_path(std::uint64_t rest)
{
    return std::string(gather_path) + rest_query + std::to_string(rest);
}

std::uint64_t
parse_rest_path(const std::string& path)
{
    const std::string prefix = std::string(gather_path) + rest_query;
    std::uint64_t out = 0;
    if (path.compare(0, prefix.size(), prefix) == 0)
    {
        std::from_chars(
            path.data() + prefix.size(), path.data() + path.size(), out);
    }
    return out;
}

std::string
encode_order(const gather_order& order)
{
    json fields = json::array();
    for (const header_field& field : order.message.forwarded)
    {
        fields.push_back({field.name, field.value});
    }
    const caller_message& m = order.message;
    json value{{"id", m.id}, {"host", m.host}, {"method", m.method},
        {"path", m.path}, {"fields", std::move(fields)},
        {"body", binary(m.body)},
        {"left", microseconds(m.time_left.value_or(duration::zero()))},
        {"within", microseconds(order.reply_within)},
        {"rest", microseconds(order.rest_within)},
        {"expected", microseconds(order.expected)},
        {"limit", order.result_limit}, {"least", order.min_shards},
        {"shards", order.shards}};
    if (!m.workspace.empty())
    {
        value["workspace"] = m.workspace;
    }
    std::string out;
    json::to_cbor(value, out);
    return out;
}

std::optional<gather_order>
decode_order(const std::string& bytes)
{
    try
    {
        const json value = json::from_cbor(bytes);
        gather_order out;
        caller_message& m = out.message;
        m.id = value.at("id").get<std::string>();
        m.host = value.at("host").get<std::string>();
        m.method = value.at("method").get<std::string>();
        m.path = value.at("path").get<std::string>();
        for (const json& field : value.at("fields"))
        {
            m.forwarded.push_back({field.at(0).get<std::string>(),
                field.at(1).get<std::string>()});
        }
        m.workspace = value.value("workspace", std::string());
        m.body = bytes_of(value.at("body"));
        m.time_left = duration_of(value.at("left"));
        out.reply_within = duration_of(value.at("within"));
        out.rest_within = duration_of(value.at("rest"));
        out.expected = duration_of(value.at("expected"));
        out.result_limit = value.at("limit").get<std::size_t>();
        out.min_shards = value.at("least").get<std::size_t>();
        out.shards = value.at("shards").get<std::vector<std::string>>();
        return out.shards.empty() ? std::nullopt
                                  : std::optional<gather_order>(std::move(out));
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

namespace
{

/// Lists the notices with the index of their part.
json
encode_notices(const std::vector<gather_part>& parts)
{
    json out = json::array();
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        if (const auto& notice = parts[i].notice)
        {
            out.push_back({i, notice->target_id, notice->started_ms,
                notice->rate_limit ? json(*notice->rate_limit) : json(),
                notice->leaving});
        }
    }
    return out;
}

void
decode_notices(const json& notices, std::vector<gather_part>& parts)
{
    for (const json& value : notices)
    {
        shared_notice notice;
        notice.target_id = value.at(1).get<std::string>();
        notice.started_ms = value.at(2).get<std::uint64_t>();
        if (!value.at(3).is_null())
        {
            notice.rate_limit = std::max(value.at(3).get<double>(), 0.0);
        }
        notice.leaving = value.at(4).get<bool>();
        const auto index = value.at(0).get<std::size_t>();
        if (index < parts.size())
        {
            parts[index].notice = std::move(notice);
        }
    }
}

} // namespace

std::string
encode_parts(const gather_parts& parts)
{
    json states = json::array();
    json proofs = json::array();
    json times = json::array();
    json bodies = json::array();
    for (const gather_part& part : parts.parts)
    {
        states.push_back(static_cast<int>(part.state));
        if (part.state == part_state::answered)
        {
            proofs.push_back(part.proof);
            times.push_back(microseconds(part.took));
            bodies.push_back(binary(part.records));
        }
    }
    json message{{"states", std::move(states)}, {"proofs", std::move(proofs)},
        {"times", std::move(times)}, {"bodies", std::move(bodies)},
        {"rest", parts.rest}, {"records", binary(parts.records)}};
    json notices = encode_notices(parts.parts);
    if (!notices.empty())
    {
        message["notices"] = std::move(notices);
    }
    std::string out;
    json::to_cbor(message, out);
    return out;
}

std::optional<gather_parts>
decode_parts(const std::string& bytes)
{
    try
    {
        const json value = json::from_cbor(bytes);
        gather_parts out;
        std::size_t answered = 0;
        for (const json& state : value.at("states"))
        {
            gather_part part;
            const auto number = state.get<std::size_t>();
            if (number >= static_cast<std::size_t>(part_state::count))
            {
                return std::nullopt;
            }
            part.state = static_cast<part_state>(number);
            if (part.state == part_state::answered)
            {
                part.proof = value.at("proofs").at(answered).get<std::string>();
                part.took = duration_of(value.at("times").at(answered));
                part.records = bytes_of(value.at("bodies").at(answered));
                ++answered;
            }
            out.parts.push_back(std::move(part));
        }
        if (value.contains("notices"))
        {
            decode_notices(value.at("notices"), out.parts);
        }
        out.records = bytes_of(value.at("records"));
        out.rest = value.at("rest").get<std::uint64_t>();
        return out;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace bramleymux
