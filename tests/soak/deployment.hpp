#pragma once

#include "conduct.hpp"
#include "schedule.hpp"
#include "stand_in_target.hpp"
#include "store.hpp"

#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace bramleymux::soak
{

/// Writes desired states and registers stand-in targets in the store. Counts
/// how many times each request runs.
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

    /// Lets a target say in its registration that it leaves, after a copy of
    /// the store was kept. Returns false if it has left already.
    bool
    announce_leaving();

    /// Writes the objects of the operator and of the targets again, as they do
    /// after a restore of the store.
    void
    write_again();

    /// Arrival of a request at a target long after that has left.
    struct late_arrival
    {
        monotonic_time at{};
        bool announced = false; ///< the target had said that it leaves
    };

    /// Returns nullopt if the request did not reach a target that has left.
    std::optional<late_arrival>
    reached_left_target(std::uint64_t request) const;

    stand_in_store store;

private:
    void
    add_target(boost::asio::io_context& loop, const std::string& service,
        const std::string& zone);
    void
    register_target(std::size_t target);
    fixture::scripted_reply
    serve(std::size_t target, const parsed_request& request);
    std::optional<fixture::scripted_reply>
    serve_early(std::size_t target, const std::string& bytes);
    fixture::scripted_reply
    reply_to(std::uint64_t id, std::size_t target, const conduct& chosen);

    std::mt19937_64 random_;
    conduct_source conducts_;
    state_choice state_;
    std::uint64_t version_ = 0;
    /// When the keys from 1 on were revoked. The key after them is the newest.
    std::vector<monotonic_time> revocations_;
    std::unordered_map<std::uint64_t, std::uint32_t> runs_;
    std::vector<std::unique_ptr<fixture::stand_in_target>> targets_;
    std::vector<nlohmann::json> specs_;              ///< of the targets
    monotonic_time left_at_ = monotonic_time::max(); ///< of the last target
    bool announced_ = false; ///< it has said so, and then left
    std::unordered_map<std::uint64_t, late_arrival> late_arrivals_;
};

} // namespace bramleymux::soak
