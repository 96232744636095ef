#pragma once

#include "distribution.hpp"
#include "membership.hpp"
#include "peer_codec.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// Simulates many VMs in one process on a virtual clock, with a network that
/// can lose, duplicate, reorder and block messages.
namespace bramleymux::test
{

using namespace std::chrono_literals;

struct fleet_options
{
    std::size_t vms = 8;
    std::size_t zones = 4;
    std::uint64_t seed = 1;
    double loss = 0;      ///< probability per message
    double duplicate = 0; ///< probability per message
    duration min_delay = 1ms;
    duration max_delay = 3ms;
};

struct fleet_node
{
    membership_state membership;
    distribution_state distribution;
    std::uint64_t highest_seen = 0;
    bool version_decreased = false;
    bool running = true;
    monotonic_time paused_until{};
    std::vector<peer_message> waiting; ///< received while paused
    std::vector<member_event> events;
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
};

class virtual_fleet
{
public:
    explicit virtual_fleet(const fleet_options& options)
        : options_(options), random_(options.seed)
    {
        for (std::size_t i = 0; i < options.vms; ++i)
        {
            platform_list.push_back(
                {name(i), "zone-" + std::to_string(i % options.zones),
                    "10.1." + std::to_string(i / 250) + "." +
                        std::to_string(i % 250 + 1) + ":7946",
                    vm_list_state::live});
        }
        for (std::size_t i = 0; i < options.vms; ++i)
        {
            start(i, first_incarnation);
        }
    }

    static std::string
    name(std::size_t index)
    {
        const std::string digits = std::to_string(index);
        return "vm-" + std::string(4 - digits.size(), '0') + digits;
    }

    /// Starts a run of a VM in place of its previous one.
    void
    start(std::size_t index, std::uint64_t incarnation)
    {
        auto node = std::make_unique<fleet_node>();
        const vm_identity self{platform_list[index].id,
            platform_list[index].zone, platform_list[index].peer_address,
            incarnation};
        node->membership = make_membership(self, random_());
        node->distribution = make_distribution(self, random_());
        seed_members(node->membership, platform_list, now);
        for (auto at = links_.begin(); at != links_.end();)
        {
            at = at->first == self.id || at->second == self.id
                     ? links_.erase(at)
                     : std::next(at);
        }
        nodes[self.id] = std::move(node);
    }

    void
    run(duration time)
    {
        const monotonic_time end = now + time;
        while (now < end)
        {
            now += tick;
            deliver();
            for (auto& [id, node] : nodes)
            {
                if (node->running && node->paused_until <= now)
                {
                    step(*node);
                }
            }
        }
    }

    /// Runs until the condition holds. Returns false if it does not within
    /// `limit` of virtual time.
    bool
    run_until(duration limit, const std::function<bool()>& condition)
    {
        const monotonic_time end = now + limit;
        while (!condition())
        {
            if (now >= end)
            {
                return false;
            }
            run(tick);
        }
        return true;
    }

    fleet_node&
    node(std::size_t index)
    {
        return *nodes.at(name(index));
    }

    /// Number of VMs that a VM sees as live.
    std::size_t
    live_count(fleet_node& from) const
    {
        std::size_t count = 0;
        for (const known_vm& vm : known_vms(from.membership))
        {
            count += vm.presence == vm_presence::live ? 1 : 0;
        }
        return count;
    }

    /// Whether the VM sees exactly the running VMs as live.
    bool
    has_exact_view(const fleet_node& from) const
    {
        std::size_t running = 0;
        for (const auto& [id, node] : nodes)
        {
            running += node->running ? 1 : 0;
        }
        for (const known_vm& vm : known_vms(from.membership))
        {
            const fleet_node& other = *nodes.at(vm.identity.id);
            if (vm.presence == vm_presence::live)
            {
                if (!other.running || other.membership.self.incarnation !=
                                          vm.identity.incarnation)
                {
                    return false;
                }
                --running;
            }
        }
        return running == 0;
    }

    /// Whether every running VM sees exactly the running VMs as live.
    bool
    converged() const
    {
        return std::all_of(nodes.begin(), nodes.end(),
            [&](const auto& each)
            { return !each.second->running || has_exact_view(*each.second); });
    }

    bool
    all_have(std::uint64_t version) const
    {
        for (const auto& [id, node] : nodes)
        {
            if (node->running && node->distribution.version < version)
            {
                return false;
            }
        }
        return true;
    }

    /// Passes a table of the platform to one VM.
    void
    publish(std::size_t index, std::uint64_t version)
    {
        fleet_node& at = node(index);
        apply_result(at, on_platform_table(at.distribution, version,
                             std::make_shared<const nlohmann::json>(
                                 nlohmann::json{{"rows", version}}),
                             known_vms(at.membership), now));
    }

    /// Clears the traffic counters.
    void
    reset_counters()
    {
        for (auto& [id, node] : nodes)
        {
            node->sent_messages = node->sent_bytes = 0;
        }
    }

    static constexpr std::uint64_t first_incarnation = 1764831600000000U;
    static constexpr duration tick = 50ms;

    monotonic_time now{1h};
    std::vector<vm_list_entry> platform_list;
    std::map<std::string, std::unique_ptr<fleet_node>> nodes;
    /// Whether messages of the first VM to the second are blocked.
    std::function<bool(const vm_identity&, const vm_identity&)> is_cut;
    std::size_t largest_gossip = 0; ///< bytes of the largest membership message
    std::size_t transfers = 0;      ///< tables sent on open links

private:
    struct delivery
    {
        monotonic_time at;
        std::uint64_t order;
        std::string to;
        peer_message message;
    };

    struct delivered_later
    {
        bool
        operator()(const delivery& a, const delivery& b) const
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    bool
    chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    void
    step(fleet_node& node)
    {
        for (const peer_message& message : std::exchange(node.waiting, {}))
        {
            handle(node, message);
        }
        send(node, tick_members(node.membership, now));
        send(node, tick_distribution(
                       node.distribution, known_vms(node.membership), now));
        for (member_event& event : take_member_events(node.membership))
        {
            node.events.push_back(std::move(event));
        }
    }

    void
    handle(fleet_node& node, const peer_message& message)
    {
        if (message.type == peer_message_type::table)
        {
            apply_result(node, on_table_message(node.distribution, message,
                                   known_vms(node.membership), now));
        }
        else
        {
            send(node, on_member_message(node.membership, message, now));
        }
    }

    void
    apply_result(fleet_node& node, const distribution_result& result)
    {
        node.version_decreased = node.version_decreased ||
                                 node.distribution.version < node.highest_seen;
        node.highest_seen = node.distribution.version;
        if (result.adopted)
        {
            member_digest digest = node.membership.digest;
            digest.table_version = node.distribution.version;
            set_local_digest(node.membership, digest);
        }
        send(node, result.messages);
    }

    void
    send(fleet_node& from, const membership_messages& messages)
    {
        for (const membership_message& each : messages)
        {
            send_one(from, each);
        }
    }

    void
    send_one(fleet_node& from, const membership_message& each)
    {
        const auto to = nodes.find(each.to.id);
        if (to == nodes.end())
        {
            return;
        }
        const vm_identity& self = from.membership.self;
        const vm_identity& peer = to->second->membership.self;
        const auto link = std::minmax(self.id, peer.id);
        if (!to->second->running || (is_cut && is_cut(self, peer)))
        {
            links_.erase(link);
            return;
        }
        // As on a real link, the message that opens it is lost.
        if (links_.insert(link).second)
        {
            return;
        }
        count(from, each.message);
        if (chance(options_.loss))
        {
            return;
        }
        for (int copies = chance(options_.duplicate) ? 2 : 1; copies > 0;
             --copies)
        {
            std::uniform_int_distribution<duration::rep> delay(
                options_.min_delay.count(), options_.max_delay.count());
            queue_.push({now + duration(delay(random_)), ++order_, peer.id,
                each.message});
        }
    }

    void
    count(fleet_node& from, peer_message message)
    {
        message.from.clear(); // links omit the sender
        const std::size_t bytes = encode_peer_message(message).value().size();
        ++from.sent_messages;
        from.sent_bytes += bytes;
        if (message.type == peer_message_type::table)
        {
            transfers += message.body["op"] == "transfer" ? 1 : 0;
        }
        else
        {
            largest_gossip = std::max(largest_gossip, bytes);
        }
    }

    void
    deliver()
    {
        const monotonic_time end = now;
        while (!queue_.empty() && queue_.top().at <= end)
        {
            const delivery next = queue_.top();
            queue_.pop();
            now = next.at;
            fleet_node& node = *nodes.at(next.to);
            if (node.paused_until > now)
            {
                node.waiting.push_back(next.message);
            }
            else if (node.running)
            {
                handle(node, next.message);
            }
        }
        now = end;
    }

    const fleet_options options_;
    std::mt19937_64 random_;
    std::priority_queue<delivery, std::vector<delivery>, delivered_later>
        queue_;
    std::set<std::pair<std::string, std::string>> links_;
    std::uint64_t order_ = 0;
};

} // namespace bramleymux::test
