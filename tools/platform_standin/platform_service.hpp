#pragma once

#include "common/http_server.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>

/// Object API of the simulated platform, kept in memory, with scripted faults.
namespace bramleymux::tools
{

/// Tokens earned at a rate, up to one second's worth. A rate of 0 is no limit.
struct token_bucket
{
    double per_second = 0;
    double tokens = 0;
    monotonic_time last;
};

bool
take_token(token_bucket& bucket, monotonic_time now);

class platform_service
{
public:
    explicit platform_service(std::uint64_t seed);

    /// `listener` is the address that the request came in on.
    server_response
    handle(const server_request& request, const std::string& listener);

    /// Applies a control document; the VM list is in force at once.
    void
    configure(const nlohmann::json& control);

    /// Ends every wait.
    void
    stop();

private:
    struct entry
    {
        std::uint64_t version = 0;
        nlohmann::json value; ///< discarded when removed
        bool removed = false;
    };

    server_response
    control(const server_request& request);
    void
    apply(const nlohmann::json& control, bool lagging);
    server_response
    dispatch(const server_request& request, const std::string& listener);
    server_response
    get(const std::string& key);
    server_response
    put(const std::string& key, const server_request& request);
    server_response
    remove(const std::string& key, const server_request& request);
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
    bool
    condition_holds(
        const std::string& key, const server_request& request, int& refusal);
    server_response
    after_write(server_response response);
    bool
    is_out(const std::string& listener) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, entry> objects_;
    std::uint64_t last_version_ = 0;
    bool stopping_ = false;

    bool outage_ = false;
    std::set<std::string> outage_listeners_;
    duration latency_{};
    std::uint64_t lose_writes_ = 0;
    double lose_write_fraction_ = 0;
    token_bucket reads_;
    token_bucket writes_;
    duration vm_lag_{};
    std::deque<std::pair<monotonic_time, nlohmann::json>> vm_lists_;
    std::mt19937_64 random_;

    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t watching_ = 0;
};

} // namespace bramleymux::tools
