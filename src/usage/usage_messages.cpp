#include "usage/usage_messages.hpp"

#include "config.hpp"
#include "config/keys.hpp"
#include "config/usage.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr const char* window_query = "?window=";

/// Stops the parser at input that is nested too deeply or has too many items,
/// since the parser recurses and allocates for them.
class bounds_checker : public json::json_sax_t
{
public:
    explicit bounds_checker(std::size_t max_items) : left_(max_items) {}

    bool
    null() override
    {
        return item();
    }
    bool
    boolean(bool /*value*/) override
    {
        return item();
    }
    bool
    number_integer(number_integer_t /*value*/) override
    {
        return item();
    }
    bool
    number_unsigned(number_unsigned_t /*value*/) override
    {
        return item();
    }
    bool
    number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return item();
    }
    bool
    string(string_t& /*value*/) override
    {
        return item();
    }
    bool
    binary(binary_t& /*value*/) override
    {
        return false;
    }
    bool
    start_object(std::size_t /*size*/) override
    {
        return enter();
    }
    bool
    key(string_t& /*value*/) override
    {
        return true;
    }
    bool
    end_object() override
    {
        --depth_;
        return true;
    }
    bool
    start_array(std::size_t /*size*/) override
    {
        return enter();
    }
    bool
    end_array() override
    {
        --depth_;
        return true;
    }
    bool
    parse_error(std::size_t /*at*/, const std::string& /*token*/,
        const json::exception& /*error*/) override
    {
        return false;
    }

private:
    bool
    item()
    {
        return left_ > 0 && left_-- > 0;
    }

    bool
    enter()
    {
        return ++depth_ <= config::max_usage_message_depth && item();
    }

    std::size_t left_;
    std::size_t depth_ = 0;
};

/// Returns a discarded value if the bytes are malformed or out of bounds.
json
parse(const std::string& bytes, std::size_t max_bytes, std::size_t max_items)
{
    bounds_checker checker(max_items);
    if (bytes.size() > max_bytes ||
        !json::sax_parse(bytes, &checker, json::input_format_t::cbor))
    {
        return json(json::value_t::discarded);
    }
    return json::from_cbor(bytes, true, false);
}

std::int64_t
microseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

/// Returns nullopt for a time that does not fit, at most some 290 years.
std::optional<duration>
duration_of(const json& value)
{
    constexpr auto longest =
        std::chrono::duration_cast<std::chrono::microseconds>(duration::max());
    const auto count = value.get<std::int64_t>();
    if (count < 0 || count >= longest.count())
    {
        return std::nullopt;
    }
    return std::chrono::microseconds(count);
}

std::optional<workspace_counts>
counts_of(const json& value)
{
    if (!value.is_object() || value.size() > config::max_usage_workspaces)
    {
        return std::nullopt;
    }
    workspace_counts out;
    for (const auto& [name, count] : value.items())
    {
        if (name.size() > config::max_workspace_name_bytes ||
            !count.is_number_unsigned())
        {
            return std::nullopt;
        }
        out.emplace(name, count.get<std::uint64_t>());
    }
    return out;
}

std::optional<reported_window>
window_from(const json& value)
{
    reported_window out;
    out.id = value.at(0).get<window_id>();
    out.closed = value.at(1).get<bool>();
    out.exact = value.at(2).get<bool>();
    auto counts = counts_of(value.at(3));
    if (!counts)
    {
        return std::nullopt;
    }
    out.counts = std::move(*counts);
    return out;
}

std::optional<std::string>
vm_from(const json& value)
{
    auto out = value.get<std::string>();
    const bool usable =
        !out.empty() && out.size() <= config::max_object_name_bytes;
    return usable ? std::optional<std::string>(std::move(out)) : std::nullopt;
}

std::optional<usage_message>
message_from(const json& value)
{
    usage_message out;
    auto vm = vm_from(value.at("vm"));
    const auto time = duration_of(value.at("time"));
    const json& windows = value.at("windows");
    if (!vm || !time || !windows.is_array() ||
        windows.size() > config::max_usage_windows)
    {
        return std::nullopt;
    }
    out.vm = std::move(*vm);
    out.time = *time;
    out.process = value.at("process").get<std::uint64_t>();
    out.sequence = value.at("sequence").get<std::uint64_t>();
    out.first = value.at("first").get<window_id>();
    for (const json& item : windows)
    {
        auto window = window_from(item);
        if (!window)
        {
            return std::nullopt;
        }
        out.windows.push_back(std::move(*window));
    }
    return out;
}

std::optional<source_usage>
source_from(const json& value)
{
    source_usage out;
    auto vm = vm_from(value.at(0));
    auto counts = counts_of(value.at(4));
    if (!vm || !counts)
    {
        return std::nullopt;
    }
    out.vm = std::move(*vm);
    out.process = value.at(1).get<std::uint64_t>();
    out.sequence = value.at(2).get<std::uint64_t>();
    out.complete = value.at(3).get<bool>();
    out.counts = std::move(*counts);
    return out;
}

/// Calls `decode` and turns the exceptions of the JSON library, which a missing
/// field or a wrong type causes, into nullopt.
template <class Decode>
auto
guarded(Decode decode) -> decltype(decode())
{
    try
    {
        return decode();
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

std::string
to_bytes(const json& value)
{
    std::string out;
    json::to_cbor(value, out);
    return out;
}

} // namespace

std::string
window_path(window_id window)
{
    return std::string(usage_path) + window_query + std::to_string(window);
}

std::optional<window_id>
parse_window_path(const std::string& path)
{
    const std::string prefix = std::string(usage_path) + window_query;
    if (path.compare(0, prefix.size(), prefix) != 0)
    {
        return std::nullopt;
    }
    window_id out = 0;
    const char* end = path.data() + path.size();
    const auto result = std::from_chars(path.data() + prefix.size(), end, out);
    const bool whole = result.ec == std::errc() && result.ptr == end;
    return whole ? std::optional<window_id>(out) : std::nullopt;
}

void
limit_bytes(usage_message& message)
{
    // A count takes at most its name and 12 bytes.
    constexpr std::size_t count_overhead = 12;
    std::size_t bytes = config::max_object_name_bytes + config::kib;
    auto kept = message.windows.end();
    while (kept != message.windows.begin())
    {
        for (const auto& [name, count] : std::prev(kept)->counts)
        {
            bytes += name.size() + count_overhead;
        }
        if (bytes > config::max_usage_message_bytes)
        {
            break;
        }
        --kept;
    }
    message.windows.erase(message.windows.begin(), kept);
}

std::string
encode_usage_message(const usage_message& message)
{
    json windows = json::array();
    for (const reported_window& w : message.windows)
    {
        windows.push_back({w.id, w.closed, w.exact, w.counts});
    }
    return to_bytes({{"vm", message.vm}, {"process", message.process},
        {"sequence", message.sequence}, {"time", microseconds(message.time)},
        {"first", message.first}, {"windows", std::move(windows)}});
}

std::optional<usage_message>
decode_usage_message(const std::string& bytes)
{
    const json value = parse(bytes, config::max_usage_message_bytes,
        config::max_usage_message_items);
    return guarded([&] { return message_from(value); });
}

std::string
encode_usage_ack(const usage_ack& ack)
{
    return to_bytes({{"process", ack.process},
        {"time", microseconds(ack.median.time)}, {"vms", ack.median.vms}});
}

std::optional<usage_ack>
decode_usage_ack(const std::string& bytes)
{
    constexpr std::size_t max_items = 16;
    const json value = parse(bytes, config::kib, max_items);
    return guarded(
        [&]() -> std::optional<usage_ack>
        {
            const auto time = duration_of(value.at("time"));
            usage_ack out;
            out.process = value.at("process").get<std::uint64_t>();
            out.median.vms = value.at("vms").get<std::size_t>();
            out.median.time = time.value_or(duration::zero());
            return time ? std::optional<usage_ack>(out) : std::nullopt;
        });
}

std::string
encode_sources(const std::vector<source_usage>& sources)
{
    json out = json::array();
    for (const source_usage& s : sources)
    {
        out.push_back({s.vm, s.process, s.sequence, s.complete, s.counts});
    }
    return to_bytes(out);
}

std::optional<std::vector<source_usage>>
decode_sources(const std::string& bytes)
{
    const json value =
        parse(bytes, config::max_reply_body_bytes, config::max_usage_entries);
    return guarded(
        [&]() -> std::optional<std::vector<source_usage>>
        {
            if (!value.is_array() || value.size() > config::max_usage_sources)
            {
                return std::nullopt;
            }
            std::vector<source_usage> out;
            for (const json& item : value)
            {
                auto source = source_from(item);
                if (!source)
                {
                    return std::nullopt;
                }
                out.push_back(std::move(*source));
            }
            return out;
        });
}

} // namespace bramleymux
