#include "platform_lease.hpp"

#include "config.hpp"

namespace bramleymux
{

namespace
{

using nlohmann::json;

std::string
holder_of(const json& value)
{
    const auto at = value.find("holder");
    return at != value.end() && at->is_string() ? at->get<std::string>() : "";
}

std::uint64_t
term_of(const json& value)
{
    const auto at = value.find("term");
    return at != value.end() && at->is_number_unsigned()
               ? at->get<std::uint64_t>()
               : 0;
}

void
mark_lost(platform_lease& lease, lease_state state)
{
    lease.state = state;
    lease.valid_until = {};
}

/// Reads the lease object. Returns false if it cannot be read.
bool
read_lease(platform_lease& lease, platform_api& platform, monotonic_time now)
{
    const auto read = platform.get(lease.key);
    if (!read && read.error() != platform_errc::not_found)
    {
        return false;
    }
    const std::uint64_t version = read ? read.value().version : 0;
    const json value = read ? read.value().value : json::object();
    if (version != lease.version || lease.state == lease_state::free)
    {
        lease.unchanged_since = now;
    }
    lease.version = version;
    lease.term = term_of(value);
    lease.owner = holder_of(value);
    lease.state =
        lease.owner.empty() ? lease_state::free : lease_state::followed;
    return true;
}

/// Writes the lease object with this VM as its holder. The lease counts from
/// the time of the send. Reads the object back if the reply was lost.
void
write_lease(platform_lease& lease, platform_api& platform, std::uint64_t term,
    const monotonic_source& clock)
{
    const monotonic_time sent = clock();
    const json value{{"holder", lease.holder}, {"term", term},
        {"duration_ms",
            std::chrono::milliseconds(config::controller_lease).count()}};
    const auto written = platform.put(lease.key, value, lease.version);
    std::uint64_t version = written ? written.value() : 0;
    if (!written && (written.error() == platform_errc::reply_lost ||
                        written.error() == platform_errc::bad_reply))
    {
        const auto read = platform.get(lease.key);
        if (read && read.value().value == value &&
            read.value().version != lease.version)
        {
            version = read.value().version;
        }
    }
    if (version != 0)
    {
        lease.state = lease_state::held;
        lease.term = term;
        lease.version = version;
        lease.valid_until =
            sent + config::controller_lease - config::controller_lease_margin;
        lease.next_renewal = sent + config::controller_lease_renewal_period;
    }
    else if (!written && written.error() == platform_errc::conflict)
    {
        const platform_lease before = lease;
        mark_lost(lease, lease_state::followed);
        if (read_lease(lease, platform, clock()) &&
            before.state == lease_state::held && lease.owner == lease.holder &&
            lease.term == before.term)
        {
            // An earlier renewal of this VM was applied late. Its time of send
            // is not known here, so it does not extend the lease.
            lease.state = lease_state::held;
            lease.valid_until = before.valid_until;
        }
    }
}

bool
may_take(const platform_lease& lease, monotonic_time now)
{
    return lease.state == lease_state::free ||
           now - lease.unchanged_since >= config::controller_lease;
}

} // namespace

platform_lease
make_lease(std::string key, std::string holder)
{
    platform_lease lease;
    lease.key = std::move(key);
    lease.holder = std::move(holder);
    return lease;
}

bool
holds(const platform_lease& lease, monotonic_time now)
{
    return lease.state == lease_state::held && now < lease.valid_until;
}

lease_state
maintain_lease(platform_lease& lease, platform_api& platform,
    const monotonic_source& clock)
{
    const monotonic_time now = clock();
    if (lease.state == lease_state::held)
    {
        if (!holds(lease, now))
        {
            mark_lost(lease, lease_state::followed);
            lease.unchanged_since = now;
        }
        else if (now >= lease.next_renewal)
        {
            write_lease(lease, platform, lease.term, clock);
        }
        return lease.state;
    }
    if (read_lease(lease, platform, now) && may_take(lease, now))
    {
        write_lease(lease, platform, lease.term + 1, clock);
    }
    return lease.state;
}

void
release_lease(platform_lease& lease, platform_api& platform)
{
    if (lease.state == lease_state::held)
    {
        // If the platform is down, the lease ends by its duration instead.
        (void)platform.put(
            lease.key, {{"holder", ""}, {"term", lease.term}}, lease.version);
    }
    mark_lost(lease, lease_state::free);
}

fenced_outcome
fenced_put(platform_lease& lease, platform_api& platform,
    const std::string& key, const nlohmann::json& value,
    const monotonic_source& clock)
{
    if (!holds(lease, clock()))
    {
        return fenced_outcome::lease_lost;
    }
    const auto read = platform.get(key);
    if (!read && read.error() != platform_errc::not_found)
    {
        return fenced_outcome::not_written;
    }
    if (read && term_of(read.value().value) > lease.term)
    {
        mark_lost(lease, lease_state::followed);
        return fenced_outcome::lease_lost;
    }
    // The lease may have ended during the read.
    if (!holds(lease, clock()))
    {
        return fenced_outcome::lease_lost;
    }
    const auto written =
        platform.put(key, {{"term", lease.term}, {"value", value}},
            read ? read.value().version : 0);
    if (written)
    {
        return fenced_outcome::written;
    }
    return written.error() == platform_errc::reply_lost ||
                   written.error() == platform_errc::bad_reply
               ? fenced_outcome::unknown
               : fenced_outcome::not_written;
}

} // namespace bramleymux
