#pragma once

#include "common/http_server.hpp"
#include "target_standin/model.hpp"

#include <condition_variable>
#include <random>

/// A simulated target with slots, a queue, cold starts, service times and
/// scripted faults.
namespace bramleymux::tools
{

/// Counters since the start or the last reset. "Offered" is running and queued.
struct target_stats
{
    std::uint64_t connections = 0;    ///< accepted
    std::uint64_t requests = 0;       ///< to /v1/search and /v1/execute
    std::uint64_t started = 0;        ///< requests that got a slot
    std::uint64_t shards_started = 0; ///< shards of the started requests
    std::uint64_t executed = 0;       ///< requests that finished
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
    std::uint64_t busy_us = 0;        ///< total time of the slots in use
    std::uint32_t worst_running = 0;  ///< highest number at a time
    std::uint32_t worst_offered = 0;  ///< highest, refused requests included
    std::uint32_t worst_cold_offered = 0; ///< the same while cold
    std::int64_t first_work_ms = 0; ///< Unix time of the first start; 0 = none
    std::int64_t last_work_ms = 0;  ///< Unix time of the last start
    std::int64_t last_request_ms = 0; ///< Unix time of the last request
    /// Requests by "version/route".
    std::map<std::string, std::uint64_t> by_route;
    /// Started requests by idempotency key.
    std::map<std::string, std::uint64_t> by_key;
};

class target
{
public:
    /// The seed determines the random draws of service times and faults.
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

    /// Opens the port. Does nothing if it is open. Throws std::runtime_error if
    /// the port cannot be opened.
    void
    start();

    /// Ends running and queued requests without a reply and closes the port.
    void
    stop();

    /// Simulates a cold start. If `new_instance` is set, the instance id
    /// changes as well.
    void
    make_cold(bool new_instance);

    void
    set_draining(bool draining);

    /// Merges the patch into the scripted faults (RFC 7396, JSON Merge Patch).
    void
    merge_faults(const nlohmann::json& patch);
    /// Removes all scripted faults and ends draining.
    void
    reset_faults();

    /// Replaces those of "placement", "shards" and "sequences" that the patch
    /// has.
    void
    merge_placement(const nlohmann::json& patch);

    /// Includes the counts of every idempotency key if `with_keys` is set.
    nlohmann::json
    stats_json(bool with_keys) const;
    void
    reset_stats();

private:
    struct cancel_token
    {
        bool cancelled = false;
    };
    /// A request to /v1/search or /v1/execute.
    struct work
    {
        std::string id;
        std::string route;
        std::string version;
        std::string key; ///< idempotency key; empty for a search
        snapshot_sequence snapshot = 0;
        std::vector<shard_id> shards;
        monotonic_time deadline;
        std::shared_ptr<cancel_token> token;
    };
    using lock_type = std::unique_lock<std::mutex>;

    server_response
    handle(const server_request& request);
    server_response
    handle_work(const server_request& request, bool execute);
    server_response
    refusal(int status, const work& w, run_state run, const char* reason);
    // The optional results are a refusal, or nullopt if the request may
    // continue. All functions below except status() and cancel() require
    // `mutex_`; those that take the lock release it while they wait or format.
    std::optional<server_response>
    admit(const work& w, lock_type& lock);
    std::optional<server_response>
    refuse_early(const work& w);
    std::optional<server_response>
    check_shards_held(const work& w);
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
    /// Returns true with the given probability.
    bool
    draw_fault(double probability);
    std::uint32_t
    offered() const;

    target_config config_;
    std::shared_ptr<service_data> service_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    /// Merged fault patches, the source of `faults_`.
    nlohmann::json faults_json_ = nlohmann::json::object();
    nlohmann::json placement_json_ = nlohmann::json::object();
    target_faults faults_;
    std::mt19937_64 random_;
    std::uint64_t instance_number_ = 1;
    std::uint64_t warm_requests_ = 0; ///< executed since the cold start
    bool cold_ = false;
    bool draining_ = false;
    bool stopping_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t queued_ = 0;
    std::map<std::string, std::shared_ptr<cancel_token>> requests_;
    std::string last_body_; ///< body of the previous reply, for crossed replies
    target_stats stats_;

    std::mutex server_mutex_; ///< serializes start() and stop()
    std::unique_ptr<http_server> server_;
};

} // namespace bramleymux::tools
