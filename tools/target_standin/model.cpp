#include "target_standin/model.hpp"

#include <algorithm>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

/// Leaves `out` unchanged if the field is absent or null.
template <class T>
void
read(const json& value, const char* name, T& out)
{
    const auto it = value.find(name);
    if (it != value.end() && !it->is_null())
    {
        it->get_to(out);
    }
}

template <class T>
void
read(const json& value, const char* name, std::optional<T>& out)
{
    const auto it = value.find(name);
    if (it != value.end() && !it->is_null())
    {
        out = it->template get<T>();
    }
}

/// Returns the object of this name, or an empty one if it is absent or not an
/// object.
json
section(const json& value, const char* name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_object() ? *it : json::object();
}

/// Parses an array of shard ids and inclusive [first, last] ranges.
std::vector<shard_id>
parse_shard_list(const json& value)
{
    std::vector<shard_id> out;
    for (const json& item : value)
    {
        const bool pair = item.is_array();
        const auto first = (pair ? item.at(0) : item).get<shard_id>();
        const auto last = (pair ? item.at(1) : item).get<shard_id>();
        for (shard_id s = first; s <= last; ++s)
        {
            out.push_back(s);
        }
    }
    return out;
}

} // namespace

service_data::service_data(std::string name) : name_(std::move(name)) {}

void
service_data::configure(const json& value)
{
    const std::lock_guard lock(mutex_);
    read(value, "row_count", row_count_);
    if (!value.contains("snapshots"))
    {
        return;
    }
    decltype(snapshots_) next;
    for (const json& item : value.at("snapshots"))
    {
        auto data = std::make_shared<snapshot_data>();
        data->shard_count =
            std::max(1U, item.at("shard_count").get<std::uint32_t>());
        data->keys = partition_keys(row_count_, data->shard_count);
        next[item.at("sequence").get<snapshot_sequence>()] = std::move(data);
    }
    snapshots_ = std::move(next);
}

std::map<snapshot_sequence, std::shared_ptr<const snapshot_data>>
service_data::snapshots() const
{
    const std::lock_guard lock(mutex_);
    return snapshots_;
}

bool
holds_shard(const placement& value, snapshot_sequence sequence, shard_id shard)
{
    if (value.sequences &&
        std::find(value.sequences->begin(), value.sequences->end(), sequence) ==
            value.sequences->end())
    {
        return false;
    }
    const auto listed = value.explicit_shards.find(sequence);
    if (listed != value.explicit_shards.end())
    {
        const auto& shards = listed->second;
        return std::find(shards.begin(), shards.end(), shard) != shards.end();
    }
    // The copies of a shard are on targets with consecutive indexes.
    const std::uint32_t distance =
        (value.index + value.of - shard % value.of) % value.of;
    return distance < value.copies;
}

placement
parse_placement(const json& target)
{
    placement out;
    const json place = section(target, "placement");
    read(place, "index", out.index);
    read(place, "of", out.of);
    read(place, "copies", out.copies);
    read(target, "sequences", out.sequences);
    out.of = std::max(1U, out.of);
    out.index %= out.of;
    const json listed = section(target, "shards");
    for (const auto& item : listed.items())
    {
        out.explicit_shards[std::stoull(item.key())] =
            parse_shard_list(item.value());
    }
    return out;
}

target_config
parse_target_config(const json& value)
{
    target_config out;
    value.at("name").get_to(out.name);
    value.at("address").get_to(out.address);
    value.at("service").get_to(out.service);
    value.at("version").get_to(out.version);
    value.at("zone").get_to(out.zone);
    read(value, "slots", out.slots);
    read(value, "queue", out.queue);
    read(value, "connections", out.connections);
    read(value, "connect_cost_ms", out.connect_cost_ms);
    const json cold = section(value, "cold");
    read(cold, "limit", out.cold_limit);
    read(cold, "warm_after_requests", out.warm_after_requests);
    read(cold, "cold_factor", out.cold_factor);
    read(cold, "at_start", out.starts_cold);
    const json latency = section(value, "latency");
    read(latency, "median_us", out.median_us);
    read(latency, "sigma", out.sigma);
    out.placed = parse_placement(value);
    return out;
}

target_faults
parse_faults(const json& value)
{
    target_faults out;
    const json straggle = section(value, "straggle");
    read(straggle, "probability", out.straggle_probability);
    read(straggle, "factor", out.straggle_factor);
    const json fail = section(value, "fail");
    read(fail, "probability", out.fail_probability);
    read(fail, "route", out.fail_route);
    const json slow = section(value, "slow");
    read(slow, "factor", out.slow_factor);
    read(slow, "route", out.slow_route);
    read(slow, "above_load", out.slow_above_load);
    const json late = section(value, "late");
    read(late, "probability", out.late_probability);
    read(late, "delay_ms", out.late_ms);
    read(value, "shed", out.shed);
    read(value, "wrong_snapshot", out.wrong_snapshot);
    read(value, "wrong_shard", out.wrong_shard);
    read(value, "crossed", out.crossed);
    read(value, "truncated", out.truncated);
    read(value, "lose_reply", out.lose_reply);
    read(value, "hang", out.hang);
    const json status = section(value, "false_status");
    read(status, "down", out.status_down);
    read(status, "state", out.status_state);
    read(status, "slots_limit", out.status_slots_limit);
    read(status, "slots_used", out.status_slots_used);
    return out;
}

} // namespace bramleymux::tools
