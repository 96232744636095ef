#include "common/overload_model.hpp"

#include "admission.hpp"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <utility>

namespace bramleymux::tools
{

namespace
{

using namespace std::chrono_literals;

class overload_model
{
public:
    explicit overload_model(const overload_options& options)
        : options_(options), vms_(options.vms), pools_(options.services.size())
    {
        for (const auto& service : options.services)
        {
            loads_.insert(loads_.end(), service.begin(), service.end());
        }
        topology_ = make_catalog(options.services, options.floors);
        for (auto& vm : vms_)
        {
            apply(vm, topology_);
        }
        result_.served_per_s.resize(loads_.size());
    }

    overload_result
    run()
    {
        for (std::size_t r = 0; r < loads_.size(); ++r)
        {
            events_.push({now_, arrival_base + r});
        }
        while (!events_.empty() && events_.top().first < monotonic_time(20s))
        {
            const auto [at, id] = events_.top();
            events_.pop();
            now_ = at;
            if (id >= arrival_base)
            {
                handle_arrival(static_cast<std::uint16_t>(id - arrival_base));
            }
            else
            {
                finish(id);
            }
        }
        return result_;
    }

private:
    /// An event id from here on is an arrival on route `id - arrival_base`; a
    /// smaller one is the index of a request that finishes.
    static constexpr std::size_t arrival_base = 1U << 30U;
    static constexpr auto deadline = 300ms;

    struct request
    {
        std::uint16_t route;
        std::size_t vm;
        monotonic_time arrived;
        monotonic_time started;
    };

    /// Slots and queue of one service.
    struct pool
    {
        std::size_t running = 0;
        std::deque<std::size_t> waiting;
    };

    duration
    exponential(double mean_s)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(
                std::exponential_distribution<double>(1 / mean_s)(random_)));
    }

    void
    handle_arrival(std::uint16_t route)
    {
        events_.push({now_ + exponential(1 / loads_[route].queries_per_s),
            arrival_base + route});
        const auto vm = random_() % vms_.size();
        if (options_.admission &&
            !admit(vms_[vm], route_handle{route}, now_).admitted)
        {
            return;
        }
        result_.max_in_flight =
            std::max(result_.max_in_flight, vms_[vm].in_flight);
        requests_.push_back({route, vm, now_, {}});
        const auto service = topology_.routes[route].service.index;
        pools_[service].waiting.push_back(requests_.size() - 1);
        start_next(service);
    }

    void
    start_next(std::uint16_t service)
    {
        auto& p = pools_[service];
        while (p.running < options_.slots && !p.waiting.empty())
        {
            const auto id = p.waiting.front();
            p.waiting.pop_front();
            requests_[id].started = now_;
            if (now_ - requests_[id].arrived > deadline)
            {
                complete(id, miss_reason::deadline);
                continue;
            }
            ++p.running;
            events_.push(
                {now_ + exponential(options_.mean_service_time_ms / 1e3), id});
        }
    }

    void
    finish(std::size_t id)
    {
        const auto& r = requests_[id];
        const auto service = topology_.routes[r.route].service.index;
        --pools_[service].running;
        if (now_ - r.arrived <= deadline && now_ > monotonic_time(10s))
        {
            // One request in the 10 s that count is 0.1 per second.
            result_.served_per_s[r.route] += 0.1;
            result_.worth_per_s += 0.1 * loads_[r.route].worth;
        }
        complete(id, miss_reason::none);
        start_next(service);
    }

    void
    complete(std::size_t id, miss_reason error)
    {
        const auto& r = requests_[id];
        if (!options_.admission)
        {
            return;
        }
        sub_reply reply;
        reply.error = error;
        reply.queue_time = r.started - r.arrived;
        reply.target_time = now_ - r.started;
        observe(vms_[r.vm], topology_.routes[r.route].service, reply);
        release(vms_[r.vm], route_handle{r.route}, now_ - r.arrived, now_);
    }

    using event = std::pair<monotonic_time, std::size_t>;

    overload_options options_;
    overload_result result_;
    std::vector<admission_state> vms_;
    std::vector<pool> pools_;
    std::vector<route_load> loads_;
    catalog topology_;
    std::vector<request> requests_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    monotonic_time now_{};
    std::mt19937_64 random_{1};
};

} // namespace

catalog
make_catalog(const std::vector<std::vector<route_load>>& services,
    const std::vector<double>& floors)
{
    catalog result;
    for (std::size_t s = 0; s < services.size(); ++s)
    {
        catalog_service service;
        service.self.index = static_cast<std::uint16_t>(s);
        service.floor_share = floors[s];
        for (const auto& load : services[s])
        {
            catalog_route route;
            route.self.index = static_cast<std::uint16_t>(result.routes.size());
            route.service = service.self;
            route.worth = load.worth;
            result.routes.push_back(route);
        }
        result.services.push_back(service);
    }
    return result;
}

overload_result
run_overload(const overload_options& options)
{
    return overload_model(options).run();
}

} // namespace bramleymux::tools
