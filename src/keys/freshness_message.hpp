#pragma once

#include "store_revision.hpp"

#include <bramleymux/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Question to another VM for the age of its proof, and the answer as CBOR.
namespace bramleymux
{

inline constexpr std::string_view freshness_path = "/v1/freshness";

struct freshness_answer
{
    store_revision revision;   ///< of the object of the desired state
    std::uint64_t version = 0; ///< of the desired state in force
    duration age{};            ///< of the answering VM's proof
    /// Payload of the desired state, with digests in place of keys, if the
    /// question named a lower version.
    std::optional<std::string> payload;
};

/// Returns the path of a question of a VM with this version in force.
std::string
freshness_question(std::uint64_t version);

/// Returns the version that the question names, 0 if it names none.
std::uint64_t
version_in_question(std::string_view path);

/// States the age in whole microseconds, rounded up. Leaves out a payload with
/// which the message would exceed `config::max_freshness_bytes`.
std::string
encode_freshness(const freshness_answer& answer);

/// Returns nullopt if the bytes are too many or not a valid answer.
std::optional<freshness_answer>
decode_freshness(const std::string& bytes);

} // namespace bramleymux
