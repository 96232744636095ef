#pragma once

#include "schedule.hpp"
#include "stand_in_target.hpp"
#include "store.hpp"

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace bramleymux::soak
{

/// Writes desired states and registers stand-in targets in the store. Counts
/// how many times each request reaches a target.
class deployment
{
public:
    deployment(boost::asio::io_context& loop, std::uint64_t seed,
        const std::vector<std::string>& zones, std::size_t vms);

    /// Writes the next version of the desired state.
    void
    set_state(const state_choice& state);

    const state_choice&
    state() const
    {
        return state_;
    }

    std::uint32_t
    runs(std::uint64_t request) const;

    /// Chooses the key of a request: the one that is never revoked, the newest
    /// one, or one that was revoked lately.
    std::size_t
    choose_key(std::mt19937_64& random) const;

    /// Returns when the store acknowledged the revocation of a key; the
    /// greatest time if it has not.
    monotonic_time
    revoked_at(std::size_t key) const;

    /// Writes an entry of another program; `choice` selects it.
    void
    write_odd_entry(std::uint64_t choice);

    /// Removes the registration of a target, which goes on serving. Returns
    /// false if it has left already.
    bool
    leave();
    void
    come_back();

    /// Returns when a request reached the target that has left, long after its
    /// registration was removed; zero if it did not.
    monotonic_time
    reached_left_target_at(std::uint64_t request) const;

    stand_in_store store;

private:
    void
    add_target(boost::asio::io_context& loop, const std::string& service,
        const std::string& zone);
    void
    register_target(std::size_t target);
    fixture::scripted_reply
    serve(const std::string& target, const parsed_request& request);

    std::mt19937_64 random_;
    state_choice state_;
    std::uint64_t version_ = 0;
    /// When the keys from 1 on were revoked. The key after them is the newest.
    std::vector<monotonic_time> revocations_;
    std::unordered_map<std::uint64_t, std::uint32_t> runs_;
    std::vector<std::unique_ptr<fixture::stand_in_target>> targets_;
    std::vector<nlohmann::json> specs_;              ///< of the targets
    monotonic_time left_at_ = monotonic_time::max(); ///< of the last target
    std::unordered_map<std::uint64_t, monotonic_time> late_arrivals_;
};

} // namespace bramleymux::soak
