#pragma once

#include "idempotency.hpp"
#include "query.hpp"

namespace bramleymux
{

/// Runs a non-idempotent request on one target that holds its shard. The
/// idempotency key is claimed in the platform before the first send. The
/// request goes to another target only after a refusal that proves that no byte
/// of it was sent. A repeat of a completed request returns the stored outcome.
query_result
run_write(const query_context& context, idempotency_store& records,
    const caller_request& request);

/// Returns the shard that a key belongs to in a snapshot of `shard_count` (> 0)
/// shards.
shard_id
shard_of_key(std::string_view key, std::uint32_t shard_count);

} // namespace bramleymux
