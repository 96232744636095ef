#include "keys/workspace_keys.hpp"

#include "config/keys.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 4;

} // namespace

bool
operator<(const key_digest& a, const key_digest& b)
{
    return a.bytes < b.bytes;
}

key_digest
digest_of(std::string_view key)
{
    static_assert(
        SHA256_DIGEST_LENGTH == std::tuple_size_v<decltype(key_digest::bytes)>);
    key_digest out;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        out.bytes.data());
    return out;
}

std::string
to_hex(const key_digest& digest)
{
    std::string out;
    out.reserve(digest.bytes.size() * 2);
    for (const std::uint8_t byte : digest.bytes)
    {
        out += hex_digits[byte >> bits_per_digit];
        out += hex_digits[byte & 0xfU];
    }
    return out;
}

std::optional<key_digest>
key_digest_from_hex(std::string_view text)
{
    key_digest out;
    if (text.size() != out.bytes.size() * 2)
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < out.bytes.size(); ++i)
    {
        const std::size_t high = hex_digits.find(text[2 * i]);
        const std::size_t low = hex_digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return std::nullopt;
        }
        out.bytes[i] = static_cast<std::uint8_t>(high << bits_per_digit | low);
    }
    return out;
}

std::size_t
index_keys(workspace_keys& keys)
{
    std::stable_sort(keys.entries.begin(), keys.entries.end(),
        [](const workspace_keys::entry& a, const workspace_keys::entry& b)
        { return a.digest < b.digest; });
    const auto end = std::unique(keys.entries.begin(), keys.entries.end(),
        [](const workspace_keys::entry& a, const workspace_keys::entry& b)
        { return a.digest.bytes == b.digest.bytes; });
    const auto removed =
        static_cast<std::size_t>(std::distance(end, keys.entries.end()));
    keys.entries.erase(end, keys.entries.end());
    return removed;
}

const workspace*
find_workspace(const workspace_keys& keys, std::string_view key)
{
    if (key.empty() || key.size() > config::max_key_bytes)
    {
        return nullptr;
    }
    const key_digest digest = digest_of(key);
    const auto found =
        std::lower_bound(keys.entries.begin(), keys.entries.end(), digest,
            [](const workspace_keys::entry& e, const key_digest& wanted)
            { return e.digest < wanted; });
    const bool known = found != keys.entries.end() &&
                       CRYPTO_memcmp(found->digest.bytes.data(),
                           digest.bytes.data(), digest.bytes.size()) == 0;
    return known ? &keys.workspaces[found->workspace] : nullptr;
}

} // namespace bramleymux
