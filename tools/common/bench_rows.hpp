#pragma once

#include "common/row_model.hpp"

#include <map>

/// Checks answers against the rows that the simulated targets hold.
namespace bramleymux::tools
{

/// Ascending keys of each shard, by snapshot.
using expected_rows =
    std::map<snapshot_sequence, std::vector<std::vector<std::uint32_t>>>;

/// Result of checking one answer.
struct answer_check
{
    bool parsed = false;     ///< false if a field is absent or of a wrong type
    std::uint64_t asked = 0; ///< shards, as stated in the answer
    std::uint64_t answered = 0; ///< shards, as stated in the answer
    /// Rows that the snapshot does not have in that shard or whose shard is
    /// listed as missing, plus 1 if the stated counts of shards are false.
    std::uint64_t wrong = 0;
    std::uint64_t doubled = 0; ///< repetitions of a row
    std::uint64_t lost = 0;    ///< absent rows of shards not listed as missing
};

/// Shards that an answer covers.
enum class answer_scope
{
    every_shard,
    one_shard, ///< non-idempotent request: the target chooses the shard
    count
};

/// Counts the faults of an answer. Never throws on malformed answers.
answer_check
check_answer(const nlohmann::json& answer, const std::string& service,
    const expected_rows& expected,
    answer_scope scope = answer_scope::every_shard);

} // namespace bramleymux::tools
