#include "platform_controller.hpp"

#include "config.hpp"
#include "latency.hpp"
#include "log_events.hpp"

#include <algorithm>

namespace bramleymux
{

platform_controller::platform_controller(platform_api& tables_api,
    platform_api& list_api, fleet_controller& fleet, table_controller& tables,
    metrics& counters, std::uint64_t seed, vm_list_observer on_list)
    : tables_api_(tables_api), list_api_(list_api), fleet_(fleet),
      tables_(tables), metrics_(counters), on_list_(std::move(on_list)),
      table_random_(seed), list_random_(seed + 1)
{
}

platform_controller::~platform_controller()
{
    stop();
}

void
platform_controller::start()
{
    table_thread_ = std::thread([this] { run_table(); });
    list_thread_ = std::thread([this] { run_list(); });
}

void
platform_controller::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (table_thread_.joinable())
    {
        table_thread_.join();
    }
    if (list_thread_.joinable())
    {
        list_thread_.join();
    }
}

bool
platform_controller::pause(duration time)
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, time, [this] { return stopping_; });
    return !stopping_;
}

void
platform_controller::record_result(platform_errc error)
{
    metrics_.add(counter::platform_calls);
    // A call that this VM's own budget rejected was not sent, so it is no
    // evidence of the platform's state.
    if (error == platform_errc::rate_limited)
    {
        return;
    }
    const bool reachable =
        error == platform_errc::ok || error == platform_errc::not_found;
    if (!reachable)
    {
        metrics_.add(counter::platform_failures);
    }
    bool changed = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        changed = reachable_ != reachable;
        reachable_ = reachable;
    }
    if (changed)
    {
        log_event(
            reachable ? event::platform_available : event::platform_unavailable,
            "");
    }
    fleet_.set_platform_reachable(reachable);
}

/// Reads the table, or watches it if a version is known. Returns false if the
/// call failed.
bool
platform_controller::read_table(std::uint64_t& seen)
{
    seen = std::max(seen, tables_.version());
    if (seen == 0)
    {
        const auto value = tables_api_.get(std::string(table_key));
        record_result(value ? platform_errc::ok : value.error());
        if (value)
        {
            seen = value.value().version;
            fleet_.post_table(seen, value.value().value);
        }
        return static_cast<bool>(value);
    }
    const auto value = tables_api_.watch(
        std::string(table_key), seen, config::table_watch_timeout);
    record_result(value ? platform_errc::ok : value.error());
    if (value && value.value())
    {
        seen = value.value()->version;
        fleet_.post_table(seen, value.value()->value);
    }
    return static_cast<bool>(value);
}

void
platform_controller::run_table()
{
    std::uint64_t seen = 0;
    std::uint32_t failures = 0;
    for (;;)
    {
        const bool needed = seen == 0 || fleet_.watches();
        if (needed && !read_table(seen))
        {
            ++failures;
            if (!pause(full_jitter(failures, config::platform_read_backoff_base,
                    config::platform_read_backoff_cap, table_random_)))
            {
                return;
            }
            continue;
        }
        failures = 0;
        if (!pause(needed ? duration::zero() : config::owner_update_period))
        {
            return;
        }
    }
}

void
platform_controller::run_list()
{
    std::uint32_t failures = 0;
    for (;;)
    {
        const auto list = list_api_.vms();
        record_result(list ? platform_errc::ok : list.error());
        duration wait = config::vm_list_period;
        if (list)
        {
            failures = 0;
            fleet_.post_vm_list(list.value());
            if (on_list_)
            {
                on_list_(list.value());
            }
        }
        else
        {
            ++failures;
            wait = full_jitter(failures, config::platform_read_backoff_base,
                config::vm_list_period, list_random_);
        }
        if (!pause(wait))
        {
            return;
        }
    }
}

} // namespace bramleymux
