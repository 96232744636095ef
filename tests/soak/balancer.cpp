#include "balancer.hpp"

#include <algorithm>

namespace bramleymux::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr auto probe_period = 1s;
constexpr auto probe_timeout = 950ms;
constexpr int misses_to_leave = 2;
constexpr int status_ok = 200;

} // namespace

balancer::balancer(boost::asio::io_context& loop,
    const std::vector<std::string>& readiness_addresses)
    : loop_(loop), timer_(loop)
{
    for (const std::string& address : readiness_addresses)
    {
        members_.push_back({address, nullptr, 0, false});
    }
    probe_all();
}

void
balancer::probe_all()
{
    for (member& m : members_)
    {
        m.channel = std::make_unique<call_channel>(loop_, m.address);
        m.channel->call({"GET", "/v1/ready", {}, {}}, probe_timeout,
            [this, &m](call_reply&& reply) { on_reply(m, reply.status); });
    }
    timer_.expires_after(probe_period);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                probe_all();
            }
        });
}

void
balancer::on_reply(member& m, int status)
{
    m.misses = status == status_ok ? 0 : m.misses + 1;
    m.in_rotation =
        m.misses == 0 || (m.in_rotation && m.misses < misses_to_leave);
}

std::size_t
balancer::in_rotation() const
{
    return static_cast<std::size_t>(std::count_if(members_.begin(),
        members_.end(), [](const member& m) { return m.in_rotation; }));
}

bool
balancer::is_ready(std::size_t vm) const
{
    return members_[vm].in_rotation && members_[vm].misses == 0;
}

std::size_t
balancer::choose(std::mt19937_64& random) const
{
    const bool any = in_rotation() == 0;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        if (any || members_[i].in_rotation)
        {
            candidates.push_back(i);
        }
    }
    return candidates[std::uniform_int_distribution<std::size_t>(
        0, candidates.size() - 1)(random)];
}

} // namespace bramleymux::soak
