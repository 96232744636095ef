#include "sub_request.hpp"

#include "config.hpp"

namespace bramleymux
{

using nlohmann::json;

namespace
{

/// Reads an enum value by its name. Returns false if the name is unknown;
/// throws json::exception if the field is missing or not a string.
template <class Enum>
bool
read_enum(const json& value, const char* key, const name_table<Enum>& names,
    Enum& out)
{
    out = from_name<Enum>(names, value.at(key).get<std::string>());
    return out != Enum::count;
}

} // namespace

json
to_json(const sub_request& request, monotonic_time now)
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        request.deadline - now);
    return json{{"id", request.id}, {"query_id", request.query_id},
        {"target", request.target_name}, {"service", request.service},
        {"route", request.route}, {"version", request.version},
        {"snapshot", request.snapshot}, {"shards", request.shards},
        {"left_us", left.count()}, {"worth", request.worth},
        {"idempotent", request.idempotent},
        {"idempotency_key", request.idempotency_key},
        {"traceparent", request.traceparent}, {"query", request.query}};
}

bool
parse_sub_request(const json& value, monotonic_time now, sub_request& out)
{
    try
    {
        value.at("id").get_to(out.id);
        value.at("query_id").get_to(out.query_id);
        value.at("target").get_to(out.target_name);
        value.at("service").get_to(out.service);
        value.at("route").get_to(out.route);
        value.at("version").get_to(out.version);
        value.at("snapshot").get_to(out.snapshot);
        value.at("shards").get_to(out.shards);
        value.at("worth").get_to(out.worth);
        value.at("idempotent").get_to(out.idempotent);
        value.at("idempotency_key").get_to(out.idempotency_key);
        value.at("traceparent").get_to(out.traceparent);
        out.query = value.at("query");
        const auto left =
            std::chrono::microseconds(value.at("left_us").get<std::int64_t>());
        if (left > config::max_deadline ||
            out.shards.size() > config::max_shards)
        {
            return false;
        }
        out.deadline = now + left;
        return true;
    }
    catch (const json::exception&)
    {
        return false;
    }
}

json
to_json(const sub_reply& reply)
{
    json shards = json::array();
    for (const shard_rows& s : reply.shards)
    {
        shards.push_back({{"shard", s.shard}, {"rows", s.rows}});
    }
    return json{{"id", reply.id}, {"error", to_string(reply.error)},
        {"run", to_string(reply.run)}, {"instance", reply.instance},
        {"version", reply.version}, {"snapshot", reply.snapshot},
        {"shards", std::move(shards)},
        {"target_us", std::chrono::duration_cast<std::chrono::microseconds>(
                          reply.target_time)
                          .count()},
        {"queue_us", std::chrono::duration_cast<std::chrono::microseconds>(
                         reply.queue_time)
                         .count()}};
}

bool
parse_sub_reply(const json& value, sub_reply& out)
{
    try
    {
        value.at("id").get_to(out.id);
        value.at("instance").get_to(out.instance);
        value.at("version").get_to(out.version);
        value.at("snapshot").get_to(out.snapshot);
        out.shards.clear();
        for (const json& s : value.at("shards"))
        {
            if (!s.at("rows").is_array())
            {
                return false;
            }
            out.shards.push_back({s.at("shard").get<shard_id>(), s.at("rows")});
        }
        out.target_time = std::chrono::microseconds(
            value.at("target_us").get<std::int64_t>());
        out.queue_time =
            std::chrono::microseconds(value.at("queue_us").get<std::int64_t>());
        return read_enum<miss_reason>(
                   value, "error", miss_reason_names, out.error) &&
               read_enum<run_state>(value, "run", run_state_names, out.run);
    }
    catch (const json::exception&)
    {
        return false;
    }
}

} // namespace bramleymux
