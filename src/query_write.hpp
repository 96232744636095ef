#pragma once

#include "idempotency.hpp"
#include "query.hpp"

namespace bramleymux
{

/// Runs a non-idempotent request on one target that holds its shard. Its key
/// is claimed before the first send, and nothing is sent again once a byte may
/// have reached a target.
query_result
run_write(const query_context& context, idempotency& records,
    const caller_request& request);

/// Shard of a snapshot that a key belongs to.
shard_id
shard_of_key(std::string_view key, std::uint32_t shard_count);

} // namespace bramleymux
