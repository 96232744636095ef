#pragma once

#include "call_channel.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bramleymux::soak
{

/// Asks each VM for its readiness once a second. A VM gets no new connections
/// after two misses in a row until it replies with 200 again.
class balancer
{
public:
    balancer(boost::asio::io_context& loop,
        const std::vector<std::string>& readiness_addresses);

    /// Returns a VM in rotation; any VM if there is none.
    std::size_t
    choose(std::mt19937_64& random) const;

    std::size_t
    in_rotation() const;

    /// Returns whether the last reply of the VM was 200.
    bool
    is_ready(std::size_t vm) const;

private:
    struct member
    {
        std::string address;
        std::unique_ptr<call_channel> channel;
        int misses = 0;
        bool in_rotation = false;
    };

    void
    probe_all();
    void
    on_reply(member& m, int status);

    boost::asio::io_context& loop_;
    boost::asio::steady_timer timer_;
    std::vector<member> members_;
};

} // namespace bramleymux::soak
