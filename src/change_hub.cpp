#include "change_hub.hpp"

#include "config.hpp"

#include <algorithm>
#include <charconv>

namespace bramleymux
{

namespace
{

constexpr int status_ok = 200;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;

/// Returns the value of "name=N" in the query string, 0 if absent.
std::uint64_t
query_parameter(const std::string& path, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    const std::size_t at = path.find(key);
    std::uint64_t value = 0;
    if (at != std::string::npos)
    {
        std::from_chars(
            path.data() + at + key.size(), path.data() + path.size(), value);
    }
    return value;
}

/// Returns the newest era as of which the delta holds a kind.
std::uint64_t
newest_era(const change_delta& delta)
{
    std::uint64_t out = 0;
    for (const auto& [kind, revision] : delta.revisions)
    {
        out = std::max(out, revision.era);
    }
    return out;
}

duration
share_of(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

} // namespace

/// A relay that this VM polls.
struct change_hub::relay
{
    relay(boost::asio::io_context& loop, const std::string& address,
        std::uint64_t relay_id)
        : id(relay_id), channel(loop, address), timer(loop)
    {
    }

    std::uint64_t id; ///< not used again
    call_channel channel;
    boost::asio::steady_timer timer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint32_t failures = 0; ///< since the last delta
    std::uint64_t waits = 0;    ///< identifies the last wait on `timer`
    bool has_replied = false;   ///< with a delta, at least once

    bool
    is_healthy() const
    {
        return failures < config::relay_max_failures;
    }
};

change_hub::change_hub(boost::asio::io_context& loop, metrics& counters,
    decision_log& log, std::string vm_id, std::string zone,
    std::set<std::string> kinds, hub_handlers handlers)
    : loop_(loop), metrics_(counters), log_(log), vm_id_(std::move(vm_id)),
      zone_(std::move(zone)), handlers_(std::move(handlers)),
      kinds_(std::move(kinds)), unlisted_kinds_(kinds_),
      data_max_age_(
          share_of(config::default_leave_bound, config::relay_data_age_share))
{
    // Never 0: a follower without a delta polls with epoch 0.
    view_.epoch = std::random_device{}() | 1U;
}

change_hub::~change_hub() = default;

void
change_hub::publish(const std::vector<store_change>& changes)
{
    for (const store_change& change : changes)
    {
        handlers_.on_change(change);
    }
    if (!changes.empty())
    {
        last_change_at_ = monotonic_clock::now();
    }
}

void
change_hub::apply_list(const std::string& kind,
    const std::vector<store_change>& objects, const store_revision& revision)
{
    publish(
        replace_kind(view_, kind, objects, revision, monotonic_clock::now()));
    unlisted_kinds_.erase(kind);
    if (revision.era >= store_era())
    {
        unconfirmed_kinds_.erase(kind);
    }
}

void
change_hub::apply_changes(const std::string& kind,
    const std::vector<store_change>& changes, const store_revision& revision)
{
    const monotonic_time now = monotonic_clock::now();
    for (const store_change& change : changes)
    {
        if (apply(view_, change, now))
        {
            publish({change});
        }
    }
    raise_revision(view_, kind, revision);
}

void
change_hub::apply_object(const store_change& object)
{
    if (apply(view_, object, monotonic_clock::now()))
    {
        publish({object});
    }
}

void
change_hub::record_store_result(bool succeeded)
{
    store_failed_ = !succeeded;
    if (succeeded)
    {
        last_store_reply_at_ = monotonic_clock::now();
        last_update_at_ = last_store_reply_at_;
    }
}

void
change_hub::record_store_reply()
{
    last_store_reply_at_ = monotonic_clock::now();
}

/// Without a reply, or while no era is known and the store states none with an
/// error, nothing is learned.
era_order
change_hub::record_store_era(const call_reply& reply)
{
    const bool silent =
        !reply.store_era &&
        (reply.status == 0 || (!era_ && reply.status >= first_server_error));
    const std::uint64_t era = reply.store_era.value_or(0);
    if (silent)
    {
        return era_order::current;
    }
    if (take_era(era))
    {
        refresh();
        return era_order::newer;
    }
    return era < store_era() ? era_order::older : era_order::current;
}

bool
change_hub::take_era(std::uint64_t era)
{
    if (era_ && era <= *era_)
    {
        return false;
    }
    const bool restored = era_.has_value();
    const std::uint64_t former = store_era();
    era_ = era;
    metrics_.set(counter::store_era, era);
    if (!restored)
    {
        return false;
    }
    unconfirmed_kinds_ = kinds_;
    restored_ = true;
    if (log_.try_admit(event::store_restored, monotonic_clock::now()))
    {
        log_.write(event::store_restored, {{"era", era}, {"former", former}});
    }
    if (handlers_.on_restore)
    {
        handlers_.on_restore();
    }
    return true;
}

void
change_hub::set_data_max_age(duration age)
{
    data_max_age_ = age;
}

void
change_hub::refresh()
{
    unconfirmed_kinds_ = kinds_;
    for (const auto& r : relays_)
    {
        ++r->waits;
        r->timer.cancel();
        r->channel.cancel();
        poll(*r);
    }
    restart_feeds();
}

void
change_hub::restart_feeds()
{
    if (follows_store_)
    {
        set_following(false);
        set_following(true);
    }
}

/// Returns whether this VM may answer polls: it follows the store, is not
/// stopping, knows the objects of every kind, and its last call to the store
/// succeeded and was recent. A VM that is cut off from the store refuses polls
/// soon, so that its followers turn to other relays or to the store.
bool
change_hub::is_current(monotonic_time now) const
{
    return reaches_store(now) && is_confirmed();
}

bool
change_hub::reaches_store(monotonic_time now) const
{
    return follows_store_ && !store_failed_ && !stopping_ && is_synced() &&
           now - last_store_reply_at_ < data_max_age_;
}

/// Returns whether this VM lists a restored store. Polls wait meanwhile: three
/// refusals in a row would send all followers to the store.
bool
change_hub::is_relisting(monotonic_time now) const
{
    return restored_ && !is_confirmed() && reaches_store(now);
}

void
change_hub::set_vms(const std::vector<registered_vm>& vms)
{
    relay_plan plan = plan_relays(vms, vm_id_, zone_);
    if (plan.relays != plan_.relays)
    {
        std::vector<std::unique_ptr<relay>> next_relays;
        for (const std::string& address : plan.relays)
        {
            const auto found = std::find_if(relays_.begin(), relays_.end(),
                [&](const auto& r)
                { return r && r->channel.address() == address; });
            const bool known = found != relays_.end();
            next_relays.push_back(known ? std::move(*found)
                                        : std::make_unique<relay>(loop_,
                                              address, ++last_relay_id_));
            if (!known)
            {
                poll(*next_relays.back());
            }
        }
        relays_ = std::move(next_relays);
    }
    plan_ = std::move(plan);
    update_following();
}

void
change_hub::poll(relay& r)
{
    std::string path = std::string(changes_path) +
                       "?epoch=" + std::to_string(r.epoch) +
                       "&after=" + std::to_string(r.sequence);
    if (store_era() != 0)
    {
        // A relay that does not know of a restore yet learns of it by this.
        path += "&era=" + std::to_string(store_era());
    }
    r.channel.call({"GET", path, {}, {}, true},
        config::relay_poll_wait + config::relay_poll_margin,
        [this, &r](call_reply&& reply) { on_poll(r, std::move(reply)); });
}

void
change_hub::on_poll(relay& r, call_reply&& reply)
{
    const auto delta =
        reply.status == status_ok ? decode_delta(reply.body) : std::nullopt;
    const bool was_healthy = r.is_healthy();
    // A poll without a reply makes a relay unhealthy at once, since a relay
    // answers every poll before the timeout, also without changes.
    const bool silent = reply.status == 0 && !reply.unsent;
    r.failures = delta    ? 0
                 : silent ? config::relay_max_failures
                          : r.failures + 1;
    // A relay that refuses may have lost the store for a moment, or be cut off;
    // asking it soon tells which.
    const bool refused = reply.status == status_unavailable && r.has_replied;
    const duration retry_delay = refused ? duration(config::relay_refused_delay)
                                         : duration(config::relay_retry_delay);
    if (delta)
    {
        take_delta(r, *delta);
    }
    if (r.is_healthy() != was_healthy)
    {
        update_following();
    }
    r.timer.expires_after(delta ? duration::zero() : retry_delay);
    // `set_vms` may destroy the relay while this handler is queued.
    r.timer.async_wait(
        [this, id = r.id, wait = ++r.waits](boost::system::error_code error)
        {
            const auto found = std::find_if(relays_.begin(), relays_.end(),
                [&](const auto& candidate)
                { return candidate->id == id && candidate->waits == wait; });
            if (!error && found != relays_.end())
            {
                poll(**found);
            }
        });
}

void
change_hub::take_delta(relay& r, const change_delta& delta)
{
    const std::uint64_t era = newest_era(delta);
    if (take_era(era))
    {
        restart_feeds();
    }
    r.has_replied = true;
    r.epoch = delta.epoch;
    r.sequence = delta.sequence;
    publish(merge_delta(view_, delta, monotonic_clock::now()));
    if (era < store_era())
    {
        // The relay does not know yet that the store was restored.
        return;
    }
    last_update_at_ = monotonic_clock::now();
    // A single relay may be behind: it may list objects that were deleted while
    // it was cut off.
    const auto replied = static_cast<std::size_t>(std::count_if(relays_.begin(),
        relays_.end(), [](const auto& other) { return other->has_replied; }));
    const bool enough =
        replied >= std::min(config::min_healthy_relays, relays_.size());
    for (const auto& [kind, revision] : delta.revisions)
    {
        if (revision.era < store_era())
        {
            continue;
        }
        unconfirmed_kinds_.erase(kind);
        if (enough)
        {
            unlisted_kinds_.erase(kind);
        }
    }
}

/// Decides whether this VM follows the store itself: as a relay or with too few
/// healthy relays, and then for at least `config::min_follow_store_time`, so
/// that a flapping relay causes few calls to the store.
void
change_hub::update_following()
{
    const monotonic_time now = monotonic_clock::now();
    const auto healthy = static_cast<std::size_t>(std::count_if(relays_.begin(),
        relays_.end(), [](const auto& r) { return r->is_healthy(); }));
    const bool needed = plan_.is_relay || healthy < config::min_healthy_relays;
    if (needed)
    {
        follow_store_until_ = now + config::min_follow_store_time;
    }
    // In a zone with one relay, a starting VM does not wait for relays, which
    // may be starting too.
    const bool starting = plan_.small_zone && !is_synced();
    const bool follow = needed || starting || now < follow_store_until_;
    if (follow == follows_store_)
    {
        return;
    }
    set_following(follow);
    if (log_.try_admit(event::store_followed, now))
    {
        log_.write(event::store_followed,
            {{"follow", follow}, {"relay", plan_.is_relay},
                {"sound_relays", healthy}, {"relays", relays_.size()}});
    }
}

void
change_hub::set_following(bool follow)
{
    follows_store_ = follow;
    handlers_.follow_store(follow);
}

void
change_hub::serve_poll(const std::string& path, poll_reply reply)
{
    const monotonic_time now = monotonic_clock::now();
    const std::uint64_t era = query_parameter(path, "&era");
    if (era > 0 && take_era(era))
    {
        refresh();
    }
    if (!is_current(now) && !is_relisting(now))
    {
        http_reply out;
        out.status = status_unavailable;
        reply(std::move(out));
        return;
    }
    pending_polls_.push_back(
        {query_parameter(path, "epoch"), query_parameter(path, "after"),
            now + config::relay_poll_wait, std::move(reply)});
    answer_polls(now);
}

/// Answers polls that have changes or are due, and refuses all of them when
/// this VM is not current. Changes in quick succession go out in one reply.
void
change_hub::answer_polls(monotonic_time now)
{
    const bool settled = now - last_change_at_ >= config::relay_batch_delay;
    const bool current = is_current(now);
    const bool relisting = is_relisting(now);
    restored_ = restored_ && !current;
    for (auto it = pending_polls_.begin(); it != pending_polls_.end();)
    {
        const bool has_changes =
            it->epoch != view_.epoch || (settled && it->after < view_.sequence);
        const bool waits = relisting || (current && !has_changes);
        if (waits && now < it->deadline)
        {
            ++it;
            continue;
        }
        http_reply out;
        out.status = current ? status_ok : status_unavailable;
        if (current)
        {
            out.fields.push_back({"Content-Type", "application/cbor"});
            out.body = encode_delta(delta_since(view_, it->epoch, it->after));
        }
        const poll_reply reply = std::move(it->reply);
        it = pending_polls_.erase(it);
        reply(std::move(out));
    }
}

void
change_hub::stop()
{
    stopping_ = true;
    answer_polls(monotonic_clock::now());
}

void
change_hub::tick()
{
    const monotonic_time now = monotonic_clock::now();
    answer_polls(now);
    prune_deletions(view_, now);
    if (follows_store_ && !plan_.is_relay && is_synced() &&
        now >= follow_store_until_)
    {
        update_following();
    }
    metrics_.set(counter::follows_store, follows_store_ ? 1 : 0);
}

} // namespace bramleymux
