#pragma once

#include "common/row_model.hpp"

#include <map>

/// Checks of answers against the rows that the simulated targets hold.
namespace bramleymux::tools
{

/// Keys of each shard by snapshot.
using expected_rows =
    std::map<snapshot_sequence, std::vector<std::vector<std::uint32_t>>>;

struct answer_check
{
    bool parsed = false; ///< false when the answer has not the stated form
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0;   ///< rows that the snapshot does not have there,
                               ///< or of a shard that is stated as missing
    std::uint64_t doubled = 0; ///< rows beyond the first of one id
    std::uint64_t lost = 0;    ///< rows of answered shards that are absent
};

/// Which shards an answer is about.
enum class answer_scope
{
    every_shard,
    one_shard, ///< of a non-idempotent request; the target's choice of shard
    count
};

answer_check
check_answer(const nlohmann::json& answer, const std::string& service,
    const expected_rows& expected,
    answer_scope scope = answer_scope::every_shard);

} // namespace bramleymux::tools
