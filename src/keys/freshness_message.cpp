#include "keys/freshness_message.hpp"

#include "config/revocation.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr std::string_view version_parameter = "?version=";
// More than the fields other than the payload take.
constexpr std::size_t field_bytes = 256;

/// Returns an unsigned member. Throws json::exception if it is another type.
std::uint64_t
read_uint(const json& value, const char* name)
{
    return value.at(name).get_ref<const json::number_unsigned_t&>();
}

} // namespace

std::string
freshness_question(std::uint64_t version)
{
    return std::string(freshness_path) + std::string(version_parameter) +
           std::to_string(version);
}

std::uint64_t
version_in_question(std::string_view path)
{
    const std::size_t at = path.find(version_parameter);
    std::uint64_t out = 0;
    if (at != std::string_view::npos)
    {
        const std::string_view digits =
            path.substr(at + version_parameter.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), out);
    }
    return out;
}

std::string
encode_freshness(const freshness_answer& answer)
{
    const auto age =
        std::chrono::ceil<std::chrono::microseconds>(answer.age).count();
    json out{{"era", answer.revision.era}, {"revision", answer.revision.number},
        {"version", answer.version},
        {"age_us", static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0))}};
    const bool fits = answer.payload && answer.payload->size() + field_bytes <=
                                            config::max_freshness_bytes;
    if (fits)
    {
        out["state"] = *answer.payload;
    }
    std::string bytes;
    json::to_cbor(out, bytes);
    return bytes;
}

std::optional<freshness_answer>
decode_freshness(const std::string& bytes)
{
    if (bytes.size() > config::max_freshness_bytes)
    {
        return std::nullopt;
    }
    try
    {
        const json value = json::from_cbor(bytes);
        constexpr std::uint64_t max_age_us =
            std::chrono::microseconds(config::max_stated_age).count();
        freshness_answer out;
        out.revision.era = read_uint(value, "era");
        out.revision.number = read_uint(value, "revision");
        out.version = read_uint(value, "version");
        const std::uint64_t age_us = read_uint(value, "age_us");
        if (age_us > max_age_us)
        {
            return std::nullopt;
        }
        out.age = std::chrono::microseconds(age_us);
        if (value.contains("state"))
        {
            out.payload = value["state"].get<std::string>();
        }
        return out;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace bramleymux
