#include "distribution.hpp"

#include "config.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleymux
{

using nlohmann::json;

namespace
{

enum class table_operation
{
    offer,    ///< offers the sender's version
    request,  ///< asks for a higher version than the sender's
    transfer, ///< carries the table of the sender's version
    have,     ///< reports the sender's version, after an offer or transfer
    count
};

constexpr name_table<table_operation> table_operation_names{
    "offer", "request", "transfer", "have"};

membership_message
make_message(const distribution_state& state, const vm_identity& to,
    table_operation operation, json body)
{
    body["op"] = table_operation_names[static_cast<std::size_t>(operation)];
    body["version"] = state.version;
    return {to, {peer_message_type::table, state.self.id,
                    state.self.incarnation, std::move(body)}};
}

/// `known` must be sorted by id. Returns null if there is no such VM.
const known_vm*
find_vm(const std::vector<known_vm>& known, const std::string& id)
{
    const auto found = std::lower_bound(known.begin(), known.end(), id,
        [](const known_vm& vm, const std::string& key)
        { return vm.identity.id < key; });
    return found != known.end() && found->identity.id == id ? &*found : nullptr;
}

/// Whether the VM is live and its version is lower.
bool
lacks(const known_vm& vm, std::uint64_t version)
{
    return vm.presence == vm_presence::live &&
           vm.digest.table_version < version;
}

std::uint64_t
rank_hash(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

void
offer_to(distribution_state& state, const known_vm& vm, bool relay,
    monotonic_time now)
{
    if (vm.identity.id != state.self.id && lacks(vm, state.version))
    {
        state.offers[vm.identity.id] = {vm.identity, relay, 0, now};
    }
}

void
offer_in_zone(distribution_state& state, const std::vector<known_vm>& known,
    monotonic_time now)
{
    for (const known_vm& vm : known)
    {
        if (vm.identity.zone == state.self.zone)
        {
            offer_to(state, vm, false, now);
        }
    }
}

/// Offers the version to a few random live VMs of each other zone, which offer
/// it in their own zone.
void
offer_to_relays(distribution_state& state, const std::vector<known_vm>& known,
    monotonic_time now)
{
    std::map<std::string, std::vector<const known_vm*>> zones;
    for (const known_vm& vm : known)
    {
        if (vm.identity.zone != state.self.zone &&
            vm.presence == vm_presence::live)
        {
            zones[vm.identity.zone].push_back(&vm);
        }
    }
    for (auto& [zone, members] : zones)
    {
        std::shuffle(members.begin(), members.end(), state.random);
        members.resize(std::min(members.size(), config::table_relays_per_zone));
        for (const known_vm* vm : members)
        {
            offer_to(state, *vm, true, now);
        }
    }
}

/// Adopts a table only if its version is higher than the highest seen. Returns
/// whether it was adopted.
bool
adopt(distribution_state& state, std::uint64_t version, table_value value)
{
    if (version <= state.version || !value)
    {
        return false;
    }
    state.version = version;
    state.value = std::move(value);
    state.offers.clear();
    state.request.reset();
    return true;
}

void
send_offers(distribution_state& state, const std::vector<known_vm>& known,
    monotonic_time now, membership_messages& out)
{
    for (auto at = state.offers.begin(); at != state.offers.end();)
    {
        table_offer& offer = at->second;
        const known_vm* vm = find_vm(known, at->first);
        if (vm == nullptr || !lacks(*vm, state.version) ||
            offer.attempts >= config::max_table_offer_attempts)
        {
            // A VM that missed all offers sees the version in digests.
            at = state.offers.erase(at);
            continue;
        }
        if (now >= offer.next_attempt)
        {
            out.push_back(make_message(state, offer.to, table_operation::offer,
                json{{"relay", offer.relay}}));
            ++offer.attempts;
            offer.next_attempt = now + config::table_offer_period;
        }
        ++at;
    }
}

void
send_request(distribution_state& state, const vm_identity& to,
    monotonic_time now, membership_messages& out)
{
    state.request = table_request{to.id, now};
    out.push_back(
        make_message(state, to, table_operation::request, json::object()));
}

bool
awaits_reply(const distribution_state& state, monotonic_time now)
{
    return state.request &&
           now - state.request->sent_at < config::table_request_timeout;
}

/// Returns a random live VM with a higher version, or null if there is none.
/// Prefers VMs other than the one that left the last request unanswered, then
/// VMs of the own zone.
const known_vm*
pick_source(distribution_state& state, const std::vector<known_vm>& known)
{
    std::vector<std::pair<int, const known_vm*>> sources;
    for (const known_vm& vm : known)
    {
        if (vm.presence == vm_presence::live &&
            vm.digest.table_version > state.version)
        {
            const bool unanswered =
                state.request && state.request->from == vm.identity.id;
            const bool remote = vm.identity.zone != state.self.zone;
            sources.emplace_back((unanswered ? 2 : 0) + (remote ? 1 : 0), &vm);
        }
    }
    if (sources.empty())
    {
        return nullptr;
    }
    std::shuffle(sources.begin(), sources.end(), state.random);
    return std::min_element(sources.begin(), sources.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; })
        ->second;
}

void
on_offer(distribution_state& state, const vm_identity& sender,
    std::uint64_t version, bool relay, monotonic_time now,
    membership_messages& out)
{
    if (version <= state.version)
    {
        out.push_back(
            make_message(state, sender, table_operation::have, json::object()));
        return;
    }
    if (relay)
    {
        state.relay_version = std::max(state.relay_version, version);
    }
    if (!awaits_reply(state, now))
    {
        send_request(state, sender, now, out);
    }
}

void
on_request(const distribution_state& state, const vm_identity& sender,
    std::uint64_t version, membership_messages& out)
{
    if (state.version > version && state.value)
    {
        out.push_back(make_message(state, sender, table_operation::transfer,
            json{{"value", *state.value}}));
    }
}

bool
on_transfer(distribution_state& state, const vm_identity& sender,
    std::uint64_t version, const json& body, const std::vector<known_vm>& known,
    monotonic_time now, membership_messages& out)
{
    const auto value = body.find("value");
    if (value == body.end() || !value->is_object() ||
        !adopt(state, version, std::make_shared<const json>(*value)))
    {
        return false;
    }
    out.push_back(
        make_message(state, sender, table_operation::have, json::object()));
    if (state.relay_version >= version)
    {
        offer_in_zone(state, known, now);
        send_offers(state, known, now, out);
    }
    return true;
}

void
on_have(distribution_state& state, const vm_identity& sender,
    std::uint64_t version, monotonic_time now, membership_messages& out)
{
    if (version >= state.version)
    {
        state.offers.erase(sender.id);
    }
    if (version > state.version && !awaits_reply(state, now))
    {
        send_request(state, sender, now, out);
    }
}

} // namespace

distribution_state
make_distribution(vm_identity self, std::uint64_t seed)
{
    distribution_state state;
    state.self = std::move(self);
    state.random.seed(seed);
    return state;
}

distribution_result
on_platform_table(distribution_state& state, std::uint64_t version,
    table_value value, const std::vector<known_vm>& known, monotonic_time now)
{
    distribution_result out;
    out.adopted = adopt(state, version, std::move(value));
    if (out.adopted)
    {
        offer_in_zone(state, known, now);
        offer_to_relays(state, known, now);
        send_offers(state, known, now, out.messages);
    }
    return out;
}

distribution_result
on_table_message(distribution_state& state, const peer_message& message,
    const std::vector<known_vm>& known, monotonic_time now)
{
    distribution_result out;
    const json& body = message.body;
    if (message.type != peer_message_type::table || !body.is_object() ||
        !body.contains("op") || !body["op"].is_string() ||
        !body.contains("version") || !body["version"].is_number_unsigned())
    {
        return out;
    }
    const known_vm* vm = find_vm(known, message.from);
    const vm_identity sender = vm != nullptr ? vm->identity
                                             : vm_identity{message.from, "", "",
                                                   message.from_incarnation};
    const auto version = body["version"].get<std::uint64_t>();
    switch (from_name<table_operation>(
        table_operation_names, body["op"].get_ref<const std::string&>()))
    {
    case table_operation::offer:
        on_offer(state, sender, version, body.value("relay", json()) == true,
            now, out.messages);
        break;
    case table_operation::request:
        on_request(state, sender, version, out.messages);
        break;
    case table_operation::transfer:
        out.adopted =
            on_transfer(state, sender, version, body, known, now, out.messages);
        break;
    case table_operation::have:
        on_have(state, sender, version, now, out.messages);
        break;
    default:
        break;
    }
    return out;
}

membership_messages
tick_distribution(distribution_state& state, const std::vector<known_vm>& known,
    monotonic_time now)
{
    membership_messages out;
    send_offers(state, known, now, out);
    if (!awaits_reply(state, now))
    {
        if (const known_vm* source = pick_source(state, known))
        {
            send_request(state, source->identity, now, out);
        }
    }
    return out;
}

bool
watches_table(const std::string& id, const std::vector<known_vm>& known)
{
    const known_vm* self = find_vm(known, id);
    if (self == nullptr || self->presence != vm_presence::live)
    {
        return false;
    }
    std::size_t higher_ranked = 0;
    std::size_t reachable_higher_ranked = 0;
    for (const known_vm& vm : known)
    {
        if (vm.identity.zone == self->identity.zone &&
            vm.presence == vm_presence::live &&
            vm.digest.state == serving_state::serving &&
            std::make_pair(rank_hash(vm.identity.id), vm.identity.id) >
                std::make_pair(rank_hash(id), id))
        {
            ++higher_ranked;
            reachable_higher_ranked += vm.digest.platform_reachable ? 1 : 0;
        }
    }
    return reachable_higher_ranked < config::watchers_per_zone &&
           higher_ranked < config::max_watchers_per_zone;
}

in_force_report
in_force(std::uint64_t version, const std::vector<known_vm>& known)
{
    in_force_report out;
    out.version = version;
    for (const known_vm& vm : known)
    {
        switch (vm.presence)
        {
        case vm_presence::live:
            (lacks(vm, version) ? out.pending : out.applied)
                .push_back(vm.identity.id);
            break;
        case vm_presence::cut_off:
            // It may have restarted with an earlier version.
            out.cut_off.push_back(vm.identity.id);
            break;
        case vm_presence::unconfirmed:
            out.unconfirmed.push_back(vm.identity.id);
            break;
        default:
            break;
        }
    }
    return out;
}

} // namespace bramleymux
