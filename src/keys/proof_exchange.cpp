#include "keys/proof_exchange.hpp"

#include "config/revocation.hpp"
#include "process_pause.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

std::int64_t
in_milliseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace

proof_exchange::proof_exchange(boost::asio::io_context& loop, metrics& counters,
    decision_log& log, proof_handlers handlers)
    : loop_(loop), metrics_(counters), log_(log),
      handlers_(std::move(handlers)), random_(std::random_device{}()),
      started_at_(boot_time())
{
}

void
proof_exchange::set_bound(std::optional<duration> bound)
{
    bound_ = bound;
}

void
proof_exchange::set_vms(
    const std::vector<registered_vm>& vms, const registered_vm& self)
{
    sources_ = {};
    watches_for_others_ = vms.empty();
    for (const registered_vm& relay : first_relays(vms, self.zone))
    {
        if (relay.id == self.id)
        {
            watches_for_others_ = true;
        }
        else
        {
            sources_.relays.push_back(relay.peer_address);
        }
    }
    // A VM that watches because its questions failed tries them again.
    questions_.failures = 0;
    for (const registered_vm& vm : vms)
    {
        if (vm.id != self.id)
        {
            sources_.others.push_back(vm.peer_address);
        }
    }
}

void
proof_exchange::record_store_proof(duration sent_at, std::uint64_t era)
{
    record_store_era(restart_, era);
    if (is_restart_checked())
    {
        bramleymux::record_store_proof(proof_, sent_at);
    }
}

bool
proof_exchange::is_restart_checked() const
{
    return !bound_ ||
           bramleymux::is_restart_checked(restart_, boot_time() - started_at_,
               *bound_, sources_.others.size());
}

bool
proof_exchange::is_current() const
{
    return !bound_ || bramleymux::is_current(proof_, boot_time(), *bound_);
}

bool
proof_exchange::is_needed() const
{
    return bound_ && handlers_.state().has_workspaces;
}

std::optional<duration>
proof_exchange::watch_wait() const
{
    const bool answers_fail =
        questions_.failures >= config::failures_before_watch;
    return is_needed() && (watches_for_others_ || answers_fail)
               ? std::optional<duration>(proof_watch_wait(*bound_))
               : std::nullopt;
}

void
proof_exchange::serve(const std::string& path, const reply_handler& reply) const
{
    http_reply out;
    const state_in_force state = handlers_.state();
    const duration now = boot_time();
    if (!bound_ || state.version == 0 ||
        !bramleymux::is_current(proof_, now, *bound_))
    {
        out.status = status_unavailable;
        reply(std::move(out));
        return;
    }
    freshness_answer answer;
    answer.revision = state.revision;
    answer.version = state.version;
    answer.age = now - *proof_.as_of;
    if (state.payload != nullptr && version_in_question(path) < state.version)
    {
        answer.payload = *state.payload;
    }
    out.status = status_ok;
    out.fields.push_back({"Content-Type", "application/cbor"});
    out.body = encode_freshness(answer);
    reply(std::move(out));
}

void
proof_exchange::tick()
{
    const duration now = boot_time();
    report(now);
    if (asking_ || !is_needed())
    {
        return;
    }
    const auto address =
        next_question(questions_, proof_, now, *bound_, sources_, random_());
    if (address)
    {
        ask(*address);
    }
}

void
proof_exchange::ask(const std::string& address)
{
    asking_ = true;
    metrics_.add(counter::freshness_asked);
    const std::string path = freshness_question(handlers_.state().version);
    call_channel& channel = channel_to(address);
    // Read before the send, so that the time of the call counts as age.
    const duration asked_at = boot_time();
    channel.call({"GET", path, {}, {}, true}, config::question_timeout,
        [this, asked_at, address](call_reply&& reply)
        {
            asking_ = false;
            on_answer(asked_at, address, reply);
        });
}

void
proof_exchange::on_answer(
    duration asked_at, const std::string& address, const call_reply& reply)
{
    const auto answer =
        reply.status == status_ok ? decode_freshness(reply.body) : std::nullopt;
    if (answer && answer->payload &&
        answer->version > handlers_.state().version)
    {
        handlers_.adopt(*answer);
    }
    // The age says nothing of another state than the one in force here.
    const bool usable = answer && answer->version == handlers_.state().version;
    if (usable)
    {
        record_store_era(restart_, handlers_.state().store_era);
        record_confirmation(restart_, address);
    }
    else
    {
        metrics_.add(counter::freshness_failed);
    }
    if (usable && is_restart_checked())
    {
        record_peer_proof(proof_, asked_at, answer->age);
    }
    const auto age = age_of(proof_, boot_time());
    record_question_end(
        questions_, usable && bound_ && age && *age <= question_age(*bound_));
}

/// Returns a channel that is kept, or a new one in place of the oldest.
call_channel&
proof_exchange::channel_to(const std::string& address)
{
    const auto found = std::find_if(channels_.begin(), channels_.end(),
        [&](const auto& c) { return c->address() == address; });
    if (found != channels_.end())
    {
        std::rotate(found, found + 1, channels_.end());
        return *channels_.back();
    }
    if (channels_.size() >= config::max_question_channels)
    {
        channels_.erase(channels_.begin());
    }
    channels_.push_back(std::make_unique<call_channel>(loop_, address));
    return *channels_.back();
}

void
proof_exchange::report(duration now)
{
    const bool needed = is_needed();
    // Without a proof, the state may be older than the process.
    const duration age = age_of(proof_, now).value_or(now - started_at_);
    metrics_.set(counter::keys_age_ms,
        needed ? static_cast<std::uint64_t>(in_milliseconds(age)) : 0);
    const bool stale = needed && !bramleymux::is_current(proof_, now, *bound_);
    if (stale == reported_stale_)
    {
        return;
    }
    reported_stale_ = stale;
    const event what = stale ? event::keys_stale : event::keys_current;
    if (log_.try_admit(what, monotonic_clock::now()))
    {
        log_.write(what, {{"age_ms", in_milliseconds(age)},
                             {"has_proof", proof_.as_of.has_value()},
                             {"failed_questions", questions_.failures},
                             {"config_version", handlers_.state().version}});
    }
}

} // namespace bramleymux
