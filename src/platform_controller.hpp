#pragma once

#include "fleet_controller.hpp"
#include "metrics.hpp"
#include "platform.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

/// Threads that read from the platform: one watches the table, one polls the
/// VM list.
namespace bramleymux
{

/// Passes tables and VM lists to the fleet controller and logs when the
/// platform becomes unreachable or reachable.
class platform_controller
{
public:
    /// Called on the list thread for every list that was read.
    using vm_list_observer =
        std::function<void(const std::vector<vm_list_entry>&)>;

    platform_controller(platform_api& tables_api, platform_api& list_api,
        fleet_controller& fleet, table_controller& tables, metrics& counters,
        std::uint64_t seed, vm_list_observer on_list);
    ~platform_controller();

    platform_controller(const platform_controller&) = delete;
    platform_controller&
    operator=(const platform_controller&) = delete;

    void
    start();

    void
    stop();

private:
    void
    run_table();
    void
    run_list();
    bool
    read_table(std::uint64_t& seen);
    void
    record_result(platform_errc error);
    /// Waits for `time`. Returns false if the controller stops.
    bool
    pause(duration time);

    platform_api& tables_api_;
    platform_api& list_api_;
    fleet_controller& fleet_;
    table_controller& tables_;
    metrics& metrics_;
    vm_list_observer on_list_;
    std::mt19937_64 table_random_;
    std::mt19937_64 list_random_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool reachable_ = true;
    std::thread table_thread_;
    std::thread list_thread_;
};

} // namespace bramleymux
