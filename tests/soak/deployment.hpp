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

    /// Returns when the target that has left said so; zero if it did not.
    monotonic_time
    announced_at() const
    {
        return announced_at_;
    }

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
    std::unordered_map<std::uint64_t, std::uint32_t> runs_;
    std::vector<std::unique_ptr<fixture::stand_in_target>> targets_;
    std::vector<nlohmann::json> specs_;              ///< of the targets
    monotonic_time left_at_ = monotonic_time::max(); ///< of the last target
    monotonic_time announced_at_{};
    std::unordered_map<std::uint64_t, monotonic_time> late_arrivals_;
};

} // namespace bramleymux::soak
