#pragma once

#include "sub_request.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Merge of sub-replies into one answer, and its coverage.
namespace bramleymux
{

/// A sub-request whose reply is still expected.
struct open_sub_request
{
    std::string version;
    std::vector<shard_id> shards; ///< ascending
};

struct shard_slot
{
    shard_id shard = 0;
    bool answered = false;
    miss_reason reason = miss_reason::none; ///< last one seen
    nlohmann::json rows;
};

/// State of one answer. Only the functions below change it.
struct answer_builder
{
    snapshot_sequence snapshot = 0;
    std::vector<shard_slot> slots; ///< the asked shards, ascending
    std::size_t answered = 0;
    std::unordered_map<std::uint64_t, open_sub_request> open;
};

/// Shards asked more than once count once.
answer_builder
start_answer(snapshot_sequence snapshot, std::vector<shard_id> asked);

/// Registers a sub-request before it is sent. False when it names another
/// snapshot, a shard that was not asked, a shard twice, or a used id.
bool
expect(answer_builder& builder, const sub_request& request);

/// What a reply did.
struct merge_result
{
    miss_reason error = miss_reason::none; ///< why it contributed nothing
    std::size_t merged = 0;                ///< shards answered by this reply
    std::vector<shard_id> failed; ///< its shards that are still unanswered
};

/// Takes the rows of a whole reply; the first one for a shard wins. A reply
/// that is an error, incomplete or for another request contributes nothing.
merge_result
merge(answer_builder& builder, sub_reply reply);

/// Records why shards could not be sent or retried.
void
note_missing(answer_builder& builder, const std::vector<shard_id>& shards,
    miss_reason reason);

/// Ends the answer at its deadline: later replies are refused, and shards
/// whose reply was still expected are missing for that reason.
void
close_answer(answer_builder& builder);

bool
is_complete(const answer_builder& builder);

/// Whether no reply can change the answer any more.
bool
is_settled(const answer_builder& builder);

/// Those of `shards` that have no answer.
std::vector<shard_id>
unanswered(const answer_builder& builder, const std::vector<shard_id>& shards);

/// Whether an open sub-request still asks for the shard.
bool
is_expected(const answer_builder& builder, shard_id shard);

/// Open sub-requests whose shards are all answered; they can be cancelled.
std::vector<std::uint64_t>
unneeded(const answer_builder& builder);

struct missing_shard
{
    shard_id shard = 0;
    miss_reason reason = miss_reason::no_replica;
};

struct coverage
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::vector<missing_shard> missing; ///< ascending by shard
};

coverage
coverage_of(const answer_builder& builder);

/// {"asked","answered","missing":[{"shard","reason"}]}
nlohmann::json
to_json(const coverage& value);

/// Moves out the rows of all answered shards, in shard order.
nlohmann::json
take_rows(answer_builder& builder);

} // namespace bramleymux
