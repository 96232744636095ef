#pragma once

#include "config.hpp"
#include "version_move.hpp"

#include "table_samples.hpp"

#include <functional>
#include <queue>
#include <random>

/// Simulation of the VMs, traffic and replies of one service during a move, on
/// a virtual clock.
namespace move_model
{

using namespace bramleymux;
using namespace std::chrono_literals;

/// Response of a target to one sub-request.
struct behaviour
{
    double error_rate = 0.001; ///< probability
    double slowdown = 1.0;     ///< factor of the latency
};

/// Sub-request that a behaviour may depend on.
struct model_request
{
    double seconds = 0.0; ///< since the start of the move
    bool is_new = false;  ///< goes to the new version
    std::size_t route = 0;
    std::size_t target = 0; ///< searcher index
    double share = 0.0;     ///< that the sending VM uses
};

struct scenario
{
    std::size_t vms = 8;
    double queries_per_second = 2400.0;
    std::size_t searchers = 3; ///< sub-requests of one query
    std::vector<double> route_weights{0.5, 0.3, 0.1, 0.1};
    std::int64_t deadline_ms = 120'000;
    std::int64_t soak_ms = 10'000;
    double max_seconds = 120.0;
    double straggler_rate = 0.01; ///< of replies with 50 times the latency
    std::function<behaviour(const model_request&)> behave =
        [](const model_request&) { return behaviour{}; };
    /// Share that the new targets can carry, by seconds since the start.
    std::function<double(double)> capacity = [](double) { return 1.0; };
    std::uint64_t seed = 1;
};

/// Times are seconds since the start of the move; -1 if it did not happen.
struct result
{
    double first_withdrawn = -1.0; ///< on the first VM that found the fault
    double all_withdrawn = -1.0;   ///< on all VMs
    double done = -1.0;            ///< on all VMs
    double highest_share = 0.0;
    double share_at_withdrawal = 0.0;
    double at_risk = -1.0;
    std::string cause;
    std::vector<double> step_times; ///< on VM 0
    std::size_t message_bytes = 0;  ///< size of the largest message
    /// Each event on VM 0, with its share after the event.
    std::vector<std::string> events;
};

class model
{
public:
    explicit model(scenario s) : s_(std::move(s)), random_(s_.seed)
    {
        nlohmann::json t = sample_table_json();
        t["routes"] = nlohmann::json::array();
        for (std::size_t r = 0; r < s_.route_weights.size(); ++r)
        {
            t["routes"].push_back(
                {{"service", "exam-desk"}, {"name", "r" + std::to_string(r)}});
        }
        t["targets"] = nlohmann::json::array();
        for (std::size_t i = 0; i < 2 * s_.searchers; ++i)
        {
            const bool is_new = i >= s_.searchers;
            t["targets"].push_back({{"name", "t" + std::to_string(i)},
                {"service", "exam-desk"}, {"searcher", "exam-1"},
                {"zone", "z1"}, {"version", is_new ? "v2" : "v1"},
                {"address", "127.0.0.1:" + std::to_string(9000 + i)}});
        }
        t["moves"][0]["start_ms"] = 0;
        t["moves"][0]["deadline_ms"] = s_.deadline_ms;
        t["moves"][0]["soak_ms"] = s_.soak_ms;
        findings found;
        const table parsed = parse_table(t, 1, found);
        catalog_ = build_catalog(parsed, names_);
        for (std::size_t i = 0; i < s_.vms; ++i)
        {
            vms_.emplace_back();
            vms_.back().moves.vm = "vm" + std::to_string(i);
            update_moves(vms_.back().moves, *catalog_, clock());
        }
    }

    result
    run()
    {
        // The old version serves alone for 2 s before the move starts.
        for (time_ = -2s; seconds() < s_.max_seconds && !is_over();
             time_ += 10ms)
        {
            generate_queries();
            deliver_replies();
            run_control();
        }
        return out_;
    }

    std::vector<version_moves*>
    vms()
    {
        std::vector<version_moves*> all;
        for (vm& v : vms_)
        {
            all.push_back(&v.moves);
        }
        return all;
    }

    move_clock
    clock() const
    {
        return {monotonic_time(3600s) + time_,
            std::chrono::duration_cast<std::chrono::milliseconds>(time_)
                .count()};
    }

private:
    struct vm
    {
        version_moves moves;
        std::vector<version_share> shares;
    };

    struct pending_reply
    {
        duration at;
        std::size_t vm;
        version_reply reply;

        /// Reversed, so that a priority queue yields the earliest reply first.
        bool
        operator<(const pending_reply& other) const
        {
            return at > other.at;
        }
    };

    double
    seconds() const
    {
        return std::chrono::duration<double>(time_).count();
    }

    bool
    is_over() const
    {
        return out_.all_withdrawn >= 0.0 || out_.done >= 0.0;
    }

    /// Starts the queries of one tick of 10 ms (Poisson arrivals).
    void
    generate_queries()
    {
        std::poisson_distribution<int> count(s_.queries_per_second * 0.01);
        for (int n = count(random_); n > 0; --n)
        {
            query(std::uniform_int_distribution<std::size_t>(
                0, vms_.size() - 1)(random_));
        }
    }

    void
    query(std::size_t vm_index)
    {
        vm& v = vms_[vm_index];
        if (v.shares.empty())
        {
            v.shares = version_shares(v.moves, *catalog_);
        }
        const version_share& share = v.shares[0];
        const version_handle chosen =
            choose_version(share, std::to_string(random_())).preferred;
        std::discrete_distribution<std::size_t> route(
            s_.route_weights.begin(), s_.route_weights.end());
        const bool is_new = chosen != version_handle{0};
        model_request request{
            seconds(), is_new, route(random_), 0, share.share};
        for (; request.target < s_.searchers; ++request.target)
        {
            send(vm_index, request, chosen);
        }
    }

    void
    send(std::size_t vm_index, const model_request& request,
        version_handle chosen)
    {
        const behaviour b = s_.behave(request);
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        double ms =
            5.0 * std::lognormal_distribution<double>(0.0, 0.4)(random_);
        ms *= uniform(random_) < s_.straggler_rate ? 50.0 : b.slowdown;
        version_reply r;
        r.service = {0};
        r.version = chosen;
        r.route = {static_cast<std::uint16_t>(request.route)};
        r.target = {static_cast<std::uint16_t>(
            request.target + (request.is_new ? s_.searchers : 0))};
        if (uniform(random_) < b.error_rate)
        {
            r.error = miss_reason::failed;
        }
        else if (ms > 50.0)
        {
            // By then a hedge has been answered and the request is cancelled.
            ms = 50.0;
            r.error = miss_reason::cancelled;
            r.run = run_state::unknown;
        }
        r.elapsed = std::chrono::microseconds(static_cast<long>(ms * 1000.0));
        replies_.push({time_ + r.elapsed, vm_index, r});
    }

    /// Delivers the replies that are due.
    void
    deliver_replies()
    {
        while (!replies_.empty() && replies_.top().at <= time_)
        {
            observe_reply(vms_[replies_.top().vm].moves, replies_.top().reply);
            replies_.pop();
        }
    }

    /// Evaluates the move every 100 ms and sends evidence every 200 ms on each
    /// VM, at different ticks.
    void
    run_control()
    {
        const auto tick = time_ / 10ms;
        const std::map<std::string, move_inputs> inputs{
            {"m1", {s_.capacity(seconds()), 1.0, {}}}};
        std::size_t withdrawn = 0;
        std::size_t done = 0;
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            vm& v = vms_[i];
            if ((tick + static_cast<long>(i)) % 10 == 0)
            {
                record_events(i, evaluate_moves(v.moves, inputs, clock()));
            }
            if ((tick + static_cast<long>(3 * i)) % 20 == 0)
            {
                publish(i);
            }
            const move_monitor& m = v.moves.monitors[0];
            out_.highest_share = std::max(out_.highest_share, m.share);
            withdrawn += m.phase == move_phase::withdrawn ? 1 : 0;
            done += m.phase == move_phase::done ? 1 : 0;
            v.shares = version_shares(v.moves, *catalog_);
        }
        if (withdrawn == vms_.size() && out_.all_withdrawn < 0.0)
        {
            out_.all_withdrawn = seconds();
        }
        if (done == vms_.size() && out_.done < 0.0)
        {
            out_.done = seconds();
        }
    }

    /// Records the events of one VM and delivers its withdrawal to all VMs.
    void
    record_events(std::size_t vm_index, const std::vector<move_event>& events)
    {
        for (const move_event& e : events)
        {
            if (e.kind == move_event_kind::withdrawn)
            {
                out_.first_withdrawn = out_.first_withdrawn < 0.0
                                           ? seconds()
                                           : out_.first_withdrawn;
                out_.share_at_withdrawal =
                    config::move_steps[vms_[vm_index].moves.monitors[0].step];
                out_.cause = e.detail;
                for (vm& peer : vms_)
                {
                    withdraw(peer.moves,
                        {e.move, e.detail, vms_[vm_index].moves.vm, 0});
                }
            }
            if (e.kind == move_event_kind::at_risk && out_.at_risk < 0.0)
            {
                out_.at_risk = seconds();
            }
            if (vm_index == 0)
            {
                out_.events.push_back(event_text(e));
            }
            if (e.kind == move_event_kind::step && vm_index == 0)
            {
                out_.step_times.push_back(seconds());
            }
        }
    }

    std::string
    event_text(const move_event& e) const
    {
        constexpr name_table<move_event_kind> names{
            "step", "withdrawn", "at_risk", "done"};
        const auto ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(time_);
        return "at_ms=" + std::to_string(ms.count()) + " " +
               std::string(names[static_cast<std::size_t>(e.kind)]) + " " +
               e.move + " " + e.detail +
               " share=" + std::to_string(vms_[0].moves.monitors[0].share);
    }

    void
    publish(std::size_t from)
    {
        const auto message = encode_evidence(vms_[from].moves);
        out_.message_bytes = std::max(out_.message_bytes, message.size());
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            if (i != from)
            {
                receive_evidence(
                    vms_[i].moves, vms_[from].moves.vm, 1, message, clock());
            }
        }
    }

    scenario s_;
    std::mt19937_64 random_;
    name_registries names_;
    std::shared_ptr<const catalog> catalog_;
    std::vector<vm> vms_;
    std::priority_queue<pending_reply> replies_;
    duration time_ = -2s;
    result out_;
};

} // namespace move_model
