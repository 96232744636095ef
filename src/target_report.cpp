#include "target_report.hpp"

#include "config.hpp"

namespace bramleymux
{

using nlohmann::json;

namespace
{

json
shards_to_json(const std::vector<shard_range>& shards)
{
    json out = json::array();
    for (const shard_range& r : shards)
    {
        out.push_back({r.first, r.last});
    }
    return out;
}

/// Parses a list of single shards and [first, last] pairs, merging adjacent
/// ranges. Returns false if a range is reversed or exceeds
/// `config::max_shards`.
bool
parse_shards(const json& value, std::vector<shard_range>& out)
{
    for (const json& item : value)
    {
        shard_range range;
        if (item.is_array())
        {
            range = {item.at(0).get<shard_id>(), item.at(1).get<shard_id>()};
        }
        else
        {
            range.first = range.last = item.get<shard_id>();
        }
        if (range.first > range.last || range.last >= config::max_shards)
        {
            return false;
        }
        if (!out.empty() && out.back().last + 1 == range.first)
        {
            out.back().last = range.last;
        }
        else
        {
            out.push_back(range);
        }
    }
    return true;
}

bool
parse_snapshots(const json& value, std::vector<held_snapshot>& out)
{
    out.clear();
    for (const json& item : value)
    {
        held_snapshot s;
        item.at("sequence").get_to(s.sequence);
        item.at("shard_count").get_to(s.shard_count);
        if (s.shard_count > config::max_shards ||
            !parse_shards(item.at("shards"), s.shards))
        {
            return false;
        }
        out.push_back(std::move(s));
    }
    return true;
}

} // namespace

json
to_json(const target_report& report)
{
    json snapshots = json::array();
    for (const held_snapshot& s : report.snapshots)
    {
        snapshots.push_back(
            {{"sequence", s.sequence}, {"shard_count", s.shard_count},
                {"shards", shards_to_json(s.shards)}});
    }
    return json{{"target", report.target}, {"instance", report.instance},
        {"publisher", report.publisher}, {"sequence", report.sequence},
        {"reachable", report.reachable}, {"draining", report.draining},
        {"slots_limit", report.slots_limit},
        {"proven_limit", report.proven_limit},
        {"snapshots", std::move(snapshots)}};
}

bool
parse_report(const json& value, target_report& out)
{
    try
    {
        value.at("target").get_to(out.target);
        value.at("instance").get_to(out.instance);
        value.at("publisher").get_to(out.publisher);
        value.at("sequence").get_to(out.sequence);
        value.at("reachable").get_to(out.reachable);
        value.at("draining").get_to(out.draining);
        value.at("slots_limit").get_to(out.slots_limit);
        value.at("proven_limit").get_to(out.proven_limit);
        return parse_snapshots(value.at("snapshots"), out.snapshots);
    }
    catch (const json::exception&)
    {
        return false;
    }
}

bool
parse_status(const json& value, target_report& out)
{
    try
    {
        value.at("instance").get_to(out.instance);
        out.draining = value.at("state").get<std::string>() == "draining";
        out.slots_limit = value.value("slots_limit", 0U);
        return parse_snapshots(value.at("snapshots"), out.snapshots);
    }
    catch (const json::exception&)
    {
        return false;
    }
}

} // namespace bramleymux
