#pragma once

#include <cstddef>
#include <memory>

/// Account of the bytes that a process holds for its callers, and of the
/// replies of targets that it is reading.
namespace bramleymux
{

/// One event loop; not thread-safe. Without a limit nothing is ever full.
struct memory_account
{
    std::size_t limit = 0; ///< of both parts together; 0 = none
    std::size_t held = 0;  ///< requests, answers and input read ahead
    /// Replies of targets, until the answers made of them.
    std::size_t replies = 0;
    /// The connection that reads its reply although `replies` is used up, so
    /// that one reply after the other is completed; null if none.
    const void* reply_turn = nullptr;
};

/// Returns the bytes above the limit, 0 if there are none.
std::size_t
excess_bytes(const memory_account& account);

/// Returns whether `reader` may read more of a reply. While the part for
/// replies is used up, only one reader at a time may.
bool
may_read_reply(memory_account& account, const void* reader);

/// Ends the turn of `reader`, if it has the turn.
void
end_reply_turn(memory_account& account, const void* reader);

/// Bytes entered in one part of an account, until it is destroyed.
class memory_charge
{
public:
    using part = std::size_t memory_account::*;

    /// Does nothing without an account.
    memory_charge(
        std::shared_ptr<memory_account> account, part p, std::size_t bytes = 0);
    ~memory_charge();

    memory_charge(const memory_charge&) = delete;
    memory_charge&
    operator=(const memory_charge&) = delete;

    void
    set(std::size_t bytes);

    std::size_t
    bytes() const
    {
        return bytes_;
    }

private:
    std::shared_ptr<memory_account> account_;
    part part_;
    std::size_t bytes_ = 0;
};

} // namespace bramleymux
