#include "coverage.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleymux
{

using nlohmann::json;

namespace
{

/// Returns the slot of a shard, or null if it was not requested. `Slots` is a
/// const or mutable vector of slots.
template <class Slots>
auto
find_slot(Slots& slots, shard_id shard) -> decltype(slots.data())
{
    const auto found = std::lower_bound(slots.begin(), slots.end(), shard,
        [](const shard_slot& slot, shard_id s) { return slot.shard < s; });
    return found == slots.end() || found->shard != shard ? nullptr : &*found;
}

bool
has_duplicate(const std::vector<shard_id>& sorted)
{
    return std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end();
}

/// Returns why a reply cannot be merged, or `none` if it can.
miss_reason
check_reply(const answer_builder& builder, const open_sub_request& request,
    const sub_reply& reply)
{
    if (reply.error != miss_reason::none)
    {
        return reply.error;
    }
    if (reply.snapshot != builder.snapshot)
    {
        return miss_reason::snapshot;
    }
    if (!request.version.empty() && reply.version != request.version)
    {
        return miss_reason::mismatched;
    }
    std::vector<shard_id> replied;
    replied.reserve(reply.shards.size());
    for (const auto& part : reply.shards)
    {
        if (!part.rows.is_array())
        {
            return miss_reason::malformed;
        }
        replied.push_back(part.shard);
    }
    std::sort(replied.begin(), replied.end());
    if (replied == request.shards)
    {
        return miss_reason::none;
    }
    const bool is_part =
        !has_duplicate(replied) &&
        std::includes(request.shards.begin(), request.shards.end(),
            replied.begin(), replied.end());
    return is_part ? miss_reason::malformed : miss_reason::mismatched;
}

/// Sets the reason of a missing shard. A cancellation does not replace an
/// earlier reason, since it carries no information about the shard.
void
record_reason(shard_slot& slot, miss_reason reason)
{
    if (reason != miss_reason::cancelled || slot.reason == miss_reason::none)
    {
        slot.reason = reason;
    }
}

} // namespace

answer_builder
start_answer(snapshot_sequence snapshot, std::vector<shard_id> asked)
{
    std::sort(asked.begin(), asked.end());
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    answer_builder result;
    result.snapshot = snapshot;
    result.slots.resize(asked.size());
    for (std::size_t i = 0; i < asked.size(); ++i)
    {
        result.slots[i].shard = asked[i];
    }
    return result;
}

bool
register_sub_request(answer_builder& builder, const sub_request& request)
{
    auto shards = request.shards;
    std::sort(shards.begin(), shards.end());
    if (request.snapshot != builder.snapshot || has_duplicate(shards) ||
        !std::all_of(shards.begin(), shards.end(),
            [&](shard_id s) { return find_slot(builder.slots, s) != nullptr; }))
    {
        return false;
    }
    return builder.open
        .emplace(
            request.id, open_sub_request{request.version, std::move(shards)})
        .second;
}

merge_result
merge(answer_builder& builder, sub_reply reply)
{
    merge_result result;
    const auto found = builder.open.find(reply.id);
    if (found == builder.open.end())
    {
        result.error = miss_reason::mismatched;
        return result;
    }
    const auto request = std::move(found->second);
    builder.open.erase(found);
    result.error = check_reply(builder, request, reply);
    if (result.error != miss_reason::none)
    {
        record_missing(builder, request.shards, result.error);
        result.failed = unanswered(builder, request.shards);
        return result;
    }
    for (auto& part : reply.shards)
    {
        auto* slot = find_slot(builder.slots, part.shard);
        if (!slot->answered)
        {
            slot->answered = true;
            slot->rows = std::move(part.rows);
            ++result.merged;
        }
    }
    builder.answered += result.merged;
    return result;
}

void
record_missing(answer_builder& builder, const std::vector<shard_id>& shards,
    miss_reason reason)
{
    for (const auto shard : shards)
    {
        if (auto* slot = find_slot(builder.slots, shard))
        {
            record_reason(*slot, reason);
        }
    }
}

void
close_answer(answer_builder& builder)
{
    for (const auto& [id, request] : builder.open)
    {
        record_missing(builder, request.shards, miss_reason::deadline);
    }
    builder.open.clear();
}

bool
is_complete(const answer_builder& builder)
{
    return builder.answered == builder.slots.size();
}

bool
is_settled(const answer_builder& builder)
{
    return is_complete(builder) || builder.open.empty();
}

std::vector<shard_id>
unanswered(const answer_builder& builder, const std::vector<shard_id>& shards)
{
    std::vector<shard_id> result;
    std::copy_if(shards.begin(), shards.end(), std::back_inserter(result),
        [&](shard_id s)
        {
            const auto* slot = find_slot(builder.slots, s);
            return slot != nullptr && !slot->answered;
        });
    return result;
}

bool
is_expected(const answer_builder& builder, shard_id shard)
{
    return std::any_of(builder.open.begin(), builder.open.end(),
        [&](const auto& entry)
        {
            const auto& shards = entry.second.shards;
            return std::binary_search(shards.begin(), shards.end(), shard);
        });
}

std::vector<std::uint64_t>
cancellable_requests(const answer_builder& builder)
{
    std::vector<std::uint64_t> result;
    for (const auto& [id, request] : builder.open)
    {
        if (unanswered(builder, request.shards).empty())
        {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

coverage
coverage_of(const answer_builder& builder)
{
    coverage result;
    result.asked = builder.slots.size();
    result.answered = builder.answered;
    for (const auto& slot : builder.slots)
    {
        if (!slot.answered)
        {
            result.missing.push_back({slot.shard,
                slot.reason == miss_reason::none ? miss_reason::no_replica
                                                 : slot.reason});
        }
    }
    return result;
}

json
to_json(const coverage& value)
{
    json missing = json::array();
    for (const auto& m : value.missing)
    {
        missing.push_back(
            {{"shard", m.shard}, {"reason", to_string(m.reason)}});
    }
    return json{{"asked", value.asked}, {"answered", value.answered},
        {"missing", std::move(missing)}};
}

json
take_rows(answer_builder& builder)
{
    json result = json::array();
    for (auto& slot : builder.slots)
    {
        if (!slot.answered)
        {
            continue;
        }
        for (auto& row : slot.rows)
        {
            result.push_back(std::move(row));
        }
        slot.rows = json::array();
    }
    return result;
}

} // namespace bramleymux
