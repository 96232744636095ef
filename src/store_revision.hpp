#pragma once

#include <cstdint>
#include <tuple>

/// Revisions of the platform's store, ordered across restores of the store.
namespace bramleymux
{

/// After the store was restored from an older copy, it gives out revision
/// numbers again, so a number is comparable only within its era. A message or
/// reply that states no era belongs to era 0.
struct store_revision
{
    std::uint64_t era = 0;    ///< restores of the store so far
    std::uint64_t number = 0; ///< as the store states it
};

inline bool
operator==(const store_revision& a, const store_revision& b)
{
    return a.era == b.era && a.number == b.number;
}

inline bool
operator!=(const store_revision& a, const store_revision& b)
{
    return !(a == b);
}

inline bool
operator<(const store_revision& a, const store_revision& b)
{
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
}

inline bool
operator>(const store_revision& a, const store_revision& b)
{
    return b < a;
}

inline bool
operator<=(const store_revision& a, const store_revision& b)
{
    return !(b < a);
}

inline bool
operator>=(const store_revision& a, const store_revision& b)
{
    return !(a < b);
}

} // namespace bramleymux
