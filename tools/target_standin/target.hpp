#pragma once

#include "common/http_server.hpp"
#include "target_standin/model.hpp"

#include <condition_variable>
#include <random>

/// One simulated target: slots, queue, cold start, service times, faults.
namespace bramleymux::tools
{

struct target_stats
{
    std::uint64_t connections = 0; ///< accepted
    std::uint64_t requests = 0;    ///< search and execute
    std::uint64_t started = 0;
    std::uint64_t shards_started = 0; ///< shards of the started requests
    std::uint64_t executed = 0;
    std::uint64_t sheds = 0;
    std::uint64_t refused_draining = 0;
    std::uint64_t refused_snapshot = 0;
    std::uint64_t refused_version = 0;
    std::uint64_t failures = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadline_passed = 0;
    std::uint64_t status_calls = 0;
    std::uint64_t cancel_calls = 0;
    std::uint64_t cold_overloads = 0; ///< started above the cold limit
    std::uint64_t busy_us = 0;
    std::uint32_t worst_running = 0;
    std::uint32_t worst_offered = 0; ///< running and queued
    std::uint32_t worst_cold_offered = 0;
    std::int64_t first_work_ms = 0; ///< Unix time of a start of work
    std::int64_t last_work_ms = 0;
    std::int64_t last_request_ms = 0;
    std::map<std::string, std::uint64_t> by_route; ///< "version/route"
    std::map<std::string, std::uint64_t> by_key;   ///< started, by key
};

class target
{
public:
    target(target_config config, std::shared_ptr<service_data> service,
        std::uint64_t seed);
    target(const target&) = delete;
    target&
    operator=(const target&) = delete;
    ~target();

    const target_config&
    config() const
    {
        return config_;
    }

    /// Opens the port. Throws std::runtime_error when it cannot.
    void
    start();

    /// Ends running requests without a reply and closes the port.
    void
    stop();

    /// Becomes cold, with a new instance id or the same.
    void
    chill(bool new_instance);

    void
    set_draining(bool draining);

    /// RFC 7396 merge into the scripted faults.
    void
    merge_faults(const nlohmann::json& patch);
    void
    reset_faults();

    /// Replaces "placement", "shards" or "sequences" where given.
    void
    merge_placement(const nlohmann::json& patch);

    nlohmann::json
    stats_json(bool with_keys) const;
    void
    reset_stats();

private:
    struct running_request
    {
        bool cancelled = false;
    };
    struct work
    {
        std::string id;
        std::string route;
        std::string version;
        std::string key;
        snapshot_sequence snapshot = 0;
        std::vector<shard_id> shards;
        monotonic_time deadline;
        std::shared_ptr<running_request> token;
    };
    using lock_type = std::unique_lock<std::mutex>;

    server_response
    handle(const server_request& request);
    server_response
    handle_work(const server_request& request, bool execute);
    server_response
    refusal(int status, const work& w, run_state run, const char* reason);
    std::optional<server_response>
    admit(const work& w, lock_type& lock);
    std::optional<server_response>
    refuse_early(const work& w);
    std::optional<server_response>
    check_held(const work& w);
    std::optional<server_response>
    run(const work& w, lock_type& lock);
    std::chrono::microseconds
    service_time(const work& w);
    void
    count_start(const work& w);
    server_response
    answer(const work& w, lock_type& lock);
    nlohmann::json
    answer_body(const work& w);
    server_response
    status();
    server_response
    cancel(const std::string& id);
    bool
    happens(double probability);
    std::uint32_t
    offered() const;

    target_config config_;
    std::shared_ptr<service_data> service_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    nlohmann::json faults_json_ = nlohmann::json::object();
    nlohmann::json placement_json_ = nlohmann::json::object();
    target_faults faults_;
    std::mt19937_64 random_;
    std::uint64_t instance_number_ = 1;
    std::uint64_t warm_requests_ = 0;
    bool cold_ = false;
    bool draining_ = false;
    bool stopping_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    std::map<std::string, std::shared_ptr<running_request>> requests_;
    std::string last_body_; ///< for crossed replies
    target_stats stats_;

    std::mutex server_mutex_; ///< start and stop
    std::unique_ptr<http_server> server_;
};

} // namespace bramleymux::tools
