#pragma once

#include "common/http_server.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>

/// In-memory object API of the simulated platform, with scripted faults.
namespace bramleymux::tools
{

/// Rate limiter that holds at most one second's worth of tokens. A rate of 0
/// means no limit.
struct token_bucket
{
    double per_second = 0;
    double tokens = 0;
    monotonic_time last;
};

/// Returns false if no token is available.
bool
take_token(token_bucket& bucket, monotonic_time now);

/// Safe to call from several threads.
class platform_service
{
public:
    /// The seed determines which replies `lose_write_fraction` loses.
    explicit platform_service(std::uint64_t seed);

    /// Handles a request to the object API or to /control. `listener` is the
    /// address that received the request; outages can be limited to listeners.
    server_response
    handle(const server_request& request, const std::string& listener);

    /// Applies a control document. Its VM list replaces the current one at
    /// once, without the scripted lag. Throws nlohmann::json::exception if a
    /// field has the wrong type.
    void
    configure(const nlohmann::json& control);

    /// Ends all pending watches with status 503.
    void
    stop();

private:
    struct entry
    {
        std::uint64_t version = 0;
        nlohmann::json value; ///< null if removed
        bool removed = false;
    };

    server_response
    control(const server_request& request);
    /// Applies a control document. If `lag_vm_list` is set, a new VM list takes
    /// effect only after `vm_lag_`. Requires `mutex_`.
    void
    apply(const nlohmann::json& control, bool lag_vm_list);
    server_response
    dispatch(const server_request& request, const std::string& listener);
    server_response
    get(const std::string& key);
    server_response
    put(const std::string& key, const server_request& request);
    server_response
    remove(const std::string& key, const server_request& request);
    /// Waits, with `lock` released, until the object's version exceeds the one
    /// given by "after". Responds with 204 on a timeout, with 404 if the object
    /// was removed, and with 503 in an outage or after stop().
    server_response
    watch(const std::string& key, const server_request& request,
        const std::string& listener, std::unique_lock<std::mutex>& lock);
    server_response
    list(const std::string& prefix);
    server_response
    vms();
    nlohmann::json
    stats() const;
    nlohmann::json
    object_json(const std::string& key) const;
    /// Checks If-Match or If-None-Match against the object's version. Returns
    /// false and sets `refusal_status` if the condition is missing or false.
    bool
    condition_holds(const std::string& key, const server_request& request,
        int& refusal_status);
    /// Wakes the watches. Marks the response as not to be sent if a lost reply
    /// is scripted.
    server_response
    after_write(server_response response);
    bool
    in_outage(const std::string& listener) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, entry> objects_;
    std::uint64_t last_version_ = 0;
    bool stopping_ = false;

    bool outage_ = false;
    std::set<std::string> outage_listeners_; ///< addresses in an outage
    duration latency_{};
    std::uint64_t lose_writes_ = 0; ///< upcoming writes whose reply is lost
    /// Probability that the reply to any other write is lost.
    double lose_write_fraction_ = 0;
    token_bucket reads_;
    token_bucket writes_;
    duration vm_lag_{};
    /// VM lists with the time each was set, oldest first.
    std::deque<std::pair<monotonic_time, nlohmann::json>> vm_lists_;
    std::mt19937_64 random_;

    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t watching_ = 0; ///< pending watches
};

} // namespace bramleymux::tools
