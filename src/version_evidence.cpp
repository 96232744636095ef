#include "version_evidence.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr std::size_t key_bytes = 6;

/// Appends `value` as an LEB128 integer.
void
put_varint(std::uint64_t value, std::vector<std::uint8_t>& out)
{
    while (value >= 0x80)
    {
        out.push_back(static_cast<std::uint8_t>(value | 0x80));
        value >>= 7;
    }
    out.push_back(static_cast<std::uint8_t>(value));
}

/// Reads an LEB128 integer and advances `position`. Returns false if the input
/// ends within it or it is longer than 10 bytes.
bool
get_varint(const std::vector<std::uint8_t>& in, std::size_t& position,
    std::uint64_t& value)
{
    value = 0;
    for (unsigned shift = 0; shift < 64 && position < in.size(); shift += 7)
    {
        const std::uint8_t byte = in[position++];
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if ((byte & 0x80) == 0)
        {
            return true;
        }
    }
    return false;
}

void
update_max(std::uint64_t& known, std::uint64_t received)
{
    known = std::max(known, received);
}

void
merge_cell(evidence_cell& known, const evidence_cell& received)
{
    for (std::size_t g = 0; g < evidence_groups; ++g)
    {
        update_max(known[g].replies, received[g].replies);
        update_max(known[g].errors, received[g].errors);
        update_max(known[g].slow, received[g].slow);
    }
}

/// Returns false if the counts are malformed or have more errors or slow
/// replies than replies.
bool
get_counts(const std::vector<std::uint8_t>& in, std::size_t& position,
    evidence_counts& counts)
{
    return get_varint(in, position, counts.replies) &&
           get_varint(in, position, counts.errors) &&
           get_varint(in, position, counts.slow) &&
           counts.errors <= counts.replies && counts.slow <= counts.replies;
}

} // namespace

evidence_counts&
operator+=(evidence_counts& a, const evidence_counts& b)
{
    a.replies += b.replies;
    a.errors += b.errors;
    a.slow += b.slow;
    return a;
}

evidence_counts
operator-(const evidence_counts& a, const evidence_counts& b)
{
    return {a.replies - b.replies, a.errors - b.errors, a.slow - b.slow};
}

evidence_cell
operator-(const evidence_cell& a, const evidence_cell& b)
{
    evidence_cell out;
    for (std::size_t g = 0; g < evidence_groups; ++g)
    {
        out[g] = a[g] - b[g];
    }
    return out;
}

evidence_counts
sum(const evidence_cell& cell)
{
    evidence_counts out;
    for (const evidence_counts& group : cell)
    {
        out += group;
    }
    return out;
}

evidence_key
evidence_key_of(
    std::string_view service, std::string_view version, std::string_view route)
{
    std::string text(service);
    text += ':';
    text += version;
    text += ':';
    text += route;
    return XXH64(text.data(), text.size(), 0) >> 16U;
}

void
add_reply(evidence_pool& pool, evidence_key key, std::size_t group,
    const evidence_counts& reply)
{
    pool.own[key][group % evidence_groups] += reply;
    pool.observed_growth[key][group % evidence_groups] += reply;
}

void
merge_peer(evidence_pool& pool, const std::string& vm,
    std::uint64_t incarnation, const evidence_cells& cells, monotonic_time now)
{
    vm_evidence& record = pool.peers[{vm, incarnation}];
    const bool recent = now - record.updated <= config::evidence_gap;
    for (const auto& [key, received] : cells)
    {
        const auto [at, is_new] = record.cells.try_emplace(key);
        const evidence_cell before = at->second;
        merge_cell(at->second, received);
        if (recent && !is_new)
        {
            const evidence_cell growth = at->second - before;
            evidence_cell& observed_growth = pool.observed_growth[key];
            for (std::size_t g = 0; g < evidence_groups; ++g)
            {
                observed_growth[g] += growth[g];
            }
        }
    }
    record.updated = now;
}

void
expire_evidence(evidence_pool& pool, monotonic_time now)
{
    for (auto at = pool.peers.begin(); at != pool.peers.end();)
    {
        at = now - at->second.updated > config::evidence_expiry
                 ? pool.peers.erase(at)
                 : std::next(at);
    }
}

evidence_counts
pooled(const evidence_pool& pool, evidence_key key)
{
    evidence_counts out;
    const auto add = [&](const evidence_cells& cells)
    {
        const auto at = cells.find(key);
        if (at != cells.end())
        {
            out += sum(at->second);
        }
    };
    add(pool.own);
    for (const auto& [id, record] : pool.peers)
    {
        add(record.cells);
    }
    return out;
}

evidence_cell
observed_growth_of(const evidence_pool& pool, evidence_key key)
{
    const auto at = pool.observed_growth.find(key);
    return at == pool.observed_growth.end() ? evidence_cell{} : at->second;
}

void
encode_cells(const evidence_cells& cells, std::vector<std::uint8_t>& out)
{
    for (const auto& [key, cell] : cells)
    {
        for (std::size_t i = 0; i < key_bytes; ++i)
        {
            out.push_back(static_cast<std::uint8_t>(key >> (8 * i)));
        }
        const std::size_t present_at = out.size();
        out.push_back(0);
        for (std::size_t g = 0; g < evidence_groups; ++g)
        {
            if (cell[g].replies > 0)
            {
                out[present_at] |= static_cast<std::uint8_t>(1U << g);
                put_varint(cell[g].replies, out);
                put_varint(cell[g].errors, out);
                put_varint(cell[g].slow, out);
            }
        }
    }
}

bool
decode_cells(const std::vector<std::uint8_t>& in, std::size_t position,
    evidence_cells& out)
{
    while (position < in.size())
    {
        if (in.size() - position < key_bytes + 1)
        {
            return false;
        }
        evidence_key key = 0;
        for (std::size_t i = 0; i < key_bytes; ++i)
        {
            key |= static_cast<evidence_key>(in[position++]) << (8 * i);
        }
        const unsigned present = in[position++];
        evidence_cell& cell = out[key];
        for (std::size_t g = 0; g < evidence_groups; ++g)
        {
            if ((present >> g & 1U) != 0 && !get_counts(in, position, cell[g]))
            {
                return false;
            }
        }
    }
    return true;
}

} // namespace bramleymux
