#include "target_standin/target.hpp"

#include "config.hpp"

#include <algorithm>
#include <cmath>
#include <thread>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

constexpr auto max_hang_time = std::chrono::seconds(60);

std::int64_t
unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// An empty scripted route matches every route.
bool
matches_route(const std::string& scripted_route, const std::string& route)
{
    return scripted_route.empty() || scripted_route == route;
}

} // namespace

target::target(target_config config, std::shared_ptr<service_data> service,
    std::uint64_t seed)
    : config_(std::move(config)), service_(std::move(service)), random_(seed),
      cold_(config_.starts_cold)
{
}

target::~target()
{
    stop();
}

void
target::start()
{
    const std::lock_guard server_lock(server_mutex_);
    if (server_)
    {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = false;
    }
    server_options options;
    options.address = config_.address;
    // Each connection occupies a thread; 4 spare threads serve the additional
    // connections of tests.
    options.threads = config_.connections + 4;
    options.handle = [this](const server_request& r) { return handle(r); };
    options.on_connect = [this]
    {
        {
            const std::lock_guard lock(mutex_);
            ++stats_.connections;
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(config_.connect_cost_ms));
    };
    server_ = std::make_unique<http_server>(std::move(options));
}

void
target::stop()
{
    const std::lock_guard server_lock(server_mutex_);
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    server_.reset();
}

void
target::make_cold(bool new_instance)
{
    const std::lock_guard lock(mutex_);
    cold_ = true;
    warm_requests_ = 0;
    instance_number_ += new_instance ? 1 : 0;
}

void
target::set_draining(bool draining)
{
    const std::lock_guard lock(mutex_);
    draining_ = draining;
}

void
target::merge_faults(const json& patch)
{
    {
        const std::lock_guard lock(mutex_);
        json next = faults_json_;
        next.merge_patch(patch);
        faults_ = parse_faults(next);
        faults_json_ = std::move(next);
    }
    changed_.notify_all();
}

void
target::reset_faults()
{
    {
        const std::lock_guard lock(mutex_);
        faults_json_ = json::object();
        faults_ = {};
        draining_ = false;
    }
    changed_.notify_all();
}

void
target::merge_placement(const json& patch)
{
    const std::lock_guard lock(mutex_);
    const placement next = parse_placement(patch);
    if (patch.contains("placement"))
    {
        config_.placed.index = next.index;
        config_.placed.of = next.of;
        config_.placed.copies = next.copies;
    }
    if (patch.contains("shards"))
    {
        config_.placed.explicit_shards = next.explicit_shards;
    }
    if (patch.contains("sequences"))
    {
        config_.placed.sequences = next.sequences;
    }
}

bool
target::draw_fault(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint32_t
target::offered() const
{
    return running_ + queued_;
}

server_response
target::handle(const server_request& request)
{
    {
        lock_type lock(mutex_);
        changed_.wait_until(lock, monotonic_clock::now() + max_hang_time,
            [&] { return stopping_ || !faults_.hang; });
        if (stopping_ || faults_.hang)
        {
            return {503, {}, "", delivery::none};
        }
    }
    const std::string requests = "/v1/requests/";
    if (request.method == "POST" && request.path == "/v1/search")
    {
        return handle_work(request, false);
    }
    if (request.method == "POST" && request.path == "/v1/execute")
    {
        return handle_work(request, true);
    }
    if (request.method == "GET" && request.path == "/v1/status")
    {
        return status();
    }
    if (request.method == "DELETE" &&
        request.path.compare(0, requests.size(), requests) == 0)
    {
        return cancel(request.path.substr(requests.size()));
    }
    return json_response(404, {{"title", "no such path"}});
}

server_response
target::handle_work(const server_request& request, bool execute)
{
    const auto now = monotonic_clock::now();
    work w;
    try
    {
        const json body = json::parse(request.body);
        body.at("request_id").get_to(w.id);
        body.at("route").get_to(w.route);
        body.at("version").get_to(w.version);
        body.at("snapshot").get_to(w.snapshot);
        body.at("shards").get_to(w.shards);
        w.deadline = now + std::chrono::milliseconds(
                               body.at("deadline_ms").get<std::int64_t>());
        if (execute)
        {
            body.at("idempotency_key").get_to(w.key);
        }
        if (body.at("service") != config_.service)
        {
            return refusal(404, w, run_state::not_run, "service");
        }
    }
    catch (const json::exception& e)
    {
        return refusal(400, w, run_state::not_run, e.what());
    }
    w.token = std::make_shared<cancel_token>();
    lock_type lock(mutex_);
    ++stats_.requests;
    ++stats_.by_route[w.version + "/" + w.route];
    stats_.last_request_ms = unix_ms();
    requests_[w.id] = w.token;
    auto refused = admit(w, lock);
    if (!refused)
    {
        refused = run(w, lock);
    }
    requests_.erase(w.id);
    server_response response = refused ? std::move(*refused) : answer(w, lock);
    if (stopping_)
    {
        response.sent = delivery::none;
    }
    return response;
}

server_response
target::refusal(int status, const work& w, run_state run, const char* reason)
{
    return json_response(status,
        {{"request_id", w.id}, {"run", to_string(run)}, {"reason", reason}});
}

std::optional<server_response>
target::check_shards_held(const work& w)
{
    const auto snapshots = service_->snapshots();
    const auto it = snapshots.find(w.snapshot);
    const bool held = it != snapshots.end() &&
                      std::all_of(w.shards.begin(), w.shards.end(),
                          [&](shard_id s)
                          {
                              return s < it->second->shard_count &&
                                     holds_shard(config_.placed, w.snapshot, s);
                          });
    if (held)
    {
        return std::nullopt;
    }
    ++stats_.refused_snapshot;
    return refusal(409, w, run_state::not_run, "snapshot");
}

std::optional<server_response>
target::refuse_early(const work& w)
{
    if (draining_)
    {
        ++stats_.refused_draining;
        return refusal(503, w, run_state::not_run, "draining");
    }
    if (w.version != config_.version)
    {
        ++stats_.refused_version;
        return refusal(409, w, run_state::not_run, "version");
    }
    const bool full = running_ >= config_.slots && queued_ >= config_.queue;
    if (full || draw_fault(faults_.shed))
    {
        ++stats_.sheds;
        return refusal(503, w, run_state::not_run, "shed");
    }
    return check_shards_held(w);
}

/// Waits for a slot. Returns a refusal if the request cannot be served here, is
/// shed or cancelled, or reaches its deadline before a slot is free.
std::optional<server_response>
target::admit(const work& w, lock_type& lock)
{
    stats_.worst_offered = std::max(stats_.worst_offered, offered() + 1);
    if (cold_)
    {
        stats_.worst_cold_offered =
            std::max(stats_.worst_cold_offered, offered() + 1);
    }
    auto refused = refuse_early(w);
    if (refused)
    {
        return refused;
    }
    ++queued_;
    const bool ready = changed_.wait_until(lock, w.deadline,
        [&] {
            return stopping_ || w.token->cancelled || running_ < config_.slots;
        });
    --queued_;
    if (stopping_ || w.token->cancelled)
    {
        ++stats_.cancelled;
        return refusal(499, w, run_state::not_run, "cancelled");
    }
    if (!ready || monotonic_clock::now() >= w.deadline)
    {
        ++stats_.deadline_passed;
        return refusal(504, w, run_state::not_run, "deadline");
    }
    return std::nullopt;
}

void
target::count_start(const work& w)
{
    ++running_;
    ++stats_.started;
    stats_.shards_started += w.shards.size();
    stats_.worst_running = std::max(stats_.worst_running, running_);
    stats_.last_work_ms = unix_ms();
    if (stats_.first_work_ms == 0)
    {
        stats_.first_work_ms = stats_.last_work_ms;
    }
    if (!w.key.empty())
    {
        ++stats_.by_key[w.key];
    }
}

/// Draws a log-normal service time and applies the factors of cold start and
/// scripted faults.
std::chrono::microseconds
target::service_time(const work& w)
{
    double time = config_.median_us;
    if (config_.sigma > 0)
    {
        time *= std::lognormal_distribution<double>(0, config_.sigma)(random_);
    }
    if (draw_fault(faults_.straggle_probability))
    {
        time *= faults_.straggle_factor;
    }
    if (matches_route(faults_.slow_route, w.route) &&
        running_ > faults_.slow_above_load)
    {
        time *= faults_.slow_factor;
    }
    if (cold_ && running_ > config_.cold_limit)
    {
        ++stats_.cold_overloads;
        time *= config_.cold_factor;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(time));
}

/// Occupies a slot for the service time. Returns a refusal if the request is
/// cancelled, fails or exceeds its deadline.
std::optional<server_response>
target::run(const work& w, lock_type& lock)
{
    count_start(w);
    const bool late = draw_fault(faults_.late_probability);
    const bool failing = matches_route(faults_.fail_route, w.route) &&
                         draw_fault(faults_.fail_probability);
    const auto begin = monotonic_clock::now();
    const auto finish =
        late ? w.deadline + std::chrono::milliseconds(faults_.late_ms)
             : begin + service_time(w);
    const auto until = late ? finish : std::min(finish, w.deadline);
    changed_.wait_until(
        lock, until, [&] { return stopping_ || w.token->cancelled; });
    --running_;
    stats_.busy_us += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            monotonic_clock::now() - begin)
            .count());
    changed_.notify_all();
    if (stopping_ || w.token->cancelled)
    {
        ++stats_.cancelled;
        return refusal(499, w, run_state::unknown, "cancelled");
    }
    if (until < finish)
    {
        ++stats_.deadline_passed;
        return refusal(504, w, run_state::unknown, "deadline");
    }
    if (failing)
    {
        ++stats_.failures;
        return refusal(500, w, run_state::unknown, "error");
    }
    ++stats_.executed;
    if (cold_ && ++warm_requests_ >= config_.warm_after_requests)
    {
        cold_ = false;
    }
    return std::nullopt;
}

json
target::answer_body(const work& w)
{
    const auto snapshots = service_->snapshots();
    const auto it = snapshots.find(w.snapshot);
    json shards = json::array();
    for (const shard_id s : w.shards)
    {
        json rows = json::array();
        if (it != snapshots.end() && s < it->second->keys.size())
        {
            for (const std::uint32_t key : it->second->keys[s])
            {
                rows.push_back(make_row(config_.service, w.snapshot, s, key));
            }
        }
        shards.push_back({{"shard", s}, {"rows", std::move(rows)}});
    }
    return {{"request_id", w.id},
        {"instance", config_.name + "#" + std::to_string(instance_number_)},
        {"version", config_.version}, {"snapshot", w.snapshot},
        {"shards", std::move(shards)}};
}

server_response
target::answer(const work& w, lock_type& lock)
{
    const bool wrong_snapshot = draw_fault(faults_.wrong_snapshot);
    const bool wrong_shard = draw_fault(faults_.wrong_shard);
    const bool crossed = draw_fault(faults_.crossed) && !last_body_.empty();
    const bool truncated = draw_fault(faults_.truncated);
    const bool lost = draw_fault(faults_.lose_reply);
    const json load{{"named_metrics",
        {{"slots_limit", config_.slots}, {"slots_used", running_}}}};
    json body = answer_body(w);
    lock.unlock();

    if (wrong_snapshot)
    {
        body["snapshot"] = w.snapshot + 1;
    }
    if (wrong_shard && !body["shards"].empty())
    {
        body["shards"][0]["shard"] = w.shards.front() + 1;
    }
    server_response out = json_response(200, body);
    out.headers.emplace_back("endpoint-load-metrics", "JSON " + load.dump());
    lock.lock();
    if (crossed)
    {
        std::swap(out.body, last_body_);
    }
    else
    {
        last_body_ = out.body;
    }
    if (truncated)
    {
        out.sent = delivery::truncated;
    }
    if (lost)
    {
        out.sent = delivery::none;
    }
    return out;
}

server_response
target::status()
{
    const auto snapshots = service_->snapshots();
    const std::lock_guard lock(mutex_);
    ++stats_.status_calls;
    if (faults_.status_down)
    {
        return json_response(500, {{"title", "status unavailable"}});
    }
    json held = json::array();
    for (const auto& [sequence, data] : snapshots)
    {
        json shards = json::array();
        for (shard_id s = 0; s < data->shard_count; ++s)
        {
            if (holds_shard(config_.placed, sequence, s))
            {
                shards.push_back(s);
            }
        }
        if (!shards.empty())
        {
            held.push_back(
                {{"sequence", sequence}, {"shard_count", data->shard_count},
                    {"shards", std::move(shards)}});
        }
    }
    const std::string state = draining_ ? "draining" : "active";
    return json_response(200,
        {{"instance", config_.name + "#" + std::to_string(instance_number_)},
            {"version", config_.version},
            {"state",
                faults_.status_state.empty() ? state : faults_.status_state},
            {"slots_limit", faults_.status_slots_limit.value_or(config_.slots)},
            {"slots_used", faults_.status_slots_used.value_or(running_)},
            {"snapshots", std::move(held)}});
}

server_response
target::cancel(const std::string& id)
{
    {
        const std::lock_guard lock(mutex_);
        ++stats_.cancel_calls;
        const auto it = requests_.find(id);
        if (it == requests_.end())
        {
            return json_response(404, {{"title", "no such request"}});
        }
        it->second->cancelled = true;
    }
    changed_.notify_all();
    return {204, {}, "", delivery::whole};
}

json
target::stats_json(bool with_keys) const
{
    const std::lock_guard lock(mutex_);
    const target_stats& s = stats_;
    json duplicates = json::object();
    for (const auto& [key, count] : s.by_key)
    {
        if (count > 1)
        {
            duplicates[key] = count;
        }
    }
    json out{{"service", config_.service}, {"version", config_.version},
        {"zone", config_.zone}, {"address", config_.address},
        {"instance", config_.name + "#" + std::to_string(instance_number_)},
        {"cold", cold_}, {"draining", draining_}, {"running", running_},
        {"queued", queued_}, {"slots", config_.slots},
        {"connections", s.connections}, {"requests", s.requests},
        {"started", s.started}, {"shards_started", s.shards_started},
        {"executed", s.executed}, {"sheds", s.sheds},
        {"refused_draining", s.refused_draining},
        {"refused_snapshot", s.refused_snapshot},
        {"refused_version", s.refused_version}, {"failures", s.failures},
        {"cancelled", s.cancelled}, {"deadline_passed", s.deadline_passed},
        {"status_calls", s.status_calls}, {"cancel_calls", s.cancel_calls},
        {"cold_overloads", s.cold_overloads}, {"busy_us", s.busy_us},
        {"worst_running", s.worst_running}, {"worst_offered", s.worst_offered},
        {"worst_cold_offered", s.worst_cold_offered},
        {"first_work_ms", s.first_work_ms}, {"last_work_ms", s.last_work_ms},
        {"last_request_ms", s.last_request_ms}, {"by_route", s.by_route},
        {"idempotency_keys", s.by_key.size()},
        {"duplicates", std::move(duplicates)}};
    if (with_keys)
    {
        out["by_key"] = s.by_key;
    }
    return out;
}

void
target::reset_stats()
{
    const std::lock_guard lock(mutex_);
    stats_ = {};
    stats_.worst_running = running_;
    stats_.worst_offered = offered();
}

} // namespace bramleymux::tools
