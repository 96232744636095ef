#pragma once

#include "membership.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Distribution of table versions between VMs by offers, requests and
/// transfers. Does no I/O and reads no clock: the caller passes the time and
/// the result of `known_vms`, and sends the returned messages.
namespace bramleymux
{

using table_value = std::shared_ptr<const nlohmann::json>;

/// Offer of the current version to one VM, repeated until the VM has that
/// version or `config::max_table_offer_attempts` were sent.
struct table_offer
{
    vm_identity to;
    bool relay = false; ///< the receiver offers the version in its own zone
    std::size_t attempts = 0;
    monotonic_time next_attempt{};
};

struct table_request
{
    std::string from; ///< id of the VM that was asked
    monotonic_time sent_at{};
};

struct distribution_state
{
    vm_identity self;
    std::uint64_t version = 0; ///< highest seen; 0 without a table
    table_value value;
    std::uint64_t relay_version = 0;           ///< highest to relay in the zone
    std::map<std::string, table_offer> offers; ///< of `version`, by VM id
    std::optional<table_request> request;
    std::mt19937_64 random;
};

struct distribution_result
{
    bool adopted = false; ///< the state has a new `version` and `value`
    membership_messages messages;
};

distribution_state
make_distribution(vm_identity self, std::uint64_t seed);

/// Adopts a table that a read or watch of the platform returned, if its version
/// is higher, and offers it to other VMs.
distribution_result
on_platform_table(distribution_state& state, std::uint64_t version,
    table_value value, const std::vector<known_vm>& known, monotonic_time now);

/// Handles a message of the type `table`. Other types and malformed messages
/// are ignored.
distribution_result
on_table_message(distribution_state& state, const peer_message& message,
    const std::vector<known_vm>& known, monotonic_time now);

/// Repeats offers and requests, and requests a higher version that a digest
/// shows. Call at least every 100 ms.
membership_messages
tick_distribution(distribution_state& state, const std::vector<known_vm>& known,
    monotonic_time now);

/// Whether the VM watches the table at the platform. The watchers of a zone are
/// the first `config::watchers_per_zone` by rendezvous rank, and one more for
/// each of higher rank that reports the platform as unreachable, up to
/// `config::max_watchers_per_zone`.
bool
watches_table(const std::string& id, const std::vector<known_vm>& known);

/// Where a table version is in force. Each VM that may serve is in one list.
struct in_force_report
{
    std::uint64_t version = 0;
    std::vector<std::string> applied;     ///< this version or a higher one
    std::vector<std::string> pending;     ///< live, with a lower version
    std::vector<std::string> cut_off;     ///< not reachable, may still serve
    std::vector<std::string> unconfirmed; ///< listed, has never answered

    bool
    everywhere() const
    {
        return pending.empty() && cut_off.empty() && unconfirmed.empty();
    }
};

in_force_report
in_force(std::uint64_t version, const std::vector<known_vm>& known);

} // namespace bramleymux
