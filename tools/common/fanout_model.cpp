#include "common/fanout_model.hpp"

#include "coverage.hpp"
#include "latency.hpp"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <utility>

namespace bramleymux::tools
{

namespace
{

class fanout_model
{
public:
    static constexpr std::uint32_t searchers = 10;
    static constexpr std::uint32_t replicas = 3;
    static constexpr std::uint32_t shards_per_searcher = 10;
    static constexpr std::size_t slots = 3;

    explicit fanout_model(const fanout_options& options)
        : options_(options), fleet_(make_fleet(searchers, replicas,
                                 shards_per_searcher, options.overlap)),
          index_(build_routing_index(fleet_.topology, fleet_.reports)),
          targets_(fleet_.reports.size())
    {
    }

    fanout_result
    run()
    {
        push(now_, event_kind::arrival, 0);
        while (!events_.empty())
        {
            const auto e = events_.top();
            events_.pop();
            now_ = e.at;
            if (e.kind == event_kind::arrival)
            {
                handle_arrival();
            }
            else if (e.kind == event_kind::finish)
            {
                finish(e.id, false);
            }
            else
            {
                hedge(e.id);
            }
        }
        return summary();
    }

private:
    enum class event_kind
    {
        arrival,
        finish,
        hedge
    };

    struct event
    {
        monotonic_time at;
        std::size_t sequence; ///< order among events at the same time
        event_kind kind;
        std::size_t id;

        /// Reversed, so that the priority queue yields the earliest event.
        bool
        operator<(const event& other) const
        {
            return std::pair(other.at, other.sequence) <
                   std::pair(at, sequence);
        }
    };

    struct query_state
    {
        monotonic_time start;
        answer_builder answer;
    };

    struct sub_state
    {
        sub_request request;
        std::size_t query;
        monotonic_time sent;
        bool running = false;
        bool ended = false;
    };

    struct target_state
    {
        std::size_t running = 0;
        std::deque<std::size_t> waiting;
        latency_mean mean;
    };

    void
    push(monotonic_time at, event_kind kind, std::size_t id)
    {
        events_.push({at, next_sequence_++, kind, id});
    }

    static duration
    from_ms(double ms)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(ms));
    }

    double
    exponential_ms(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(random_);
    }

    void
    handle_arrival()
    {
        if (queries_.size() + 1 < options_.queries)
        {
            push(now_ + from_ms(exponential_ms(1e3 / options_.queries_per_s)),
                event_kind::arrival, 0);
        }
        const auto* snapshot =
            choose_snapshot(*index_, service_handle{0}, {}, fleet_.views);
        const auto shards = all_shards(*snapshot);
        queries_.push_back({now_, start_answer(1, shards)});
        earn(budget_, shards.size(), now_);
        asked_shards_ += shards.size();
        send(queries_.size() - 1, shards, {});
    }

    void
    send(std::size_t query, const std::vector<shard_id>& shards,
        const std::vector<target_handle>& tried)
    {
        for (std::size_t i = 0; i < targets_.size(); ++i)
        {
            fleet_.views[i].latency_us = expected_us(targets_[i].mean, now_);
        }
        const plan_request wanted{
            {}, shards, tried, options_.policy, queries_.size()};
        for (auto& batch :
            plan_query(*index_, *find_snapshot(*index_, service_handle{0}, 1),
                wanted, fleet_.views, now_, random_)
                .batches)
        {
            sub_request request;
            request.id = subs_.size();
            request.target = batch.target;
            request.snapshot = 1;
            request.shards = batch.shards;
            register_sub_request(queries_[query].answer, request);
            subs_.push_back({request, query, now_});
            ++fleet_.views[batch.target.index].in_flight;
            targets_[batch.target.index].waiting.push_back(request.id);
            start_next(batch.target.index);
            if (options_.hedge && tried.empty())
            {
                push(
                    now_ + hedge_delay(sketch_), event_kind::hedge, request.id);
            }
        }
    }

    void
    start_next(std::size_t target)
    {
        auto& state = targets_[target];
        while (state.running < slots && !state.waiting.empty())
        {
            const auto id = state.waiting.front();
            state.waiting.pop_front();
            if (subs_[id].ended)
            {
                continue;
            }
            const bool slow = target < options_.slow_targets ||
                              std::uniform_real_distribution<double>()(
                                  random_) < options_.straggler_share;
            ++state.running;
            subs_[id].running = true;
            push(now_ + from_ms((1.0 + exponential_ms(1.0)) * (slow ? 50 : 1)),
                event_kind::finish, id);
        }
    }

    void
    finish(std::size_t id, bool cancelled)
    {
        auto& sub = subs_[id];
        if (sub.ended)
        {
            return;
        }
        sub.ended = true;
        const auto target = sub.request.target.index;
        --fleet_.views[target].in_flight;
        targets_[target].running -= sub.running ? 1 : 0;
        if (cancelled)
        {
            record_at_least(targets_[target].mean, now_ - sub.sent, now_);
        }
        else
        {
            record(targets_[target].mean, now_ - sub.sent, now_);
            record(sketch_, now_ - sub.sent, now_);
            deliver_reply(id);
        }
        start_next(target);
    }

    void
    deliver_reply(std::size_t id)
    {
        const auto sub = subs_[id];
        sub_reply reply;
        reply.id = id;
        reply.snapshot = 1;
        for (const auto s : sub.request.shards)
        {
            reply.shards.push_back({s, nlohmann::json::array()});
        }
        auto& query = queries_[sub.query];
        if (merge(query.answer, reply).merged > 0 && is_complete(query.answer))
        {
            latencies_ms_.push_back(
                std::chrono::duration<double, std::milli>(now_ - query.start)
                    .count());
        }
        for (const auto other : cancellable_requests(query.answer))
        {
            finish(other, true);
        }
    }

    void
    hedge(std::size_t id)
    {
        const auto sub = subs_[id];
        const auto open_shards =
            unanswered(queries_[sub.query].answer, sub.request.shards);
        if (!sub.ended && !open_shards.empty() &&
            spend(budget_, open_shards.size()))
        {
            hedged_shards_ += open_shards.size();
            send(sub.query, open_shards, {sub.request.target});
        }
    }

    fanout_result
    summary()
    {
        std::sort(latencies_ms_.begin(), latencies_ms_.end());
        const auto sub_requests = static_cast<double>(subs_.size());
        return {latencies_ms_[latencies_ms_.size() / 2],
            latencies_ms_[latencies_ms_.size() * 99 / 100],
            static_cast<double>(hedged_shards_) /
                static_cast<double>(asked_shards_),
            sub_requests / static_cast<double>(queries_.size())};
    }

    fanout_options options_;
    model_fleet fleet_;
    std::shared_ptr<const routing_index> index_;
    std::vector<target_state> targets_;
    std::vector<query_state> queries_;
    std::vector<sub_state> subs_;
    std::priority_queue<event> events_;
    std::size_t next_sequence_ = 0;
    monotonic_time now_{};
    latency_sketch sketch_;
    extra_load_budget budget_;
    std::size_t asked_shards_ = 0;
    std::size_t hedged_shards_ = 0;
    std::vector<double> latencies_ms_;
    std::mt19937_64 random_{1};
};

} // namespace

model_fleet
make_fleet(std::uint32_t searchers, std::uint32_t replicas,
    std::uint32_t shards_per_searcher, std::uint32_t overlap)
{
    model_fleet result;
    result.topology.services.resize(1);
    result.topology.services[0].self.index = 0;
    const auto shard_count = searchers * shards_per_searcher;
    for (std::uint32_t i = 0; i < searchers * replicas; ++i)
    {
        catalog_target target;
        target.self.index = static_cast<std::uint16_t>(i);
        target.service.index = 0;
        target.version.index = 0;
        result.topology.targets.push_back(target);
        result.topology.services[0].targets.push_back(target.self);
        const auto first = i / replicas * shards_per_searcher;
        const auto last =
            std::min(shard_count, first + (1 + overlap) * shards_per_searcher) -
            1;
        target_report report;
        report.snapshots.push_back({1, shard_count, {{first, last}}});
        result.reports.push_back(report);
        target_view view;
        view.unusable = miss_reason::none;
        result.views.push_back(view);
    }
    return result;
}

fanout_result
run_fanout(const fanout_options& options)
{
    return fanout_model(options).run();
}

} // namespace bramleymux::tools
