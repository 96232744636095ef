#include "keys/state_proof.hpp"

#include "config/revocation.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

duration
share_of(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

void
raise(state_proof& proof, duration as_of)
{
    proof.as_of = std::max(proof.as_of.value_or(as_of), as_of);
}

} // namespace

duration
longest_proof_age(duration bound)
{
    return bound - share_of(bound, config::proof_margin_share) -
           config::proof_margin;
}

duration
question_age(duration bound)
{
    return share_of(bound, config::question_age_share);
}

duration
proof_watch_wait(duration bound)
{
    return std::max<duration>(config::min_proof_watch_wait,
        share_of(bound, config::proof_watch_share));
}

void
record_store_proof(state_proof& proof, duration sent_at)
{
    raise(proof, sent_at);
}

void
record_peer_proof(state_proof& proof, duration asked_at, duration age)
{
    if (age >= duration::zero())
    {
        raise(proof, asked_at - age);
    }
}

std::optional<duration>
age_of(const state_proof& proof, duration now)
{
    return proof.as_of ? std::optional<duration>(now - *proof.as_of)
                       : std::nullopt;
}

bool
is_current(const state_proof& proof, duration now, duration bound)
{
    const auto age = age_of(proof, now);
    return age && *age <= longest_proof_age(bound);
}

std::optional<std::string>
next_question(question_state& questions, const state_proof& proof, duration now,
    duration bound, const proof_sources& sources, std::uint64_t random)
{
    const auto age = age_of(proof, now);
    const bool due =
        now >= questions.next_at && (!age || *age > question_age(bound));
    if (!due || (sources.relays.empty() && sources.others.empty()))
    {
        return std::nullopt;
    }
    questions.next_at = now + config::question_period;
    const bool ask_other =
        sources.relays.empty() ||
        (questions.failures % 2 != 0 && !sources.others.empty());
    if (ask_other)
    {
        return sources.others[random % sources.others.size()];
    }
    return sources.relays[questions.relay % sources.relays.size()];
}

void
record_store_era(restart_check& check, std::uint64_t era)
{
    check.passed = check.passed || era == 0;
}

void
record_confirmation(restart_check& check, const std::string& address)
{
    const bool known = std::find(check.answered.begin(), check.answered.end(),
                           address) != check.answered.end();
    if (!known && check.answered.size() < config::restart_confirmations)
    {
        check.answered.push_back(address);
    }
}

bool
is_restart_checked(const restart_check& check, duration since_start,
    duration bound, std::size_t other_vms)
{
    // Without a list of the VMs there may be others.
    const std::size_t needed =
        std::clamp<std::size_t>(other_vms, 1, config::restart_confirmations);
    return check.passed || since_start >= bound ||
           check.answered.size() >= needed;
}

void
record_question_end(question_state& questions, bool useful)
{
    const bool relay_failed = !useful && questions.failures % 2 == 0;
    questions.relay += relay_failed ? 1 : 0;
    questions.failures = useful ? 0 : questions.failures + 1;
}

} // namespace bramleymux
