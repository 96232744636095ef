#include "http_client.hpp"

#include <algorithm>

namespace bramleymux
{

pooled_connection::pooled_connection(
    connection_pool& pool, http_connection connection)
    : pool_(&pool), connection_(std::move(connection))
{
}

pooled_connection::pooled_connection(pooled_connection&& other) noexcept
    : pool_(std::exchange(other.pool_, nullptr)),
      connection_(std::move(other.connection_))
{
}

pooled_connection::~pooled_connection()
{
    if (pool_ != nullptr)
    {
        pool_->release(std::move(connection_));
    }
}

connection_pool::connection_pool(http_address address, std::size_t limit)
    : address_(std::move(address)), limit_(std::max<std::size_t>(1, limit))
{
}

/// Requires `mutex_` to be held.
void
connection_pool::drop_stale()
{
    const auto stale = std::stable_partition(idle_.begin(), idle_.end(),
        [](const http_connection& c) { return c.is_idle(); });
    const auto n = static_cast<std::size_t>(idle_.end() - stale);
    idle_.erase(stale, idle_.end());
    stats_.stale += n;
    stats_.open -= n;
}

/// Opens a connection that the caller has already counted in `stats_.open`, and
/// takes it off the count on failure.
http_result<http_connection>
connection_pool::open_reserved(monotonic_time deadline)
{
    auto opened = http_connection::open(address_, deadline);
    const std::lock_guard lock(mutex_);
    if (opened)
    {
        ++stats_.opened;
    }
    else
    {
        --stats_.open;
        ++stats_.open_failures;
        changed_.notify_one();
    }
    return opened;
}

http_result<pooled_connection>
connection_pool::acquire(monotonic_time deadline)
{
    {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_until(lock, deadline,
                [&] { return !idle_.empty() || stats_.open < limit_; }))
        {
            return http_errc::connect_failed;
        }
        // The connection used last is the least likely to have been closed.
        while (!idle_.empty())
        {
            http_connection connection = std::move(idle_.back());
            idle_.pop_back();
            if (connection.is_idle())
            {
                return pooled_connection(*this, std::move(connection));
            }
            ++stats_.stale;
            --stats_.open;
        }
        ++stats_.open;
    }
    auto opened = open_reserved(deadline);
    if (!opened)
    {
        return opened.error();
    }
    return pooled_connection(*this, std::move(opened.value()));
}

void
connection_pool::release(http_connection connection)
{
    {
        const std::lock_guard lock(mutex_);
        if (connection.is_open() && stats_.open <= limit_)
        {
            idle_.push_back(std::move(connection));
        }
        else
        {
            --stats_.open;
        }
    }
    changed_.notify_one();
}

http_result<http_response>
connection_pool::request(const http_request& request, monotonic_time deadline,
    const reply_check& check)
{
    for (;;)
    {
        auto connection = acquire(deadline);
        if (!connection)
        {
            return connection.error();
        }
        auto reply = connection.value()->exchange(request, deadline);
        if (!reply && reply.error() == http_errc::connect_failed &&
            monotonic_clock::now() < deadline)
        {
            // The server closed the connection after acquire() had checked it;
            // nothing was sent.
            continue;
        }
        if (reply && check && !check(reply.value()))
        {
            connection.value()->close();
        }
        return reply;
    }
}

std::size_t
connection_pool::warm(std::size_t count, monotonic_time deadline)
{
    for (;;)
    {
        {
            const std::lock_guard lock(mutex_);
            drop_stale();
            if (stats_.open >= std::min(count, limit_))
            {
                return stats_.open;
            }
            ++stats_.open;
        }
        auto opened = open_reserved(deadline);
        if (!opened)
        {
            return stats().open;
        }
        release(std::move(opened.value()));
    }
}

void
connection_pool::set_limit(std::size_t limit)
{
    {
        const std::lock_guard lock(mutex_);
        limit_ = std::max<std::size_t>(1, limit);
    }
    changed_.notify_all();
}

pool_stats
connection_pool::stats() const
{
    const std::lock_guard lock(mutex_);
    pool_stats out = stats_;
    out.idle = idle_.size();
    return out;
}

} // namespace bramleymux
