#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Access keys of the workspaces. Keys are kept as digests only, so that
/// neither this VM's memory nor what it passes on reveals one.
namespace bramleymux
{

/// SHA-256 of a key. Keys are long random strings, so a fast hash without a
/// salt is enough, and all VMs compute the same digest.
struct key_digest
{
    std::array<std::uint8_t, 32> bytes{};
};

bool
operator<(const key_digest& a, const key_digest& b);

key_digest
digest_of(std::string_view key);

/// Returns the digest in hexadecimal digits.
std::string
to_hex(const key_digest& digest);

/// Returns nullopt unless the text is a digest in hexadecimal digits.
std::optional<key_digest>
key_digest_from_hex(std::string_view text);

struct workspace
{
    std::string name;
    /// Takes precedence over the priority of the route; 0 = most urgent.
    std::optional<std::uint32_t> priority;
};

/// Workspaces of a desired state and their keys.
struct workspace_keys
{
    struct entry
    {
        key_digest digest;
        std::uint32_t workspace = 0; ///< index into `workspaces`
    };

    std::vector<workspace> workspaces;
    std::vector<entry> entries; ///< sorted by digest after `index_keys`
};

/// Sorts the entries for `find_workspace`. Of entries with the same key, the
/// one of the first workspace stays. Returns the number of removed entries.
std::size_t
index_keys(workspace_keys& keys);

/// Returns the workspace that has the key, or null. Compares digests in
/// constant time; only the position in the sorted entries depends on the key's
/// digest, which callers cannot choose.
const workspace*
find_workspace(const workspace_keys& keys, std::string_view key);

} // namespace bramleymux
