#pragma once

#include "sub_request.hpp"

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Merges sub-replies into one answer and computes its coverage: which of the
/// requested shards it includes, and why the others are missing.
namespace bramleymux
{

/// A sub-request whose reply is still outstanding.
struct open_sub_request
{
    std::string version;
    std::vector<shard_id> shards; ///< ascending
};

/// Result of one requested shard.
struct shard_slot
{
    shard_id shard = 0;
    bool answered = false;
    miss_reason reason = miss_reason::none; ///< latest failure
    nlohmann::json rows;
};

/// State of one answer under construction; changed only by the functions below.
/// Not thread-safe.
struct answer_builder
{
    snapshot_sequence snapshot = 0;
    std::vector<shard_slot> slots; ///< requested shards, ascending
    std::size_t answered = 0;      ///< number of answered slots
    std::unordered_map<std::uint64_t, open_sub_request> open; ///< by id
};

/// Starts an answer over the shards `asked` of a snapshot. Duplicates are
/// dropped.
answer_builder
start_answer(snapshot_sequence snapshot, std::vector<shard_id> asked);

/// Registers a sub-request; call before it is sent. Returns false if it is for
/// another snapshot, includes a shard that was not requested or a duplicate, or
/// has the id of another outstanding sub-request.
bool
register_sub_request(answer_builder& builder, const sub_request& request);

/// Effect of merging one reply.
struct merge_result
{
    miss_reason error = miss_reason::none; ///< why nothing was merged
    std::size_t merged = 0;                ///< shards first answered by it
    std::vector<shard_id> failed; ///< on error: its shards still unanswered
};

/// Merges the rows of a complete reply; for each shard, the first reply wins. A
/// reply that is an error, incomplete or does not match an outstanding request
/// contributes nothing.
merge_result
merge(answer_builder& builder, sub_reply reply);

/// Records why shards could not be sent or retried.
void
record_missing(answer_builder& builder, const std::vector<shard_id>& shards,
    miss_reason reason);

/// Ends the answer at its deadline: later replies are refused, and shards with
/// an outstanding sub-request become missing with reason `deadline`.
void
close_answer(answer_builder& builder);

/// Returns whether every requested shard is answered.
bool
is_complete(const answer_builder& builder);

/// Returns whether no reply can change the answer any more: it is complete, or
/// no sub-request is outstanding.
bool
is_settled(const answer_builder& builder);

/// Returns the requested shards among `shards` that have no answer yet.
std::vector<shard_id>
unanswered(const answer_builder& builder, const std::vector<shard_id>& shards);

/// Returns whether an outstanding sub-request includes the shard.
bool
is_expected(const answer_builder& builder, shard_id shard);

/// Returns the ids, ascending, of outstanding sub-requests that can be
/// cancelled, since all their shards are answered.
std::vector<std::uint64_t>
cancellable_requests(const answer_builder& builder);

struct missing_shard
{
    shard_id shard = 0;
    miss_reason reason = miss_reason::no_replica;
};

/// Coverage of an answer, in shards.
struct coverage
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::vector<missing_shard> missing; ///< ascending by shard
};

/// Returns the coverage so far. A shard without a recorded failure has reason
/// `no_replica`.
coverage
coverage_of(const answer_builder& builder);

/// Format: {"asked","answered","missing":[{"shard","reason"}]}.
nlohmann::json
to_json(const coverage& value);

/// Moves out the rows of all answered shards, in shard order.
nlohmann::json
take_rows(answer_builder& builder);

} // namespace bramleymux
