#pragma once

#include "membership.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Distribution of the table (D11) by offers, requests and transfers between
/// VMs. Pure: the caller passes the time and the known VMs, and sends the
/// returned messages.
namespace bramleymux
{

using table_value = std::shared_ptr<const nlohmann::json>;

/// Offer of the current version to one VM, repeated until it has it.
struct table_offer
{
    vm_identity to;
    bool relay = false; ///< the receiver offers it to its own zone
    std::size_t attempts = 0;
    monotonic_time next{};
};

struct table_request
{
    std::string from;
    monotonic_time sent{};
};

struct distribution_state
{
    vm_identity self;
    std::uint64_t version = 0; ///< highest seen; 0 without a table
    table_value value;
    std::uint64_t relay_version = 0; ///< highest that this VM shall relay
    std::map<std::string, table_offer> offers; ///< of `version`, by VM id
    std::optional<table_request> request;
    std::mt19937_64 random;
};

struct distribution_result
{
    bool adopted = false; ///< `version` and `value` of the state are new
    membership_messages messages;
};

distribution_state
make_distribution(vm_identity self, std::uint64_t seed);

/// Takes a table that the platform or its watch returned.
distribution_result
on_platform_table(distribution_state& state, std::uint64_t version,
    table_value value, const std::vector<known_vm>& known, monotonic_time now);

/// Takes a message of the type `table`; others are ignored.
distribution_result
on_table_message(distribution_state& state, const peer_message& message,
    const std::vector<known_vm>& known, monotonic_time now);

/// To be called at least every 100 ms. Repeats offers and requests, and asks
/// for a version that a digest shows.
membership_messages
tick_distribution(distribution_state& state, const std::vector<known_vm>& known,
    monotonic_time now);

/// Whether the VM watches the table at the platform: the first two of its
/// zone by rendezvous rank, and one more for each earlier one that reports the
/// platform as unreachable.
bool
watches_table(const std::string& id, const std::vector<known_vm>& known);

/// Where a table version is in force. A VM that may serve is in one list.
struct in_force_report
{
    std::uint64_t version = 0;
    std::vector<std::string> applied;     ///< this version or a higher one
    std::vector<std::string> pending;     ///< live, with a lower version
    std::vector<std::string> cut_off;     ///< not reachable, may still serve
    std::vector<std::string> unconfirmed; ///< listed, never answered

    bool
    everywhere() const
    {
        return pending.empty() && cut_off.empty() && unconfirmed.empty();
    }
};

in_force_report
in_force(std::uint64_t version, const std::vector<known_vm>& known);

} // namespace bramleymux
