#include "answers.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

namespace bramleymux::soak
{

namespace
{

std::string
padded(std::uint64_t number, std::size_t width)
{
    const std::string digits = std::to_string(number);
    return std::string(width - std::min(width, digits.size()), '0') + digits;
}

/// Returns the stamps of a list "A, B".
std::vector<std::string>
split(std::string list)
{
    std::vector<std::string> out;
    while (!list.empty())
    {
        const std::size_t comma = list.find(", ");
        out.push_back(list.substr(0, comma));
        list = comma == std::string::npos ? "" : list.substr(comma + 2);
    }
    return out;
}

} // namespace

std::string
body_of(std::uint64_t id)
{
    constexpr std::uint64_t sizes = 1999;
    return "id=" + std::to_string(id) + ";" + std::string(id % sizes, '.');
}

std::string
part_of(std::size_t shard, std::uint64_t id)
{
    constexpr std::uint64_t most_records = 60;
    std::string out;
    const std::uint64_t records = 2 + (id * 7 + shard * 31) % most_records;
    for (std::uint64_t i = 0; i < records; ++i)
    {
        out +=
            padded(i, 3) + padded(id, record_bytes - 4) + std::to_string(shard);
    }
    return out;
}

std::string
stamp_of_part(std::size_t shard, std::uint64_t id)
{
    return "p" + std::to_string(shard) + "." + std::to_string(id);
}

bool
is_merged_answer(
    std::uint64_t id, const std::string& stamps, const std::string& body)
{
    const std::vector<std::string> named = split(stamps);
    const std::set<std::string> distinct(named.begin(), named.end());
    std::size_t known = 0;
    std::vector<std::string> records;
    for (std::size_t shard = 0; shard < shard_count; ++shard)
    {
        if (distinct.count(stamp_of_part(shard, id)) == 0)
        {
            continue;
        }
        ++known;
        const std::string part = part_of(shard, id);
        for (std::size_t at = 0; at < part.size(); at += record_bytes)
        {
            records.push_back(part.substr(at, record_bytes));
        }
    }
    std::sort(records.begin(), records.end(), std::greater<>());
    std::string expected;
    for (const std::string& record : records)
    {
        expected += record;
    }
    return known > 0 && known == named.size() && body == expected;
}

} // namespace bramleymux::soak
