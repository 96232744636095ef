#include "common/bench_rows.hpp"

#include <algorithm>
#include <set>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

void
check_rows(const json& answer, const std::string& service,
    const expected_rows& expected, answer_check& out)
{
    const json& covered = answer.at("coverage");
    covered.at("asked").get_to(out.asked);
    covered.at("answered").get_to(out.answered);
    const auto snapshot =
        answer.at("snapshot").at("sequence").get<snapshot_sequence>();
    const auto held = expected.find(snapshot);
    if (held == expected.end())
    {
        out.wrong = answer.at("rows").size();
        return;
    }
    const auto& keys = held->second;
    std::set<shard_id> missing;
    for (const json& item : covered.at("missing"))
    {
        missing.insert(item.at("shard").get<shard_id>());
    }
    std::size_t due = 0;
    for (shard_id s = 0; s < keys.size(); ++s)
    {
        due += missing.count(s) == 0 ? keys[s].size() : 0;
    }
    std::set<std::pair<shard_id, std::uint32_t>> seen;
    for (const json& row : answer.at("rows"))
    {
        const auto shard = row.at("shard").get<shard_id>();
        const auto key = row.at("key").get<std::uint32_t>();
        const bool right =
            shard < keys.size() && missing.count(shard) == 0 &&
            std::binary_search(keys[shard].begin(), keys[shard].end(), key) &&
            row == make_row(service, snapshot, shard, key);
        if (!right)
        {
            ++out.wrong;
        }
        else if (!seen.emplace(shard, key).second)
        {
            ++out.doubled;
        }
    }
    out.lost = due - seen.size();
    // A false total is a wrong statement of coverage.
    if (out.asked != keys.size() || out.answered + missing.size() != out.asked)
    {
        ++out.wrong;
    }
}

} // namespace

answer_check
check_answer(const json& answer, const std::string& service,
    const expected_rows& expected)
{
    answer_check out;
    try
    {
        check_rows(answer, service, expected, out);
        out.parsed = true;
    }
    catch (const json::exception&)
    {
        out.parsed = false;
    }
    return out;
}

} // namespace bramleymux::tools
