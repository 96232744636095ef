#include "memory/memory_account.hpp"

#include "config/memory.hpp"

namespace bramleymux
{

std::size_t
excess_bytes(const memory_account& account)
{
    const std::size_t used = account.held + account.replies;
    return account.limit == 0 || used <= account.limit ? 0
                                                       : used - account.limit;
}

bool
may_read_reply(memory_account& account, const void* reader)
{
    const std::size_t share = account.limit / config::reply_memory_divisor;
    if (account.limit == 0 || account.replies <= share)
    {
        return true;
    }
    if (account.reply_turn == nullptr)
    {
        account.reply_turn = reader;
    }
    return account.reply_turn == reader;
}

void
end_reply_turn(memory_account& account, const void* reader)
{
    if (account.reply_turn == reader)
    {
        account.reply_turn = nullptr;
    }
}

memory_charge::memory_charge(
    std::shared_ptr<memory_account> account, part p, std::size_t bytes)
    : account_(std::move(account)), part_(p)
{
    set(bytes);
}

memory_charge::~memory_charge()
{
    set(0);
}

void
memory_charge::set(std::size_t bytes)
{
    if (account_)
    {
        account_.get()->*part_ += bytes - bytes_;
    }
    bytes_ = bytes;
}

} // namespace bramleymux
